package dispatch

import (
	"sync/atomic"
	"time"
)

const (
	// overloadLag is the mean tick delay of the loop above which the VM counts as overloaded. Checks can spare a few
	// hundred milliseconds, and each step of their path is delayed by this much.
	overloadLag = 40 * time.Millisecond
	// lagWeight is the weight of the newest tick: about half a second of lag is needed to count as overload.
	lagWeight = 0.25
)

// lag is the mean delay of the loop's ticks, which is also the delay of posted events.
type lag struct {
	// mean is in nanoseconds; other goroutines read it.
	mean atomic.Int64
}

func (l *lag) observe(delay time.Duration) {
	mean := l.mean.Load()
	l.mean.Store(mean + int64(lagWeight*float64(int64(delay)-mean)))
}

// overloaded reports whether the loop has lagged for more than a moment.
func (l *lag) overloaded() bool { return time.Duration(l.mean.Load()) > overloadLag }

const (
	// lateHoldPercent is the share of workers whose holds must be late at the same time for the owner itself to be
	// considered late. It exceeds one availability zone of three.
	lateHoldPercent = 40
	// lateHoldsLag is the lag that is assumed in that case.
	lateHoldsLag = 400 * time.Millisecond
)

// lateHoldLag detects a lag that the ticks do not show: calls and their answers also wait for the processor. Workers
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

// maxLagSlack bounds how much timeouts are extended because of the owner's own lag.
const maxLagSlack = time.Second

// slack is how much longer the owner waits for an answer because of its own lag. While the loop lags, its calls and
// their answers are delayed too, and responsive workers and VMs would seem silent. Their work would be given up and
// requested again, which would add to the load.
func (l *lag) slack() time.Duration { return min(2*time.Duration(l.mean.Load()), maxLagSlack) }

// Overloaded reports whether this VM owns the cell and cannot keep up with its work.
func (d *Dispatcher) Overloaded() bool {
	t, err := d.currentTerm()
	return err == nil && t.lag.overloaded()
}
