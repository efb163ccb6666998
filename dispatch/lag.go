package dispatch

import (
	"time"

	"turmericgap/lag"
)

// lateHoldLag detects a lag that the ticks do not show. Workers that are known to be silent do not count.
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
	return lag.OfLateHolds(late, known)
}

// Overloaded reports whether this VM owns the cell and cannot keep up with its work.
func (d *Dispatcher) Overloaded() bool {
	t, err := d.currentTerm()
	return err == nil && t.lag.Overloaded()
}
