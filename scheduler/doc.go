// Package scheduler joins decisions, durable records and workers: while this process owns its
// availability zone, a term accepts jobs, places their tasks and follows them to their end.
//
// All state of a term belongs to one goroutine, its loop. Other goroutines (one for heartbeats and
// one for sends to each worker, the journal's, and those of callers) post to the loop over a bounded
// channel. State that must survive is changed only after its record is durable.
package scheduler
