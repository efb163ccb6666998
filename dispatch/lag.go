package dispatch

import (
	"sync/atomic"
	"time"
)

const (
	// lagMost is how far the loop may lag behind its ticks before the VM counts as overloaded. Checks have
	// some hundred milliseconds to spare, and each step of their path waits as long.
	lagMost = 40 * time.Millisecond
	// lagWeight is the weight of the newest tick: half a second of lag is needed to count.
	lagWeight = 0.25
)

// lag is how late the loop gets to its ticks: how long whatever is posted to it waits.
type lag struct {
	// usual is the mean, in nanoseconds; other goroutines read it.
	usual atomic.Int64
}

func (l *lag) take(behind time.Duration) {
	usual := l.usual.Load()
	l.usual.Store(usual + int64(lagWeight*float64(int64(behind)-usual)))
}

// overloaded reports whether the loop lags for more than a moment.
func (l *lag) overloaded() bool { return time.Duration(l.usual.Load()) > lagMost }

// Overloaded reports whether this VM owns the cell and cannot keep up with its work.
func (d *Dispatcher) Overloaded() bool {
	t, err := d.current()
	return err == nil && t.lag.overloaded()
}
