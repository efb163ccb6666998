package gate

import "time"

// settle learns from an attempt and gives its slot back. A request that was given up may work on
// in its target; its slot stays taken until the deadline that the target was told has passed.
func (g *Gate) settle(t *ticket, a *attempt) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	// The pool of the ticket: the list may have lost the service, or have it anew, since then.
	p := t.pool
	took := now.Sub(t.granted)
	p.balancer.RecordOutcome(t.info.ID, a.verdict, took, now)
	if a.leaving {
		p.balancer.MarkLeaving(t.info.ID)
	}
	if a.ending != notStarted {
		p.learn(took)
	}
	if a.ending == mayHaveRun && now.Before(a.until) {
		time.AfterFunc(a.until.Sub(now), func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.free(t, time.Now())
		})
		return
	}
	g.free(t, now)
}
