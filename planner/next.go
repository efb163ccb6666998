package planner

import (
	"slices"
	"time"

	"turmericgap/job"
	"turmericgap/placement"
)

// mostWanting bounds the blocked jobs for which one pass tries to make room.
const mostWanting = 16

// mostUnfit bounds the sizes that are remembered to fit nowhere.
const mostUnfit = 32

// Next decides up to most starts. Their resources are taken at once. A gang's starts come whole in
// one plan, also if they are more than most.
func (p *Planner) Next(now time.Time, most int) Plan {
	p.tick(now)
	p.expire(now)
	if p.freed || len(p.freedOn) > 0 {
		p.unfit = p.unfit[:0]
	}
	var plan Plan
	p.queue.BeginRound()
	if p.freed {
		p.queue.UnblockAll()
		p.wanting, p.freed = p.wanting[:0], false
	}
	// What was freed is for those who waited, so that lanes with a chance are opened before what is
	// new is tried. Each pass opens some; the first is made in any case.
	p.queue.UnblockCandidates(p.chance)
	for more := true; more && len(plan.Starts) < most; more = p.queue.UnblockCandidates(p.chance) {
		p.pass(now, most, &plan)
	}
	if len(plan.Starts) < most {
		clear(p.freedOn)
		p.freedOn = p.freedOn[:0]
	}
	p.makeRoom(now, &plan)
	return plan
}

// pass goes once through the lanes that are not blocked.
func (p *Planner) pass(now time.Time, most int, plan *Plan) {
	pass := p.queue.BeginPass(now, p.terms)
	for len(plan.Starts) < most {
		it := pass.Next()
		if it == nil {
			break
		}
		e, key := it.Value, *it.Key()
		if p.try(now, e, plan) {
			pass.MarkStarted(&key)
			continue
		}
		if e.waits == waitsCapacity {
			p.want(e)
		}
		pass.BlockLane(it)
	}
}

// want notes a blocked job; of too many, those that need a reservation least are left out.
func (p *Planner) want(e *entry) {
	if slices.Contains(p.wanting, e) {
		return
	}
	if len(p.wanting) < mostWanting {
		p.wanting = append(p.wanting, e)
		return
	}
	lowest := 0
	for i := range p.wanting {
		if p.wanting[lowest].needsMore(p.wanting[i]) {
			lowest = i
		}
	}
	if e.needsMore(p.wanting[lowest]) {
		p.wanting[lowest] = e
	}
}

// try starts one task of a job, or a whole gang.
func (p *Planner) try(now time.Time, e *entry, plan *Plan) bool {
	count := e.tasksNext()
	switch {
	case e.leaving > 0 && e.spec.Gang:
		// A part of a preempted gang would start beside those that have not stopped yet, and run
		// alone once they have.
		return e.wait(now, waitsStop)
	case e.effect.MostRunning > 0 && p.tally(e.decision.Rule).running+count > e.effect.MostRunning:
		return e.wait(now, waitsLimit)
	case !p.ledger.Fits(e.pool, e.charge.Times(count)) && !p.ledger.CanBorrow(e.pool):
		return e.wait(now, waitsQuota)
	case e.spec.Gang:
		nodes := p.index.FindGang(e.charge, count, e.spec.Zone, func(n *placement.Node) job.Resources { return p.room(now, e, n) })
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
			if n := p.index.Node(k.worker); n != nil && e.charge.Fits(n.AvailableNow()) {
				return n
			}
		}
	}
	if !p.unfits(e) {
		q := placement.Query{
			Request: e.charge, Zone: e.spec.Zone, PreferredZones: e.effect.Zones, Strategy: e.strategy, TasksOnNode: e.near,
		}
		if n := p.index.Find(&q); n != nil {
			return n
		}
		p.noteUnfit(e)
	}
	return p.backfill(now, e)
}

// unfit is a size for which no worker of a zone had room.
type unfit struct {
	each job.Resources
	zone string
}

// unfits reports whether no less was sought in vain since anything was freed.
func (p *Planner) unfits(e *entry) bool {
	for i := range p.unfit {
		if u := &p.unfit[i]; u.each.Fits(e.charge) && (u.zone == "" || u.zone == e.spec.Zone) {
			return true
		}
	}
	return false
}

// noteUnfit keeps the smallest sizes.
func (p *Planner) noteUnfit(e *entry) {
	p.unfit = slices.DeleteFunc(p.unfit, func(u unfit) bool {
		return e.charge.Fits(u.each) && (e.spec.Zone == "" || e.spec.Zone == u.zone)
	})
	if len(p.unfit) < mostUnfit {
		p.unfit = append(p.unfit, unfit{e.charge, e.spec.Zone})
	}
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
