package presence

import "time"

// Proof is why a run is not on its worker and will never be there again, as written to the log.
type Proof string

// The proofs.
const (
	// NotSent means that its start order was never sent.
	NotSent Proof = "notSent"
	// Refused means that the worker refused the only start order.
	Refused Proof = "refused"
	// Unlisted means that the worker does not list it after its start order had become void.
	Unlisted Proof = "unlisted"
	// Fenced means that the worker does not list it, and refuses the orders of former owners.
	Fenced Proof = "fenced"
	// GangEnded means that the gang was present on all its workers and has ended.
	GangEnded Proof = "gangEnded"
	// Replaced means that another instance answers at the worker's address.
	Replaced Proof = "replaced"
	// Left means that the worker was leaving or under maintenance, and has left.
	Left Proof = "left"
	// Silent means that the worker was silent until its lease had expired.
	Silent Proof = "silent"
)

// Run is what an owner knows of a run on a worker.
type Run struct {
	// Confirmed is true once the worker is known to have the run.
	Confirmed bool
	// Uncertain is true while an order is unanswered: the run may exist, or may still start until Expires has passed
	// on the worker's clock.
	Uncertain bool
	// Recovered is true if a former owner sent the start order.
	Recovered bool
	// Expires is when the start order becomes void, on the worker's clock; zero if none was sent, or if the clock it was
	// given for is that of an earlier instance.
	Expires time.Duration
	// Born is the instance that the start order was sent to; zero if unknown.
	Born int64
	// LostWith is the latest instance whose loss has been weighed against the task for this run, zero if none.
	LostWith int64
	// LateUntil is when the start order can no longer arrive, if the worker may restart under its ID; a newer instance
	// would take the order for valid although it was void on the clock of the earlier one.
	LateUntil time.Time
	// Resumed is true if the run may have begun with the progress of a checkpoint.
	Resumed bool
}

// HasWorked reports whether a progress in percent shows that the run has worked, given the progress that was reported
// before it, zero if none. A resumed run reports that of its checkpoint while it waits, and none while it restores it.
func (r *Run) HasWorked(before, percent int) bool {
	if r.Resumed {
		return before > 0 && percent > before
	}
	return percent > 0
}

// Unlisted returns the proof, if there is one, that a run can no longer be on a worker that does not list it in an
// answer to this owner. clock is the reading of the worker's clock in that answer, which arrived now.
func (r *Run) Unlisted(clock time.Duration, now time.Time) (Proof, bool) {
	switch {
	case now.Before(r.LateUntil):
	case r.Recovered:
		return Fenced, true
	case r.Uncertain && r.Expires > 0 && clock > r.Expires:
		return Unlisted, true
	}
	return "", false
}
