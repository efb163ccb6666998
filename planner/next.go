package planner

import (
	"time"

	"turmericgap/job"
	"turmericgap/placement"
)

// mostWanting bounds the blocked jobs for which one pass tries to make room.
const mostWanting = 16

// Next decides up to most starts. Their resources are taken at once. A gang's starts come whole in
// one plan, also if they are more than most.
func (p *Planner) Next(now time.Time, most int) Plan {
	p.tick(now)
	p.expire(now)
	if p.freed {
		p.queue.Unblock()
		p.wanting, p.oldest, p.freed = p.wanting[:0], nil, false
	}
	var plan Plan
	pass := p.queue.Begin(now, p.terms)
	for len(plan.Starts) < most {
		it := pass.Next()
		if it == nil {
			break
		}
		e := it.Value
		if p.try(now, e, &plan) {
			pass.Started()
			continue
		}
		if e.waits == waitsCapacity {
			p.want(now, e)
		}
		pass.Block(it)
	}
	p.makeRoom(now, &plan)
	return plan
}

// want notes a blocked job; of too many, those of the lowest bands are left out.
func (p *Planner) want(now time.Time, e *entry) {
	if !e.item.LateAt.After(now) && (p.oldest == nil || e.item.LateAt.Before(p.oldest.item.LateAt)) {
		p.oldest = e
	}
	if len(p.wanting) < mostWanting {
		p.wanting = append(p.wanting, e)
		return
	}
	lowest := 0
	for i := range p.wanting {
		if p.wanting[i].band() < p.wanting[lowest].band() {
			lowest = i
		}
	}
	if p.wanting[lowest].band() < e.band() {
		p.wanting[lowest] = e
	}
}

// try starts one task of a job, or a whole gang.
func (p *Planner) try(now time.Time, e *entry, plan *Plan) bool {
	count := e.tasksNext()
	switch {
	case e.effect.MostRunning > 0 && p.tally(e.decision.Rule).running+count > e.effect.MostRunning:
		return e.wait(now, waitsLimit)
	case !p.ledger.Within(e.pool, e.charge.Times(count)) && !p.ledger.MayBorrow(e.pool):
		return e.wait(now, waitsQuota)
	case e.spec.Gang:
		nodes := p.index.Gang(e.charge, count, e.spec.Zone, func(n *placement.Node) job.Resources { return p.room(now, e, n) })
		if nodes == nil {
			return e.wait(now, waitsCapacity)
		}
		p.start(now, e, nodes, plan)
		return true
	}
	n := p.place(now, e)
	if n == nil {
		return e.wait(now, waitsCapacity)
	}
	p.start(now, e, []*placement.Node{n}, plan)
	return true
}

func (e *entry) wait(now time.Time, w wait) bool {
	if e.waits != w {
		e.waits, e.waitsSince = w, now
	}
	return false
}

func (p *Planner) place(now time.Time, e *entry) *placement.Node {
	if r := e.reservation; r != nil {
		for _, k := range r.kept {
			if n := p.index.Node(k.worker); n != nil && e.charge.Fits(n.Now()) {
				return n
			}
		}
	}
	q := placement.Query{
		Each: e.charge, Zone: e.spec.Zone, Prefer: e.effect.Zones, Strategy: e.strategy, Near: e.near,
	}
	if n := p.index.Find(&q); n != nil {
		return n
	}
	return p.backfill(now, e)
}

// start takes the resources of the job's next tasks, one on each node.
func (p *Planner) start(now time.Time, e *entry, nodes []*placement.Node, plan *Plan) {
	if e.spec.Gang {
		p.unreserve(e.reservation)
		// The lane is keyed by the gang's size, which changes now.
		p.queue.Remove(&e.item)
	}
	for _, n := range nodes {
		index := e.takePending()
		p.countPending(e, -1)
		p.take(e, index, n.Info.ID)
		p.consume(e.reservation, n.Info.ID)
		plan.Starts = append(plan.Starts, Start{
			Job: e.id, Task: index, Worker: n.Info.ID, Waited: now.Sub(e.accepted), Rule: e.decision.Rule,
		})
	}
	e.waits, e.waitsSince = waitsTurn, now
	if len(e.pending) == 0 {
		p.queue.Remove(&e.item)
	}
}
