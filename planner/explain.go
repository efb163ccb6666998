package planner

import (
	"fmt"
	"maps"
	"time"

	"turmericgap/job"
	"turmericgap/rule"
)

// Explain returns the state of a job and the reason why it waits.
func (p *Planner) Explain(now time.Time, jobID string) Explanation {
	e, ok := p.jobs[jobID]
	if !ok {
		return Explanation{Job: jobID}
	}
	x := Explanation{
		Job: jobID, Known: true, Rule: e.decision.Rule, Pending: len(e.pending), Running: len(e.running),
		Pool: e.pool, Holds: p.ledger.Usage(e.pool), Charge: e.charge,
	}
	if p.options.Rules != nil {
		var r rule.Request
		r.ForJob(e.accepted, e.spec)
		x.Rules = p.options.Rules.Explain(&r)
	}
	if x.Pending > 0 {
		x.WaitsFor = p.describeWait(now, e)
		x.LateAt = e.item.LateAt
	}
	if e.reservation != nil {
		x.ReservedAt = e.reservation.startAt
	}
	return x
}

func (p *Planner) describeWait(now time.Time, e *entry) string {
	since := now.Sub(e.waitingSince).Round(time.Second)
	switch e.waitReason {
	case waitCapacity:
		what := fmt.Sprintf("a worker with %s free", formatResources(e.charge))
		if e.spec.Gang {
			what = fmt.Sprintf("one zone with room for %d tasks of %s", len(e.pending), formatResources(e.charge))
		}
		if e.reservation != nil {
			return fmt.Sprintf("%s, for %s; reserved", what, since)
		}
		return fmt.Sprintf("%s, for %s", what, since)
	case waitLimit:
		return fmt.Sprintf("the limit of %d running tasks under rule %s", e.effect.MaxRunning, e.decision.Rule)
	case waitQuota:
		return "the quota of pool " + e.pool
	case waitGangStop:
		return "the rest of its gang to stop"
	case waitInQueue:
	}
	return "its turn"
}

func formatResources(r job.Resources) string {
	text := fmt.Sprintf("%d millicores and %d MB", r.Millicores, r.MemoryMB)
	if r.Accelerators > 0 {
		text += fmt.Sprintf(" and %d accelerators", r.Accelerators)
	}
	return text
}

// Stats returns a summary of the planner's state.
func (p *Planner) Stats(_ time.Time) Stats {
	capacity, free := p.index.Totals()
	s := Stats{
		Pending: maps.Clone(p.pendingByClass), Running: len(p.running), Workers: p.index.Len(), Open: p.index.OpenCount(),
		Has: capacity, Used: capacity.Minus(free),
	}
	s.Packing = dominantShare(s.Used, s.Has)
	return s
}

func dominantShare(used, capacity job.Resources) float64 {
	most := 0.0
	share := func(u, h int64) {
		if h > 0 {
			most = max(most, float64(u)/float64(h))
		}
	}
	share(used.Millicores, capacity.Millicores)
	share(used.MemoryMB, capacity.MemoryMB)
	share(used.Accelerators, capacity.Accelerators)
	return most
}
