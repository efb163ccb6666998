package gate

import "time"

// finishAttempt learns from an attempt and gives its slot back. A request that was given up may work on
// in its target; its slot stays taken until the deadline that the target was told has passed.
func (g *Gate) finishAttempt(t *ticket, a *attempt) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	// The pool of the ticket: the list may have lost the service, or have it anew, since then.
	p := t.pool
	took := now.Sub(t.grantedAt)
	p.balancer.RecordOutcome(t.info.ID, a.outcome, took, now)
	if a.leaving {
		p.balancer.MarkLeaving(t.info.ID)
	}
	if a.state != notStarted {
		p.observeRunTime(took)
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
