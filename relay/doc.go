// Package relay lets the owner of a cell reach a part of its workers by way of other entry VMs, which then make the
// connections and the calls that would take most of the owner's processor.
//
// A relay decides nothing and remembers nothing: it carries out each call as the owner would, and hands the answers
// back in bulk. The worker cannot tell the difference, so that what holds for a call over a slow network holds here:
// a start is void after its time on the worker's clock, a stop forbids a run for good, a hold extends a lease to a
// moment that was fixed when it was decided, and each carries the owner's fencing token. A call that a relay carries out late
// or twice is one that the network delivers late or twice.
//
// A relay's silence is not a worker's: when its answers stay away, what was under way through it is put to the workers
// by the owner itself, and its workers are shared out anew.
package relay
