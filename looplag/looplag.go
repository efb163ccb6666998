package looplag

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

// Lag is the mean delay of the loop's ticks, which is also the delay of posted events.
type Lag struct {
	// mean is in nanoseconds; other goroutines read it.
	mean atomic.Int64
}

// Observe adds the delay of a tick.
func (l *Lag) Observe(delay time.Duration) {
	mean := l.mean.Load()
	l.mean.Store(mean + int64(lagWeight*float64(int64(delay)-mean)))
}

// Overloaded reports whether the loop has lagged for more than a moment.
func (l *Lag) Overloaded() bool { return time.Duration(l.mean.Load()) > overloadLag }

// maxLagSlack bounds how much timeouts are extended because of the owner's own lag.
const maxLagSlack = time.Second

// Slack is how much longer the owner waits for an answer because of its own lag. While the loop lags, its calls and
// their answers are delayed too, and responsive workers and VMs would seem silent. Their work would be given up and
// requested again, which would add to the load.
func (l *Lag) Slack() time.Duration { return min(2*time.Duration(l.mean.Load()), maxLagSlack) }

// Mean returns the mean delay.
func (l *Lag) Mean() time.Duration { return time.Duration(l.mean.Load()) }
