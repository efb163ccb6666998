package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// overrunShare is the fraction of its estimate that a run is still expected to take once it has exceeded the
	// estimate.
	overrunShare = 0.25
	// backfillMargin multiplies the estimate of a task that must end before a reservation starts.
	backfillMargin = 1.2
	// requestLead is added to the duration of an early permit request, so that the tickets arrive before the capacity
	// is free.
	requestLead = 100 * time.Millisecond
	// maxEarlyRequests limits the permit requests that a gang sends before there is capacity. If the capacity becomes
	// free later than expected, each of them is wasted and takes time from other gangs at the policy service.
	maxEarlyRequests = 2
)

// reservation is capacity that is expected to be free for a gang at a time.
type reservation struct {
	startAt time.Time
	plan    []allocation
}

// release is capacity on a worker that is expected to become free.
type release struct {
	node *node
	at   time.Time
	// tasks is the number of additional tasks of the gang that fit on the worker from then on.
	tasks int
}

// plannedEnd returns when a run is expected to end.
func (r *run) plannedEnd(now time.Time) time.Time {
	estimate := r.stage.runsOn(r.node)
	start := r.sentAt
	if start.IsZero() {
		start = now
	}
	if end := start.Add(estimate); end.After(now) {
		return end
	}
	return now.Add(time.Duration(overrunShare * float64(estimate)))
}

// earliestStart returns when and where all tasks of a gang are expected to fit, or false if they never do.
func (t *term) earliestStart(s *stage, nodes []*node, now time.Time) (reservation, bool) {
	var releases []release
	for _, n := range nodes {
		releases = t.releases(releases, s, n, now)
	}
	slices.SortStableFunc(releases, func(a, b release) int { return a.at.Compare(b.at) })
	left := len(s.tasks)
	res := reservation{startAt: now}
	for _, r := range releases {
		k := min(r.tasks, left)
		res.add(r.node, k)
		res.startAt = r.at
		if left -= k; left == 0 {
			return res, true
		}
	}
	return res, false
}

// add assigns further tasks to a node.
func (r *reservation) add(n *node, tasks int) {
	for i := range r.plan {
		if r.plan[i].node == n {
			r.plan[i].tasks += tasks
			return
		}
	}
	r.plan = append(r.plan, allocation{node: n, tasks: tasks})
}

// releases appends the times from which more of a gang's tasks fit on a worker.
func (t *term) releases(out []release, s *stage, n *node, now time.Time) []release {
	need := s.taskResources()
	limit := len(s.tasks)
	if s.spec.MaxPerWorker > 0 {
		limit = min(limit, s.spec.MaxPerWorker-s.tasksOn(n))
	}
	available := n.available()
	fitting := min(available.Count(need), limit)
	if fitting > 0 {
		out = append(out, release{n, now, fitting})
	}
	for _, r := range t.runsByEnd(n, now) {
		if fitting >= limit {
			break
		}
		available = available.Plus(r.need)
		if fits := min(available.Count(need), limit); fits > fitting {
			out = append(out, release{n, r.plannedEnd(now), fits - fitting})
			fitting = fits
		}
	}
	return out
}

// runsByEnd returns the runs of a worker that end by themselves, sorted by their expected end. Several gangs examine
// the same workers in a part of a pass. The order is cached for that part, as no run ends meanwhile; a start
// invalidates it.
func (t *term) runsByEnd(n *node, now time.Time) []*run {
	if n.sortedPart == t.pass.part {
		return n.runsByEnd
	}
	n.sortedPart, n.runsByEnd = t.pass.part, n.runsByEnd[:0]
	for _, r := range n.runs {
		if !r.stage.spec.Service {
			n.runsByEnd = append(n.runsByEnd, r)
		}
	}
	slices.SortFunc(n.runsByEnd, func(a, b *run) int {
		return cmp.Or(a.plannedEnd(now).Compare(b.plannedEnd(now)), cmp.Compare(a.number, b.number))
	})
	return n.runsByEnd
}

// reserve reserves capacity until the next pass for a gang that does not fit yet. Otherwise, smaller tasks that come
// later would take all capacity as soon as it is free, and the gang would starve.
func (t *term) reserve(s *stage, nodes []*node, now time.Time) (reservation, bool) {
	if !t.canReserve(s, now) {
		return reservation{}, false
	}
	res, ok := t.earliestStart(s, nodes, now)
	if !ok || res.startAt.Add(s.spec.Estimate).After(s.occurrence.expiry(s.entry)) {
		return res, false
	}
	t.pass.plannedMillicores += s.taskResources().Times(len(s.tasks)).Millicores
	s.reservedCapacity = res.plan
	for _, p := range res.plan {
		needed := s.taskResources().Times(p.tasks)
		p.node.reserved = p.node.reserved.Plus(minResources(needed, p.node.available()))
		if p.node.reservedUntil.IsZero() {
			t.pass.reservedNodes = append(t.pass.reservedNodes, p.node)
		}
		if p.node.reservedUntil.IsZero() || res.startAt.Before(p.node.reservedUntil) {
			p.node.reservedUntil = res.startAt
		}
	}
	return res, true
}

// canReserve reports whether capacity may be reserved for this gang. The limit is the total capacity of the cell. With
// a limit on the number of gangs, a few of them would hold all reservations, and the large ones among the others, which
// rarely fit by chance, would starve.
func (t *term) canReserve(s *stage, now time.Time) bool {
	t.refreshCapacities()
	return t.pass.plannedMillicores < t.totalMillicores && t.urgencyOf(s, now).lateness == latenessOnTime
}

// minResources returns the smaller value of each resource, but at least 0.
func minResources(a, b resources) resources {
	return resources{
		Millicores:   max(min(a.Millicores, b.Millicores), 0),
		MemoryMB:     max(min(a.MemoryMB, b.MemoryMB), 0),
		Accelerators: max(min(a.Accelerators, b.Accelerators), 0),
	}
}

// clearReservations turns the reservations of the previous pass into claims, and drops its claims.
func (t *term) clearReservations() {
	p := &t.pass
	for _, n := range p.claimedNodes {
		n.claimed, n.claimedUntil = resources{}, time.Time{}
	}
	p.claimedNodes, p.reservedNodes = p.reservedNodes, p.claimedNodes[:0]
	for _, n := range p.claimedNodes {
		n.claimed, n.claimedUntil = n.reserved, n.reservedUntil
		n.reserved, n.reservedUntil = resources{}, time.Time{}
	}
}

// availableUntil returns the capacity for a task that is expected to end at a time. It includes reserved capacity if
// the task ends before the reservation starts.
func (n *node) availableUntil(end time.Time) resources {
	if !n.reservedUntil.IsZero() && end.Before(n.reservedUntil) {
		return n.free.Minus(n.setAside)
	}
	return n.available()
}

// unclaimedUntil returns the capacity of availableUntil without the claims of the previous pass. Less urgent gangs have
// not reserved theirs yet in this pass; if their claims were ignored, small tasks would take capacity that the gangs
// wait for although other capacity would do.
func (n *node) unclaimedUntil(end time.Time) resources {
	available := n.availableUntil(end)
	if !n.claimedUntil.IsZero() && end.Before(n.claimedUntil) {
		return available
	}
	return available.Minus(n.claimed)
}

// requestEarly requests permits for a reservation in time for its start.
func (t *term) requestEarly(s *stage, res *reservation, now time.Time) {
	if s.openRequests > 0 || !s.needsPermit() || s.earlyRequests >= maxEarlyRequests {
		return
	}
	p := s.entry.queue.Permit
	names := make([]string, 0, len(res.plan))
	valid := true
	for _, k := range res.plan {
		names = append(names, k.node.id)
		valid = valid && s.tickets[k.node.id].until.After(res.startAt.Add(ticketMargin))
	}
	duration := p.Base + time.Duration(len(names))*p.PerWorker + requestLead
	if !valid && res.startAt.Sub(now) < duration {
		t.sendPermitRequest(s, names, now)
		s.earlyRequests++
	}
}
