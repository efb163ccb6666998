package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// overrunShare of its estimate is what a run that has outlived it is expected to take still.
	overrunShare = 0.25
	// backfillMargin multiplies the estimate of a task that is to end before a reservation's time.
	backfillMargin = 1.2
	// requestLead is how much earlier than it takes a question is put, so that the tickets are there when
	// the room is.
	requestLead = 100 * time.Millisecond
	// maxEarlyRequests bounds the questions that a gang puts before there is room. Where its room comes later
	// than expected each of them is in vain, and takes time that other gangs need at the policy service.
	maxEarlyRequests = 2
)

// reservation is room that becomes free for a gang at a time.
type reservation struct {
	startAt time.Time
	plan    []allocation
}

// release is room on a worker that is expected to become free.
type release struct {
	node *node
	at   time.Time
	// tasks is how many of the gang's tasks the worker will hold then, beside those that it held before.
	tasks int
}

// plannedEnd is when a run is expected to end.
func (r *run) plannedEnd(now time.Time) time.Time {
	estimate := r.stage.spec.Estimate
	begun := r.sentAt
	if begun.IsZero() {
		begun = now
	}
	if end := begun.Add(estimate); end.After(now) {
		return end
	}
	return now.Add(time.Duration(overrunShare * float64(estimate)))
}

// earliestStart finds when and where all tasks of a gang are expected to fit.
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

func (r *reservation) add(n *node, tasks int) {
	for i := range r.plan {
		if r.plan[i].node == n {
			r.plan[i].tasks += tasks
			return
		}
	}
	r.plan = append(r.plan, allocation{n, tasks})
}

// releases adds the times at which a worker has room for more of a gang's tasks.
func (t *term) releases(out []release, s *stage, n *node, now time.Time) []release {
	need := s.taskResources()
	most := len(s.tasks)
	if s.spec.MaxPerWorker > 0 {
		most = min(most, s.spec.MaxPerWorker-s.tasksOn(n))
	}
	room := n.room()
	had := min(fitCount(room, need), most)
	if had > 0 {
		out = append(out, release{n, now, had})
	}
	for _, r := range t.runsByEnd(n, now) {
		if had >= most {
			break
		}
		room = room.Plus(r.need)
		if fit := min(fitCount(room, need), most); fit > had {
			out = append(out, release{n, r.plannedEnd(now), fit - had})
			had = fit
		}
	}
	return out
}

// runsByEnd gives the runs of a worker that end by themselves, the first to end first. Several gangs look at the same
// workers in a pass; no run ends meanwhile, and one that begins has them put in order again.
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

// reserve keeps room for a gang that does not fit yet, until the next pass. Without it small tasks that
// come later fill each hole at once, and a gang starves although its turn has come.
func (t *term) reserve(s *stage, nodes []*node, now time.Time) (reservation, bool) {
	if !t.canReserve(s, now) {
		return reservation{}, false
	}
	res, ok := t.earliestStart(s, nodes, now)
	if !ok || res.startAt.Add(s.spec.Estimate).After(s.occurrence.expiry(s.entry)) {
		return res, false
	}
	t.pass.plannedMillicores += s.taskResources().Times(len(s.tasks)).Millicores
	s.reservedRoom = res.plan
	for _, p := range res.plan {
		want := s.taskResources().Times(p.tasks)
		p.node.reserved = p.node.reserved.Plus(minResources(want, p.node.room()))
		if p.node.reservedUntil.IsZero() {
			t.pass.reservedNodes = append(t.pass.reservedNodes, p.node)
		}
		if p.node.reservedUntil.IsZero() || res.startAt.Before(p.node.reservedUntil) {
			p.node.reservedUntil = res.startAt
		}
	}
	return res, true
}

// canReserve reports whether room may be kept for this gang: until all that the cell has is planned for gangs before
// it. A bound on their number would leave the gathering of room to a few of them, and those that fit no hole by
// chance, the large ones, would wait in vain.
func (t *term) canReserve(s *stage, now time.Time) bool {
	t.refreshCapacities()
	return t.pass.plannedMillicores < t.totalMillicores && t.urgencyOf(s, now).lateness == latenessOnTime
}

// minResources gives the smaller of each part, none below zero.
func minResources(a, b resources) resources {
	return resources{
		Millicores:   max(min(a.Millicores, b.Millicores), 0),
		MemoryMB:     max(min(a.MemoryMB, b.MemoryMB), 0),
		Accelerators: max(min(a.Accelerators, b.Accelerators), 0),
	}
}

// clearReservations forgets the reservations of the last pass.
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

// roomUntil gives the room for a task that is expected to take so long: reserved room may be used by
// what ends before the reservation's time.
func (n *node) roomUntil(end time.Time) resources {
	if !n.reservedUntil.IsZero() && end.Before(n.reservedUntil) {
		return n.free.Minus(n.setAside)
	}
	return n.room()
}

// roomBesideClaims gives the room for such a task beside what the pass before has kept for gangs. Gangs that are
// less urgent have not kept theirs yet in this pass: without their claims each small task that comes would
// take a hole that they wait for, although others would do.
func (n *node) roomBesideClaims(end time.Time) resources {
	room := n.roomUntil(end)
	if !n.claimedUntil.IsZero() && end.Before(n.claimedUntil) {
		return room
	}
	return room.Minus(n.claimed)
}

// requestEarly puts the question for a reservation early enough that its tickets are there in time.
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
	takes := p.Base + time.Duration(len(names))*p.PerWorker + requestLead
	if !valid && res.startAt.Sub(now) < takes {
		t.sendPermitRequest(s, names, now)
		s.earlyRequests++
	}
}
