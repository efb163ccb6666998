// Package scheduler connects the planner, the journal and the workers of one availability zone. While this process
// owns the zone, a term accepts jobs, places their tasks and tracks them until they end.
//
// All state of a term belongs to one goroutine, the loop. The other goroutines are two per worker, one for heartbeats
// and one for sends, those of the journal, and those of the callers. They post functions to the loop over a bounded
// channel. State that must survive a crash is changed only after its record is durable.
package scheduler
