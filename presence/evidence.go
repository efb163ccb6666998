package presence

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// Evidence is what an owner knows when it ends a run without its worker's report, for the log.
type Evidence struct {
	Proof Proof
	Run   Run
	// LastWord is how long ago the worker last answered, Misses how many calls in a row it has not answered since.
	LastWord time.Duration
	Misses   int
	// LeaseLeft is the time until the worker's lease has certainly expired, OrderLeft the time until the start order is
	// void if Run.Expires is set. Either is negative once it has passed.
	LeaseLeft, OrderLeft time.Duration
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (e Evidence) MarshalLogObject(out zapcore.ObjectEncoder) error {
	out.AddString("proof", string(e.Proof))
	out.AddBool("confirmed", e.Run.Confirmed)
	out.AddBool("uncertain", e.Run.Uncertain)
	out.AddBool("recovered", e.Run.Recovered)
	out.AddDuration("lastWord", e.LastWord)
	out.AddInt("misses", e.Misses)
	out.AddDuration("leaseLeft", e.LeaseLeft)
	if e.Run.Expires > 0 {
		out.AddDuration("orderLeft", e.OrderLeft)
	}
	return nil
}
