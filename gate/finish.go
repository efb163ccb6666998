package gate

import "time"

// finishAttempt records the outcome of an attempt and releases its slot. The target may still work
// on a request that was given up, so its slot is released only after the deadline sent to the target
// plus Limits.Grace.
func (g *Gate) finishAttempt(t *ticket, a *attempt) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	// The ticket's own pool is used because the service may have left the target list meanwhile, or
	// have come back with a new pool.
	p := t.pool
	elapsed := now.Sub(t.grantedAt)
	p.balancer.RecordOutcome(t.info.ID, a.outcome, elapsed, now)
	if a.leaving {
		p.balancer.MarkLeaving(t.info.ID)
	}
	if a.state != notStarted {
		p.addRunTime(elapsed)
	}
	if a.state == mayHaveRun && now.Before(a.occupiedUntil) {
		time.AfterFunc(a.occupiedUntil.Sub(now), func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.releaseSlot(t, time.Now())
		})
		return
	}
	g.releaseSlot(t, now)
}
