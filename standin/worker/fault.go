package worker

import (
	"errors"
	"time"
)

// Fault says how the worker fails; the zero value is a sound worker.
type Fault struct {
	// Down gives no call an effect or an answer.
	Down bool `json:"down"`
	// DelayMillis passes before a call takes effect, also when its caller has given up by then.
	DelayMillis int64 `json:"delayMillis"`
	// LoseAnswers is how many calls take effect without an answer.
	LoseAnswers int `json:"loseAnswers"`
	// Frozen stops the VM: no call, end or lapse happens before it is thawed.
	Frozen bool `json:"frozen"`
	// FailAll ends at once, with exit code 1, every task that starts.
	FailAll bool `json:"failAll"`
	// Truncate is how many answers of tasks are cut while their length and sum stay.
	Truncate int `json:"truncate"`
}

var (
	errDown = errors.New("worker is down")
	errLost = errors.New("the answer was lost")
	// errRestarted is the cut connection of a call that was on its way during a restart.
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

// Fault gives the present fault.
func (w *Worker) Fault() Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fault
}

// thaw does what became due while the VM was frozen, lapses first: they came before any call that
// waits, and a renewal that waits must not revive them.
func (w *Worker) thaw(now time.Time) {
	for id, a := range w.attempts {
		w.lapseIfDue(id, a, now)
	}
	for id, a := range w.attempts {
		w.endIfDue(id, a, now)
		w.tellUsageIfDue(id, a, now)
	}
	close(w.thawed)
}

// Violations lists what callers asked for that a worker must never be asked for.
func (w *Worker) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.violations...)
}
