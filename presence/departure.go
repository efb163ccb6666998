package presence

import (
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// entryLifetime is how long the entry of a silent worker stays: three intervals of about a second and a half.
	entryLifetime = 4500 * time.Millisecond
	// maxDepartureAge is the maximum age of a worker's last entry for its removal to count as the worker's own. An
	// estimate of the worker's clock is early by the travel time of an answer, so it is well below entryLifetime.
	maxDepartureAge = 2500 * time.Millisecond
)

// Departure is what an owner knows of a worker whose entry was removed from the store. The worker removes it on leaving,
// and the store once it has lapsed.
type Departure struct {
	// Leaving is true if the entry announced that the worker leaves, TimeLeft how much later than the entry at the
	// earliest.
	Leaving  bool
	TimeLeft time.Duration
	// Written is the reading of the worker's clock in the entry, zero if unknown, and Removed the estimate of that clock
	// at the removal.
	Written, Removed time.Duration
	// Contact is for how long, until the removal, the store had answered this VM without a break. A store that was away
	// may have let entries of any age lapse.
	Contact time.Duration
	// Answered is true if the worker has answered a call that was sent after the removal.
	Answered bool
}

// Left returns the proof, if there is one, that the worker has removed the entry itself, so that nothing runs there.
func (d *Departure) Left() (Proof, bool) {
	age := d.Removed - d.Written
	lapsed := d.Written <= 0 || age >= maxDepartureAge || d.Contact < entryLifetime
	early := d.TimeLeft > 0 && age < d.TimeLeft
	return Left, d.Leaving && !lapsed && !early && !d.Answered
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (d Departure) MarshalLogObject(out zapcore.ObjectEncoder) error {
	_, left := d.Left()
	out.AddBool("left", left)
	out.AddBool("leaving", d.Leaving)
	out.AddDuration("timeLeft", d.TimeLeft)
	out.AddDuration("entryAge", d.Removed-d.Written)
	out.AddDuration("storeContact", d.Contact)
	out.AddBool("answered", d.Answered)
	return nil
}
