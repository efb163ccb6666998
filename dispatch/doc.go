// Package dispatch runs the work of the whole cell while this entry VM owns it: it places tasks on
// workers, follows them to their ends, and makes every step durable before it has an effect.
//
// All state of a term belongs to one goroutine, its loop. Other goroutines (one for the lease of each
// worker, one for commits, one for each order and question under way) post to the loop over a bounded
// channel. Three rules carry the promises:
//
//   - a start is sent only after its intent is durable, so that a successor knows every task that may
//     run somewhere;
//   - a worker is told that an end was observed only after the end is durable, so that a successor
//     meets the end again if it was not;
//   - every commit compares the owner's key and the number of the commit before it, so that neither a
//     replaced owner nor a commit that the store carries out late can change anything.
package dispatch
