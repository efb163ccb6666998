// Package presence decides whether a run may still be on its worker, or start there later.
//
// A task may start again only once nothing of its last run can be carried out any more. The worker's own report of an
// end shows that. Without it an owner needs a Proof, and the end of something else is none: an unanswered order may
// arrive late, and a silent worker goes on until its lease expires. Every place that ends a run without its worker's
// report states the Proof, and logs it.
package presence
