package dispatch

import "time"

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

// Overloaded reports whether this VM owns the cell and cannot keep up with its work.
func (d *Dispatcher) Overloaded() bool {
	t, err := d.currentTerm()
	return err == nil && t.lag.Overloaded()
}
