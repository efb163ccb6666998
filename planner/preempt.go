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
	// preemptTime is how long a victim takes to checkpoint and stop, at the most that is planned for.
	preemptTime = 4 * time.Second
	// preemptEvery bounds how often victims are sought for one job.
	preemptEvery = time.Second
	// reclaimAfter is how long a job within its quota waits before borrowed capacity is taken back.
	reclaimAfter = 5 * time.Second
	// mostVictims bounds the tasks that one job preempts at a time.
	mostVictims = 512
	// mostLate bounds the late jobs that are looked at for a reservation.
	mostLate = 2 * mostReservations
)

// makeRoom helps blocked jobs: by preemption where that may be, and one by a reservation, which is
// the late one that waits longest, so that not even large work can starve.
func (p *Planner) makeRoom(now time.Time, plan *Plan) {
	var first *entry
	p.wanting = slices.DeleteFunc(p.wanting, (*entry).served)
	for _, e := range p.wanting {
		if !p.claims(now, e, plan) && p.large(e) && p.mayReserve(e) && e.stuck(now) && (first == nil || e.needsMore(first)) {
			first = e
		}
	}
	if late := p.late(now); late != nil {
		first = late
	}
	if first != nil {
		p.reserve(now, first)
	}
}

// late gives the late job that waits longest for capacity and has none reserved, if it is large or
// starved. It may have become late long after it was last tried, so that it is looked for and not
// remembered.
func (p *Planner) late(now time.Time) *entry {
	var found *entry
	left := mostLate
	p.queue.EachLate(now, func(e *entry) bool {
		left--
		if e.waits == waitsCapacity && p.mayReserve(e) && (p.large(e) || now.Sub(e.waitsSince) >= starvedAfter) {
			found = e
		}
		return found == nil && left > 0
	})
	return found
}

// served reports whether a job no longer waits for capacity.
func (e *entry) served() bool { return !e.item.Queued() || e.waits != waitsCapacity }

// large reports whether a job can be starved by smaller work. To keep room for others as well drains
// workers and gains nothing: more deadlines were missed.
func (p *Planner) large(e *entry) bool {
	most := p.index.MaxCapacity()
	return e.spec.Gang || e.charge.Accelerators > 0 ||
		2*e.charge.Millicores >= most.Millicores || 2*e.charge.MemoryMB >= most.MemoryMB
}

// mayReserve allows one reservation for each job, and two gangs that drain workers at a time.
func (p *Planner) mayReserve(e *entry) bool {
	if e.reservation != nil || len(p.reservations) >= mostReservations {
		return false
	}
	gangs := 0
	for _, r := range p.reservations {
		if r.entry.spec.Gang && !r.claimed {
			gangs++
		}
	}
	return !e.spec.Gang || gangs < mostGangs
}

// stuck reports whether a job has waited for capacity so long that others must have overtaken it.
func (e *entry) stuck(now time.Time) bool { return now.Sub(e.waitsSince) >= reserveAfter }

// needsMore orders blocked jobs for a reservation: by band, then by what must be free at once,
// since small work finds room without one.
func (e *entry) needsMore(o *entry) bool {
	if e.band() != o.band() {
		return e.band() > o.band()
	}
	return e.charge.Millicores*int64(e.tasksNext()) > o.charge.Millicores*int64(o.tasksNext())
}

// claims reports whether tasks were preempted for a job, now or before.
func (p *Planner) claims(now time.Time, e *entry, plan *Plan) bool {
	if e.reservation != nil && e.reservation.claimed {
		return true
	}
	if now.Sub(e.preempted) < preemptEvery || len(p.reservations) >= mostReservations {
		return false
	}
	return (e.effect.Preemption.May && p.preempt(now, e, plan, "urgent work", e.outranks)) ||
		(p.mayReclaim(now, e) && p.preempt(now, e, plan, "borrowed capacity is due", p.borrowedFrom(e)))
}

func (p *Planner) mayReclaim(now time.Time, e *entry) bool {
	return now.Sub(e.waitsSince) >= reclaimAfter && p.ledger.Fits(e.pool, e.charge.Times(e.tasksNext()))
}

// yields reports whether a task may be preempted at all: services, sessions and what is not
// repeatable only if their rule says so.
func (t *task) yields() bool {
	x := &t.entry.effect.Preemption
	if t.leaving || x.Never {
		return false
	}
	return x.EvenNotRepeatable || (t.entry.spec.Repeatable && !t.entry.service())
}

func (e *entry) outranks(t *task) bool {
	return t.entry.band() < e.band() && !t.entry.effect.Preemption.May
}

func (p *Planner) borrowedFrom(e *entry) func(*task) bool {
	return func(t *task) bool { return t.borrowed && t.pool != e.pool && p.ledger.Exceeded(t.pool) }
}

// lost is the work that is lost at worst, in core seconds. A gang is lost whole.
func (t *task) lost(now time.Time) int64 {
	one := 1 + int64(now.Sub(t.started)/time.Second)*(1+t.charge.Millicores)/1000
	if t.entry.spec.Gang {
		return one * int64(len(t.entry.running))
	}
	return one
}

// option is one more slot on a node, for the price of some victims.
type option struct {
	node    *placement.Node
	victims []*task
	cost    int64
}

// preempt asks the tasks whose loss costs least to give way. For a gang it does so only if all of
// its tasks will fit.
func (p *Planner) preempt(now time.Time, e *entry, plan *Plan, reason string, may func(*task) bool) bool {
	e.preempted = now
	need := min(len(e.pending), mostVictims)
	zones := map[string][]option{}
	var names []string
	p.index.ForEach(func(n *placement.Node) {
		zone := n.Info.Zone
		if e.spec.Zone != "" && e.spec.Zone != zone || !n.Open || n.Probe || n.Reserved() {
			return
		}
		if options := p.slots(now, e, n, need, may); len(options) > 0 {
			if zones[zone] == nil {
				names = append(names, zone)
			}
			zones[zone] = append(zones[zone], options...)
		}
	})
	chosen := choose(zones, names, need, e.spec.Gang)
	if len(chosen) == 0 {
		return false
	}
	p.yield(now, e, chosen, plan, reason)
	return true
}

// slots gives the slots of one node, cheapest first. A slot's price is at least that of the one
// before it on the node, since it can only be had after it.
func (p *Planner) slots(now time.Time, e *entry, n *placement.Node, need int, may func(*task) bool) []option {
	var victims []*task
	for _, t := range p.held[n.Info.ID] {
		if t.yields() && may(t) {
			victims = append(victims, t)
		}
	}
	slices.SortStableFunc(victims, func(a, b *task) int { return cmp.Compare(a.lost(now), b.lost(now)) })
	room := n.AvailableNow()
	have := placement.FitCount(room, e.charge, need)
	var options []option
	for range have {
		options = append(options, option{node: n})
	}
	var group []*task
	var cost, least int64
	for _, t := range victims {
		room = room.Plus(t.charge)
		group, cost = append(group, t), cost+t.lost(now)
		for count := placement.FitCount(room, e.charge, need); have < count; have++ {
			least = max(least, cost)
			options = append(options, option{node: n, victims: group, cost: least})
			group, cost = nil, 0
		}
	}
	return options
}

// choose takes the cheapest slots; a gang's must all be in one zone.
func choose(zones map[string][]option, names []string, need int, gang bool) []option {
	if !gang {
		var all []option
		for _, name := range names {
			all = append(all, zones[name]...)
		}
		return cheapest(all, need)
	}
	var best []option
	for _, name := range names {
		if o := cheapest(zones[name], need); len(o) == need && (best == nil || total(o) < total(best)) {
			best = o
		}
	}
	return best
}

func cheapest(options []option, need int) []option {
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	return options[:min(need, len(options))]
}

func total(options []option) int64 {
	sum := int64(0)
	for _, o := range options {
		sum += o.cost
	}
	return sum
}

// yield marks the victims and keeps their room for the job.
func (p *Planner) yield(now time.Time, e *entry, chosen []option, plan *Plan, reason string) {
	p.unreserve(e.reservation)
	r := &reservation{entry: e, at: now.Add(preemptTime), until: now.Add(preemptTime + reservePatience), claimed: true}
	room := map[string]job.Resources{}
	counts := map[string]int{}
	for _, o := range chosen {
		id := o.node.Info.ID
		if counts[id] == 0 {
			room[id] = o.node.AvailableNow()
			r.kept = append(r.kept, kept{worker: id})
		}
		counts[id]++
		for _, t := range o.victims {
			room[id] = room[id].Plus(t.charge)
			t.leave(e, plan, reason)
		}
	}
	for i := range r.kept {
		r.kept[i].count = counts[r.kept[i].worker]
	}
	p.hold(r, func(n *placement.Node, count int) job.Resources { return room[n.Info.ID].Minus(e.charge.Times(count)) })
}

// leave asks a task to give way. Of a gang all tasks are asked: what is left of it could do nothing,
// and would hold its workers for it.
func (t *task) leave(e *entry, plan *Plan, reason string) {
	tasks := []*task{t}
	if t.entry.spec.Gang {
		tasks = tasks[:0]
		for _, index := range slices.Sorted(maps.Keys(t.entry.running)) {
			tasks = append(tasks, t.entry.running[index])
		}
	}
	for _, v := range tasks {
		if v.leaving {
			continue
		}
		v.leaving = true
		v.entry.leaving++
		plan.Preemptions = append(plan.Preemptions, Preemption{Job: v.entry.id, Task: v.index, Worker: v.worker, ForJob: e.id, Reason: reason})
	}
}
