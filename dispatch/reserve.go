package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// overdueShare of its estimate is what a run that has outlived it is expected to take still.
	overdueShare = 0.25
	// backfillSpare multiplies the estimate of a task that is to end before a reservation's time.
	backfillSpare = 1.2
	// askLead is how much earlier than it takes a question is put, so that the tickets are there when
	// the room is.
	askLead = 100 * time.Millisecond
	// mostAsksAhead bounds the questions that a gang puts before there is room. Where its room comes later
	// than expected each of them is in vain, and takes time that other gangs need at the policy service.
	mostAsksAhead = 2
)

// reservation is room that becomes free for a gang at a time.
type reservation struct {
	at   time.Time
	plan []keptRoom
}

// release is room on a worker that is expected to become free.
type release struct {
	n  *node
	at time.Time
	// tasks is how many of the gang's tasks the worker will hold then, beside those that it held before.
	tasks int
}

// endAt is when a run is expected to end.
func (r *run) endAt(now time.Time) time.Time {
	estimate := r.s.spec.Estimate
	begun := r.begun
	if begun.IsZero() {
		begun = now
	}
	if end := begun.Add(estimate); end.After(now) {
		return end
	}
	return now.Add(time.Duration(overdueShare * float64(estimate)))
}

// soonest finds when and where all tasks of a gang are expected to fit.
func (t *term) soonest(s *stage, nodes []*node, now time.Time) (reservation, bool) {
	var releases []release
	for _, n := range nodes {
		releases = t.releases(releases, s, n, now)
	}
	slices.SortStableFunc(releases, func(a, b release) int { return a.at.Compare(b.at) })
	left := len(s.tasks)
	res := reservation{at: now}
	for _, r := range releases {
		k := min(r.tasks, left)
		res.add(r.n, k)
		res.at = r.at
		if left -= k; left == 0 {
			return res, true
		}
	}
	return res, false
}

func (r *reservation) add(n *node, tasks int) {
	for i := range r.plan {
		if r.plan[i].n == n {
			r.plan[i].tasks += tasks
			return
		}
	}
	r.plan = append(r.plan, keptRoom{n, tasks})
}

// releases adds the times at which a worker has room for more of a gang's tasks.
func (t *term) releases(out []release, s *stage, n *node, now time.Time) []release {
	need := s.charge()
	most := len(s.tasks)
	if s.spec.MostPerWorker > 0 {
		most = min(most, s.spec.MostPerWorker-s.on(n))
	}
	room := n.room()
	had := min(fits(room, need), most)
	if had > 0 {
		out = append(out, release{n, now, had})
	}
	for _, r := range t.endsOf(n, now) {
		if had >= most {
			break
		}
		room = room.Plus(r.need)
		if fit := min(fits(room, need), most); fit > had {
			out = append(out, release{n, r.endAt(now), fit - had})
			had = fit
		}
	}
	return out
}

// endsOf gives the runs of a worker that end by themselves, the first to end first. Several gangs look at the same
// workers in a pass; no run ends meanwhile, and one that begins has them put in order again.
func (t *term) endsOf(n *node, now time.Time) []*run {
	if n.sortedIn == t.pass.moment {
		return n.byEnd
	}
	n.sortedIn, n.byEnd = t.pass.moment, n.byEnd[:0]
	for _, r := range n.runs {
		if !r.s.spec.Service {
			n.byEnd = append(n.byEnd, r)
		}
	}
	slices.SortFunc(n.byEnd, func(a, b *run) int {
		return cmp.Or(a.endAt(now).Compare(b.endAt(now)), cmp.Compare(a.number, b.number))
	})
	return n.byEnd
}

// reserve keeps room for a gang that does not fit yet, until the next pass. Without it small tasks that
// come later fill each hole at once, and a gang starves although its turn has come.
func (t *term) reserve(s *stage, nodes []*node, now time.Time) (reservation, bool) {
	if !t.mayReserve(s, now) {
		return reservation{}, false
	}
	res, ok := t.soonest(s, nodes, now)
	if !ok || res.at.Add(s.spec.Estimate).After(s.occ.lost(s.e)) {
		return res, false
	}
	t.pass.planned += s.charge().Times(len(s.tasks)).Millicores
	s.reservedOn = res.plan
	for _, p := range res.plan {
		want := s.charge().Times(p.tasks)
		p.n.reserved = p.n.reserved.Plus(lesser(want, p.n.room()))
		if p.n.reservedUntil.IsZero() {
			t.pass.reserved = append(t.pass.reserved, p.n)
		}
		if p.n.reservedUntil.IsZero() || res.at.Before(p.n.reservedUntil) {
			p.n.reservedUntil = res.at
		}
	}
	return res, true
}

// mayReserve reports whether room may be kept for this gang: until all that the cell has is planned for gangs before
// it. A bound on their number would leave the gathering of room to a few of them, and those that fit no hole by
// chance, the large ones, would wait in vain.
func (t *term) mayReserve(s *stage, now time.Time) bool {
	t.readShapes()
	return t.pass.planned < t.processors && t.urgencyOf(s, now).hope == hopeInTime
}

// lesser gives the smaller of each part, none below zero.
func lesser(a, b resources) resources {
	return resources{
		Millicores:   max(min(a.Millicores, b.Millicores), 0),
		MemoryMB:     max(min(a.MemoryMB, b.MemoryMB), 0),
		Accelerators: max(min(a.Accelerators, b.Accelerators), 0),
	}
}

// clearReservations forgets the reservations of the last pass.
func (t *term) clearReservations() {
	p := &t.pass
	for _, n := range p.claimed {
		n.claimed, n.claimedUntil = resources{}, time.Time{}
	}
	p.claimed, p.reserved = p.reserved, p.claimed[:0]
	for _, n := range p.claimed {
		n.claimed, n.claimedUntil = n.reserved, n.reservedUntil
		n.reserved, n.reservedUntil = resources{}, time.Time{}
	}
}

// roomUntil gives the room for a task that is expected to take so long: reserved room may be used by
// what ends before the reservation's time.
func (n *node) roomUntil(end time.Time) resources {
	if !n.reservedUntil.IsZero() && end.Before(n.reservedUntil) {
		return n.free.Minus(n.held)
	}
	return n.room()
}

// roomBeside gives the room for such a task beside what the pass before has kept for gangs. Gangs that are
// less urgent have not kept theirs yet in this pass: without their claims each small task that comes would
// take a hole that they wait for, although others would do.
func (n *node) roomBeside(end time.Time) resources {
	room := n.roomUntil(end)
	if !n.claimedUntil.IsZero() && end.Before(n.claimedUntil) {
		return room
	}
	return room.Minus(n.claimed)
}

// askAhead puts the question for a reservation early enough that its tickets are there in time.
func (t *term) askAhead(s *stage, res *reservation, now time.Time) {
	if s.asking > 0 || !s.needsPermit() || s.asksAhead >= mostAsksAhead {
		return
	}
	p := s.e.queue.Permit
	names := make([]string, 0, len(res.plan))
	valid := true
	for _, k := range res.plan {
		names = append(names, k.n.id)
		valid = valid && s.answers[k.n.id].until.After(res.at.Add(ticketMargin))
	}
	takes := p.Base + time.Duration(len(names))*p.PerWorker + askLead
	if !valid && res.at.Sub(now) < takes {
		t.question(s, names, now)
		s.asksAhead++
	}
}
