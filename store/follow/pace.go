package follow

import "time"

// Pace chooses the pauses of one Follower. It limits how often a watch is read.
//
// It answers a prefix whose writers are many: a fixed pause between two responses, of which each holds a bounded number of
// changes, is a limit of the changes read in a second. Beyond it the follower would fall behind by a little more each
// second, without an error.
type Pace struct {
	// MaxInterval is the pause after a response with changes while there are few.
	MaxInterval time.Duration
	// BatchEvents is the number of changes that a response should hold. Where more are written within MaxInterval, the
	// pause is shorter.
	BatchEvents int
	// Ahead, if set, returns for how long the store is known to have been ahead of a revision. While that is longer than
	// aheadIntervals times MaxInterval, there is no pause.
	Ahead func(revision int64) time.Duration

	last time.Time
	// events and elapsed are sums over the latest batches, of which earlier ones count less.
	events  float64
	elapsed time.Duration
}

// aheadIntervals times MaxInterval is more than the age of the last change in a complete response: one interval has passed
// since the response before.
const aheadIntervals = 2

// rateMemory is the weight of the earlier batches in the rate of changes when a new one arrives.
const rateMemory = 0.8

// Pause returns how long to wait after a batch with events that ends at a revision.
func (p *Pace) Pause(events int, revision int64) time.Duration {
	now := time.Now()
	if p.last.IsZero() {
		p.last = now.Add(-p.MaxInterval)
	}
	p.events = p.events*rateMemory + float64(events)
	p.elapsed = time.Duration(float64(p.elapsed)*rateMemory) + now.Sub(p.last)
	p.last = now
	if p.Ahead != nil && p.Ahead(revision) > aheadIntervals*p.MaxInterval {
		return 0
	}
	return min(p.MaxInterval, time.Duration(float64(p.BatchEvents)*float64(p.elapsed)/p.events))
}
