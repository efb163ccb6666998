package planner

import (
	"fmt"
	"maps"
	"time"

	"turmericgap/job"
	"turmericgap/rule"
)

// Explain explains what a job waits for.
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
		x.WaitsFor = p.waitsFor(now, e)
		x.LateAt = e.item.LateAt
	}
	if e.reservation != nil {
		x.ReservedAt = e.reservation.at
	}
	return x
}

func (p *Planner) waitsFor(now time.Time, e *entry) string {
	since := now.Sub(e.waitsSince).Round(time.Second)
	switch e.waits {
	case waitsCapacity:
		what := fmt.Sprintf("a worker with %s free", size(e.charge))
		if e.spec.Gang {
			what = fmt.Sprintf("one zone with room for %d tasks of %s", len(e.pending), size(e.charge))
		}
		if e.reservation != nil {
			return fmt.Sprintf("%s, for %s; reserved", what, since)
		}
		return fmt.Sprintf("%s, for %s", what, since)
	case waitsLimit:
		return fmt.Sprintf("the limit of %d running tasks under rule %s", e.effect.MostRunning, e.decision.Rule)
	case waitsQuota:
		return "the quota of pool " + e.pool
	case waitsStop:
		return "the rest of its gang to stop"
	case waitsTurn:
	}
	return "its turn"
}

func size(r job.Resources) string {
	text := fmt.Sprintf("%d millicores and %d MB", r.Millicores, r.MemoryMB)
	if r.Accelerators > 0 {
		text += fmt.Sprintf(" and %d accelerators", r.Accelerators)
	}
	return text
}

// Stats sums up the planner's state.
func (p *Planner) Stats(_ time.Time) Stats {
	has, free := p.index.Totals()
	s := Stats{
		Pending: maps.Clone(p.classes), Running: len(p.running), Workers: p.index.Len(), Open: p.index.OpenCount(),
		Has: has, Used: has.Minus(free),
	}
	s.Packing = packing(s.Used, s.Has)
	return s
}

func packing(used, has job.Resources) float64 {
	most := 0.0
	share := func(u, h int64) {
		if h > 0 {
			most = max(most, float64(u)/float64(h))
		}
	}
	share(used.Millicores, has.Millicores)
	share(used.MemoryMB, has.MemoryMB)
	share(used.Accelerators, has.Accelerators)
	return most
}
