package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"turmericgap/job"
	"turmericgap/placement"
)

const (
	// preemptDuration is the time planned for a preempted task to write a checkpoint and stop.
	preemptDuration = 4 * time.Second
	// preemptInterval is the minimum time between two searches for tasks to preempt for the same job.
	preemptInterval = time.Second
	// reclaimDelay is the time that a job within its quota waits before tasks on borrowed capacity are preempted.
	reclaimDelay = 5 * time.Second
	// maxSlots limits the slots that one search frees for a job.
	maxSlots = 512
	// maxLateScanned limits the late jobs examined for a reservation.
	maxLateScanned = 2 * maxReservations
)

// preemptOrReserve preempts tasks for blocked jobs where allowed, and reserves workers for one job. The job that has
// been late for longest takes precedence for the reservation, so that even large jobs cannot starve.
func (p *Planner) preemptOrReserve(now time.Time, plan *Plan) {
	var first *entry
	p.blockedJobs = slices.DeleteFunc(p.blockedJobs, (*entry).noLongerBlocked)
	for _, e := range p.blockedJobs {
		if !p.tryPreempt(now, e, plan) && p.isLarge(e) && p.canReserve(e) && e.waitedLong(now) &&
			(first == nil || e.goesBefore(first)) {
			first = e
		}
	}
	if late := p.findLate(now); late != nil {
		first = late
	}
	if first != nil {
		p.reserve(now, first)
	}
}

// findLate returns the first late job that waits for capacity without a reservation and is large or starved. It scans
// the queue, since a job may become late long after it was last tried.
func (p *Planner) findLate(now time.Time) *entry {
	var found *entry
	left := maxLateScanned
	p.queue.EachLate(now, func(e *entry) bool {
		left--
		if e.waitReason == waitCapacity && p.canReserve(e) && (p.isLarge(e) || now.Sub(e.waitingSince) >= starvationDelay) {
			found = e
		}
		return found == nil && left > 0
	})
	return found
}

// noLongerBlocked reports whether a job has left the queue or does not wait for capacity.
func (e *entry) noLongerBlocked() bool { return !e.item.Queued() || e.waitReason != waitCapacity }

// isLarge reports whether smaller tasks can starve the job. Reserving workers for smaller jobs would drain them and
// make more jobs miss their deadlines.
func (p *Planner) isLarge(e *entry) bool {
	most := p.index.MaxCapacity()
	return e.spec.Gang || e.charge.Accelerators > 0 ||
		2*e.charge.Millicores >= most.Millicores || 2*e.charge.MemoryMB >= most.MemoryMB
}

// canReserve allows one reservation per job, and a limited number of gangs whose reservations drain workers.
func (p *Planner) canReserve(e *entry) bool {
	if e.reservation != nil || len(p.reservations) >= maxReservations {
		return false
	}
	gangs := 0
	for _, r := range p.reservations {
		if r.entry.spec.Gang && !r.preempted {
			gangs++
		}
	}
	return !e.spec.Gang || gangs < maxGangReservations
}

// waitedLong reports whether the job has waited for capacity for so long that smaller tasks must have overtaken it,
// which entitles it to a reservation.
func (e *entry) waitedLong(now time.Time) bool { return now.Sub(e.waitingSince) >= reserveDelay }

// goesBefore orders blocked jobs for a reservation: by band, then by the total number of cores that must be free at
// once, since small jobs find capacity without a reservation.
func (e *entry) goesBefore(o *entry) bool {
	if e.band() != o.band() {
		return e.band() > o.band()
	}
	return e.charge.Millicores*int64(e.nextStartCount()) > o.charge.Millicores*int64(o.nextStartCount())
}

// tryPreempt reports whether tasks were preempted for a job, now or earlier.
func (p *Planner) tryPreempt(now time.Time, e *entry, plan *Plan) bool {
	if e.reservation != nil && e.reservation.preempted {
		return true
	}
	if now.Sub(e.lastPreemption) < preemptInterval || len(p.reservations) >= maxReservations {
		return false
	}
	return (e.effect.Preemption.May && p.preempt(now, e, plan, "urgent work", e.outranks)) ||
		(p.canReclaim(now, e) && p.preempt(now, e, plan, "borrowed capacity is due", p.borrowedByOthers(e)))
}

func (p *Planner) canReclaim(now time.Time, e *entry) bool {
	return now.Sub(e.waitingSince) >= reclaimDelay && p.ledger.Fits(e.pool, e.charge.Times(e.nextStartCount()))
}

// preemptible reports whether a task may be preempted. Services and tasks that are not repeatable are preempted only
// if their rule allows it.
func (t *task) preemptible() bool {
	x := &t.entry.effect.Preemption
	if t.preempting || x.Never {
		return false
	}
	return x.EvenNotRepeatable || (t.entry.spec.Repeatable && !t.entry.isService())
}

func (e *entry) outranks(t *task) bool {
	return t.entry.band() < e.band() && !t.entry.effect.Preemption.May
}

func (p *Planner) borrowedByOthers(e *entry) func(*task) bool {
	return func(t *task) bool { return t.borrowed && t.pool != e.pool && p.ledger.Exceeded(t.pool) }
}

// lostWork returns the most work that stopping a task can lose, in core seconds. Stopping one task of a gang loses the
// work of all of them.
func (t *task) lostWork(now time.Time) int64 {
	one := 1 + int64(now.Sub(t.started)/time.Second)*(1+t.charge.Millicores)/1000
	if t.entry.spec.Gang {
		return one * int64(len(t.entry.running))
	}
	return one
}

// slot is capacity for one task on a node, and the tasks that must be preempted to free it.
type slot struct {
	node    *placement.Node
	victims []*task
	cost    int64
}

// preempt asks the tasks with the least lost work to stop. For a gang it does so only if all its tasks will fit.
func (p *Planner) preempt(now time.Time, e *entry, plan *Plan, reason string, eligible func(*task) bool) bool {
	e.lastPreemption = now
	need := min(len(e.pending), maxSlots)
	zones := map[string][]slot{}
	var names []string
	p.index.ForEach(func(n *placement.Node) {
		zone := n.Info.Zone
		if e.spec.Zone != "" && e.spec.Zone != zone || !n.Open || n.Probe || n.Reserved() {
			return
		}
		if slots := p.nodeSlots(now, e, n, need, eligible); len(slots) > 0 {
			if zones[zone] == nil {
				names = append(names, zone)
			}
			zones[zone] = append(zones[zone], slots...)
		}
	})
	chosen := chooseSlots(zones, names, need, e.spec.Gang)
	if len(chosen) == 0 {
		return false
	}
	p.commitPreemption(now, e, chosen, plan, reason)
	return true
}

// nodeSlots returns the slots of a node, cheapest first. A slot costs at least as much as the previous one on the
// node, since it is available only after that one.
func (p *Planner) nodeSlots(now time.Time, e *entry, n *placement.Node, need int, eligible func(*task) bool) []slot {
	var victims []*task
	for _, t := range p.tasksByWorker[n.Info.ID] {
		if t.preemptible() && eligible(t) {
			victims = append(victims, t)
		}
	}
	slices.SortStableFunc(victims, func(a, b *task) int { return cmp.Compare(a.lostWork(now), b.lostWork(now)) })
	free := n.AvailableNow()
	have := placement.FitCount(free, e.charge, need)
	var slots []slot
	for range have {
		slots = append(slots, slot{node: n})
	}
	var group []*task
	var cost, least int64
	for _, t := range victims {
		free = free.Plus(t.charge)
		group, cost = append(group, t), cost+t.lostWork(now)
		for count := placement.FitCount(free, e.charge, need); have < count; have++ {
			least = max(least, cost)
			slots = append(slots, slot{node: n, victims: group, cost: least})
			group, cost = nil, 0
		}
	}
	return slots
}

// chooseSlots returns the cheapest slots. For a gang they are all in one zone.
func chooseSlots(zones map[string][]slot, names []string, need int, gang bool) []slot {
	if !gang {
		var all []slot
		for _, name := range names {
			all = append(all, zones[name]...)
		}
		return cheapestSlots(all, need)
	}
	var best []slot
	for _, name := range names {
		if o := cheapestSlots(zones[name], need); len(o) == need && (best == nil || totalCost(o) < totalCost(best)) {
			best = o
		}
	}
	return best
}

func cheapestSlots(slots []slot, need int) []slot {
	slices.SortStableFunc(slots, func(a, b slot) int { return cmp.Compare(a.cost, b.cost) })
	return slots[:min(need, len(slots))]
}

func totalCost(slots []slot) int64 {
	sum := int64(0)
	for _, o := range slots {
		sum += o.cost
	}
	return sum
}

// commitPreemption asks the victims to stop and reserves their workers for the job.
func (p *Planner) commitPreemption(now time.Time, e *entry, chosen []slot, plan *Plan, reason string) {
	p.unreserve(e.reservation)
	r := &reservation{entry: e, startAt: now.Add(preemptDuration), expiresAt: now.Add(preemptDuration + reserveGrace), preempted: true}
	free := map[string]job.Resources{}
	counts := map[string]int{}
	for _, o := range chosen {
		id := o.node.Info.ID
		if counts[id] == 0 {
			free[id] = o.node.AvailableNow()
			r.workers = append(r.workers, reservedWorker{worker: id})
		}
		counts[id]++
		for _, t := range o.victims {
			free[id] = free[id].Plus(t.charge)
			t.requestStop(e, plan, reason)
		}
	}
	for i := range r.workers {
		r.workers[i].count = counts[r.workers[i].worker]
	}
	p.addReservation(r,
		func(n *placement.Node, count int) job.Resources { return free[n.Info.ID].Minus(e.charge.Times(count)) })
}

// requestStop asks a task to stop. For a gang it asks all tasks, since the remaining ones could not make progress but
// would still occupy their workers.
func (t *task) requestStop(e *entry, plan *Plan, reason string) {
	tasks := []*task{t}
	if t.entry.spec.Gang {
		tasks = tasks[:0]
		for _, index := range slices.Sorted(maps.Keys(t.entry.running)) {
			tasks = append(tasks, t.entry.running[index])
		}
	}
	for _, v := range tasks {
		if v.preempting {
			continue
		}
		v.preempting = true
		v.entry.preempting++
		plan.Preemptions = append(plan.Preemptions,
			Preemption{Job: v.entry.id, Task: v.index, Worker: v.worker, ForJob: e.id, Reason: reason})
	}
}
