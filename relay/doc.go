// Package relay lets the owner of a cell reach some of its workers through other entry VMs, which make the connections
// and calls that would otherwise take most of the owner's processor.
//
// A relay makes no decisions and keeps no state: it makes each call as the owner would and returns the answers in
// batches. Workers see no difference, so the guarantees for a call over a slow network hold: a start is void after a
// fixed time on the worker's clock, a stop forbids a run permanently, a hold extends a lease to a time fixed when the
// hold was decided, and each call carries the owner's fencing token. A call that a relay makes late or twice is
// equivalent to a message that the network delivers late or twice.
//
// A relay that does not answer says nothing about its workers: the owner repeats the calls in flight directly, and
// assigns the workers to other relays.
package relay
