package dispatch

import (
	"sync/atomic"
	"time"
)

const (
	// overloadLag is how far the loop may lag behind its ticks before the VM counts as overloaded. Checks have
	// some hundred milliseconds to spare, and each step of their path waits as long.
	overloadLag = 40 * time.Millisecond
	// lagWeight is the weight of the newest tick: half a second of lag is needed to count.
	lagWeight = 0.25
)

// lag is how late the loop gets to its ticks: how long whatever is posted to it waits.
type lag struct {
	// mean is the mean, in nanoseconds; other goroutines read it.
	mean atomic.Int64
}

func (l *lag) observe(behind time.Duration) {
	usual := l.mean.Load()
	l.mean.Store(usual + int64(lagWeight*float64(int64(behind)-usual)))
}

// overloaded reports whether the loop lags for more than a moment.
func (l *lag) overloaded() bool { return time.Duration(l.mean.Load()) > overloadLag }

const (
	// lateHoldPercent is the part of the workers whose holds must be late at the same time, in percent, for the owner to be
	// what is late: more than an availability zone of three.
	lateHoldPercent = 40
	// lateHoldsLag is the lag that stands for that.
	lateHoldsLag = 400 * time.Millisecond
)

// lateHoldLag tells of a lag that the loop does not show: calls and their answers wait for the processor as well. Workers
// that are known to be silent do not count.
func (t *term) lateHoldLag(now time.Time) time.Duration {
	late, known := 0, 0
	for _, n := range t.sortedNodes {
		if !n.listed || !n.synced || n.misses > 0 {
			continue
		}
		known++
		if n.holding && now.After(n.holdDue) {
			late++
		}
	}
	if 100*late > lateHoldPercent*known {
		return lateHoldsLag
	}
	return 0
}

// maxLagSlack bounds by how much waits for answers are lengthened for the owner's own lag.
const maxLagSlack = time.Second

// slack is how much longer than usual the owner waits before it counts an answer as late. While its loop lags, its own
// calls and the answers to them wait as well, and workers and VMs that answer at once would look silent: what they
// were to do would be given up and asked again, and the owner lag the more.
func (l *lag) slack() time.Duration { return min(2*time.Duration(l.mean.Load()), maxLagSlack) }

// Overloaded reports whether this VM owns the cell and cannot keep up with its work.
func (d *Dispatcher) Overloaded() bool {
	t, err := d.currentTerm()
	return err == nil && t.lag.overloaded()
}
