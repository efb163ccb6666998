package presence

import "time"

// LateCallWindow is how long after it was sent a call without an answer may still be carried out, by any instance under the
// worker's ID, as a call names the ID only.
const LateCallWindow = 5 * time.Second

// Sighting is how the instance that an entry or answer comes from relates to the one that an owner knows.
type Sighting int

// The sightings.
const (
	// Same means that it is the known instance, or that one of the two is unknown.
	Same Sighting = iota
	// Newer means that the known instance has ended and nothing runs on it.
	Newer
	// Earlier means that what it shows is out of date.
	Earlier
)

// Compare relates the instance that an entry or answer shows to the known one. Both are given by when they started, in
// Unix milliseconds; zero is unknown.
func Compare(known, shown int64) Sighting {
	switch {
	case known == 0 || shown == 0 || known == shown:
		return Same
	case shown > known:
		return Newer
	}
	return Earlier
}

// Fate is what becomes of a run whose worker has restarted.
type Fate int

// The fates.
const (
	// Over means that the run has ended with the earlier instance.
	Over Fate = iota
	// MayStart means that the start order may still be carried out by the newer instance. The run is over once that
	// instance has answered an order to stop it and does not list it later.
	MayStart
	// Unaffected means that the order was sent to the newer instance.
	Unaffected
)

// FateAfterRestart returns what becomes of a run on a worker that is found to have restarted. born is the newer instance.
// Orders of a former owner may have been sent at any time: the newer instance refuses them only once it has answered a
// call of this owner.
func (r *Run) FateAfterRestart(born int64, ofFormerOwner bool, now time.Time) Fate {
	switch {
	case r.Born == born:
		return Unaffected
	case ofFormerOwner || now.Before(r.LateUntil):
		return MayStart
	}
	return Over
}

// MoveToNewer makes the proofs of a run apply to a newer instance. They are withheld until a time, so that the loss of
// the earlier instance can be weighed before the task starts again.
func (r *Run) MoveToNewer(ofFormerOwner bool, until time.Time) {
	r.Recovered, r.Uncertain, r.Expires, r.LateUntil = ofFormerOwner, true, 0, until
}

// WeighOnce reports whether the loss of a worker instance is still to be weighed against the task of a run that may have
// been there, and records that it was. A run that may start late on a newer instance outlives the loss, and each later owner
// learns of the same loss again; LostWith is therefore saved with the weight. Where instances are not distinguished, the loss
// ends the run.
func (r *Run) WeighOnce(born int64) bool {
	instance := max(born, r.Born)
	if instance == 0 {
		return true
	}
	if r.LostWith >= instance {
		return false
	}
	r.LostWith = instance
	return true
}
