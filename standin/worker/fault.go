package worker

import (
	"errors"
	"time"
)

// Fault defines how the worker fails; the zero value is a healthy worker.
type Fault struct {
	// Down makes all calls fail without effect.
	Down bool `json:"down"`
	// DelayMillis is the delay before a call takes effect, even if its caller has given up by then.
	DelayMillis int64 `json:"delayMillis"`
	// LoseAnswers is the number of further calls that take effect and whose answers are lost.
	LoseAnswers int `json:"loseAnswers"`
	// Frozen suspends the VM: calls, ends and lease expiries are delayed until the fault is reset.
	Frozen bool `json:"frozen"`
	// FailAll makes each task end with exit code 1 when it starts.
	FailAll bool `json:"failAll"`
	// Truncate is the number of further task answers whose body is cut, while their length and checksum are kept.
	Truncate int `json:"truncate"`
}

var (
	errDown = errors.New("worker is down")
	errLost = errors.New("the answer was lost")
	// errRestarted is the result of a call that was in flight during a restart.
	errRestarted = errors.New("worker restarted")
)

// SetFault replaces the fault.
func (w *Worker) SetFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	thaws := w.fault.Frozen && !f.Frozen
	freezes := !w.fault.Frozen && f.Frozen
	w.fault = f
	if freezes {
		w.thawed = make(chan struct{})
	}
	if thaws {
		w.thaw(time.Now())
	}
}

// Fault returns the current fault.
func (w *Worker) Fault() Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault
}

// thaw processes what became due while the VM was frozen. Expired leases come first, since they precede all pending
// calls: a pending renewal must not revive an expired attempt.
func (w *Worker) thaw(now time.Time) {
	for id, a := range w.attempts {
		w.expireIfDue(id, a, now)
	}
	for id, a := range w.attempts {
		w.endIfDue(id, a, now)
		w.reportUsageIfDue(id, a, now)
	}
	close(w.thawed)
}

// Violations returns the violations by callers: requests that they must never send to a worker.
func (w *Worker) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.violations...)
}
