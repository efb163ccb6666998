package lag

import (
	"sync/atomic"
	"time"
)

const (
	// overloadLag is the mean tick delay of the loop above which the VM counts as overloaded. Checks can spare a few
	// hundred milliseconds, and each step of their path is delayed by this much.
	overloadLag = 40 * time.Millisecond
	// weight is the weight of the newest tick: about half a second of lag is needed to count as overload.
	weight = 0.25
	// maxSlack bounds how much timeouts are extended because of the loop's own lag.
	maxSlack = time.Second
	// lateHoldPercent is the share of workers whose holds must be late at the same time for the owner itself to be
	// considered late. It exceeds one availability zone of three.
	lateHoldPercent = 40
	// lateHoldsLag is the lag that is assumed in that case.
	lateHoldsLag = 400 * time.Millisecond
)

// Meter is the mean delay of a loop's ticks, which is also the delay of its events. The loop calls Observe; the other
// methods are safe for concurrent use.
type Meter struct {
	// mean is in nanoseconds.
	mean atomic.Int64
}

// Observe records the delay of a tick.
func (m *Meter) Observe(delay time.Duration) {
	mean := m.mean.Load()
	m.mean.Store(mean + int64(weight*float64(int64(delay)-mean)))
}

// Mean returns the mean delay.
func (m *Meter) Mean() time.Duration { return time.Duration(m.mean.Load()) }

// Overloaded reports whether the loop has lagged for more than a moment.
func (m *Meter) Overloaded() bool { return m.Mean() > overloadLag }

// Slack is how much longer to wait for an answer because of the loop's own lag. While the loop lags, its calls and
// their answers are delayed too, and responsive workers and VMs would seem silent. Their work would be given up and
// requested again, which would add to the load.
func (m *Meter) Slack() time.Duration { return min(2*m.Mean(), maxSlack) }

// OfLateHolds returns the lag that late answers to holds show, given the number of late holds and that of workers with
// a hold. Ticks do not show such a lag: calls and their answers also wait for the processor.
func OfLateHolds(late, workers int) time.Duration {
	if 100*late > lateHoldPercent*workers {
		return lateHoldsLag
	}
	return 0
}
