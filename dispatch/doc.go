// Package dispatch schedules all work of the cell while this entry VM owns it: it places tasks on workers, tracks them
// until they end, and makes every state change durable before it takes effect.
//
// All state of a term belongs to a single goroutine, the loop. Other goroutines (one per worker lease, one per commit,
// order and permit request in flight) post events to the loop over a bounded channel. Three rules keep the state
// consistent across owners:
//
//   - A start is sent only after its intent is durable, so a successor knows every task that may be running.
//   - The end of a run is acknowledged to the worker only after it is durable. Until then the worker keeps
//     listing it, so a successor sees an end that was not stored.
//   - Every commit compares the owner's key and the revision that the previous commit of its stream left, so
//     neither a replaced owner nor a commit that the store applies late can change anything.
package dispatch
