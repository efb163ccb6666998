package planner

import (
	"slices"
	"time"

	"turmericgap/job"
	"turmericgap/placement"
)

// maxBlockedJobs limits the blocked jobs for which one call of Next tries to preempt tasks or reserve workers.
const maxBlockedJobs = 16

// maxUnfitRequests limits the number of cached requests that fit no worker.
const maxUnfitRequests = 32

// Next plans up to limit starts and allocates their resources. All tasks of a gang start in the same plan, even if
// that exceeds limit.
func (p *Planner) Next(now time.Time, limit int) Plan {
	p.advanceClock(now)
	p.expireReservations(now)
	if p.retryAll || len(p.freedNodes) > 0 {
		p.unfitRequests = p.unfitRequests[:0]
	}
	var plan Plan
	p.queue.BeginRound()
	if p.retryAll {
		p.queue.UnblockAll()
		p.blockedJobs, p.retryAll = p.blockedJobs[:0], false
	}
	// Freed capacity goes to waiting jobs first, so lanes that may start now are unblocked before new jobs are tried.
	// Each pass unblocks some lanes; the first pass always runs.
	p.queue.UnblockCandidates(p.mayStart)
	for more := true; more && len(plan.Starts) < limit; more = p.queue.UnblockCandidates(p.mayStart) {
		p.runPass(now, limit, &plan)
	}
	if len(plan.Starts) < limit {
		clear(p.freedNodes)
		p.freedNodes = p.freedNodes[:0]
	}
	p.preemptOrReserve(now, &plan)
	return plan
}

// runPass tries the lanes that are not blocked, once each in order of precedence.
func (p *Planner) runPass(now time.Time, limit int, plan *Plan) {
	pass := p.queue.BeginPass(now, p.poolUsage)
	for len(plan.Starts) < limit {
		it := pass.Next()
		if it == nil {
			break
		}
		e, key := it.Value, *it.Key()
		if p.tryStart(now, e, plan) {
			pass.MarkStarted(&key)
			continue
		}
		if e.waitReason == waitCapacity {
			p.noteBlocked(e)
		}
		pass.BlockLane(it)
	}
}

// noteBlocked remembers a blocked job. If there are too many, it keeps those that need a reservation most.
func (p *Planner) noteBlocked(e *entry) {
	if slices.Contains(p.blockedJobs, e) {
		return
	}
	if len(p.blockedJobs) < maxBlockedJobs {
		p.blockedJobs = append(p.blockedJobs, e)
		return
	}
	lowest := 0
	for i := range p.blockedJobs {
		if p.blockedJobs[lowest].goesBefore(p.blockedJobs[i]) {
			lowest = i
		}
	}
	if e.goesBefore(p.blockedJobs[lowest]) {
		p.blockedJobs[lowest] = e
	}
}

// tryStart starts one task of a job, or all tasks of a gang.
func (p *Planner) tryStart(now time.Time, e *entry, plan *Plan) bool {
	count := e.nextStartCount()
	switch {
	case e.preempting > 0 && e.spec.Gang:
		// Starting some tasks of a preempted gang now would leave them running alone once the others stop.
		return e.setWaitReason(now, waitGangStop)
	case e.effect.MaxRunning > 0 && p.ruleTaskCounts(e.decision.Rule).running+count > e.effect.MaxRunning:
		return e.setWaitReason(now, waitLimit)
	case !p.ledger.Fits(e.pool, e.charge.Times(count)) && !p.ledger.CanBorrow(e.pool):
		return e.setWaitReason(now, waitQuota)
	case e.spec.Gang:
		nodes := p.index.FindGang(e.charge, count, e.spec.Zone,
			func(n *placement.Node) job.Resources { return p.availableTo(now, e, n) })
		if nodes == nil {
			return e.setWaitReason(now, waitCapacity)
		}
		p.startTasks(now, e, nodes, plan)
		return true
	}
	n := p.findNode(now, e)
	if n == nil {
		return e.setWaitReason(now, waitCapacity)
	}
	p.startTasks(now, e, []*placement.Node{n}, plan)
	return true
}

// setWaitReason records why the job waits. It always returns false, the result of a failed tryStart.
func (e *entry) setWaitReason(now time.Time, w waitReason) bool {
	if e.waitReason != w {
		e.waitReason, e.waitingSince = w, now
	}
	return false
}

func (p *Planner) findNode(now time.Time, e *entry) *placement.Node {
	if r := e.reservation; r != nil {
		for _, k := range r.workers {
			if n := p.index.Node(k.worker); n != nil && e.charge.FitsIn(n.AvailableNow()) {
				return n
			}
		}
	}
	if !p.knownUnfit(e) {
		q := placement.Query{
			Request: e.charge, Zone: e.spec.Zone, PreferredZones: e.effect.Zones, Strategy: e.strategy,
			TasksOnNode: e.tasksOnNode,
		}
		if n := p.index.Find(&q); n != nil {
			return n
		}
		p.noteUnfit(e)
	}
	return p.backfill(now, e)
}

// unfitRequest is a request that fits no worker of a zone; an empty zone means all zones.
type unfitRequest struct {
	request job.Resources
	zone    string
}

// knownUnfit reports whether an equal or smaller request failed since capacity was last freed.
func (p *Planner) knownUnfit(e *entry) bool {
	for i := range p.unfitRequests {
		if u := &p.unfitRequests[i]; u.request.FitsIn(e.charge) && (u.zone == "" || u.zone == e.spec.Zone) {
			return true
		}
	}
	return false
}

// noteUnfit remembers that the job's request fits no worker and drops larger requests that this implies.
func (p *Planner) noteUnfit(e *entry) {
	p.unfitRequests = slices.DeleteFunc(p.unfitRequests, func(u unfitRequest) bool {
		return e.charge.FitsIn(u.request) && (e.spec.Zone == "" || e.spec.Zone == u.zone)
	})
	if len(p.unfitRequests) < maxUnfitRequests {
		p.unfitRequests = append(p.unfitRequests, unfitRequest{e.charge, e.spec.Zone})
	}
}

// startTasks allocates resources for the job's next tasks, one per element of nodes.
func (p *Planner) startTasks(now time.Time, e *entry, nodes []*placement.Node, plan *Plan) {
	if e.spec.Gang {
		p.unreserve(e.reservation)
		// The lane key contains the size of the gang, which changes below.
		p.queue.Remove(&e.item)
	}
	for _, n := range nodes {
		index := e.popPending()
		p.addPending(e, -1)
		p.allocate(e, index, n.Info.ID)
		p.consumeReservation(e.reservation, n.Info.ID)
		plan.Starts = append(plan.Starts, Start{
			Job: e.id, Task: index, Worker: n.Info.ID, Waited: now.Sub(e.accepted), Rule: e.decision.Rule,
		})
	}
	e.waitReason, e.waitingSince = waitInQueue, now
	if len(e.pending) == 0 {
		p.queue.Remove(&e.item)
	}
}
