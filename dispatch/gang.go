package dispatch

import (
	"slices"
	"time"
)

// gangWait is why a gang waits, in the words of the log.
type gangWait string

const (
	gangWaitsForAnswer  gangWait = "answer"  // of the policy service
	gangWaitsForService gangWait = "service" // no VM is free to ask the policy service
	gangWaitsForRest    gangWait = "rest"    // the last run has not ended everywhere
	gangWaitsForRule    gangWait = "rule"    // as many tasks run as its rule allows
	gangWaitsReserved   gangWait = "reserved"
	gangWaitsForRoom    gangWait = "room" // and none is kept for it
)

// placeGang starts all tasks of a gang together, or keeps their room while it asks for tickets.
func (t *term) placeGang(s *stage, now time.Time) {
	if s.gang != nil {
		s.waits = gangWaitsForRest
		return // members of a broken run have not ended yet
	}
	if !s.attemptsLeft(now) {
		s.waits = gangWaitsForRest
		return // a run that may have failed is not known to have lapsed
	}
	if !t.mayRun(s.e, len(s.tasks)) {
		s.waits = gangWaitsForRule
		return
	}
	if t.noRoom(s) && !t.mayReserve(s, now) {
		s.waits = gangWaitsForRoom
		return
	}
	nodes := t.sorted(s, now, all)
	if plan := t.spread(s, nodes, now, func(n *node) bool { return s.permitted(n, now) }); plan != nil {
		t.startGang(s, plan)
		return
	}
	if s.needsPermit() && !t.mayAsk(s, now) {
		s.waits = gangWaitsForService
		if s.asking > 0 {
			s.waits = gangWaitsForAnswer
		}
		t.reserve(s, nodes, now)
		return
	}
	plan := t.spread(s, nodes, now, func(*node) bool { return true })
	switch {
	case plan != nil:
	case s.needsPermit() && t.unasked(s, now):
		s.waits = gangWaitsForAnswer
		t.firstQuestion(s, now)
		return
	default:
		s.waits = gangWaitsForRoom
		if res, ok := t.reserve(s, nodes, now); ok {
			s.waits = gangWaitsReserved
			t.askAhead(s, &res, now)
		}
		return
	}
	names := make([]string, 0, len(plan))
	for _, p := range plan {
		names = append(names, p.n.id)
		s.keep(p.n, p.tasks)
	}
	s.waits = gangWaitsForAnswer
	t.question(s, names, now)
}

// spread finds room for all tasks of a gang; for one that wants a single rack it tries rack by rack.
func (t *term) spread(s *stage, nodes []*node, now time.Time, may func(*node) bool) []keptRoom {
	if s.spec.SameRack {
		for _, rack := range racks(nodes) {
			if plan := t.spreadOver(s, nodes, now, func(n *node) bool { return n.listing.Rack == rack && may(n) }); plan != nil {
				return plan
			}
		}
		if s.asking > 0 {
			return nil // a rack may be found once all that were asked for are known
		}
	}
	return t.spreadOver(s, nodes, now, may)
}

func racks(nodes []*node) []string {
	var out []string
	for _, n := range nodes {
		if !slices.Contains(out, n.listing.Rack) {
			out = append(out, n.listing.Rack)
		}
	}
	return out
}

func (t *term) spreadOver(s *stage, nodes []*node, now time.Time, may func(*node) bool) []keptRoom {
	left := len(s.tasks)
	var plan []keptRoom
	for _, n := range nodes {
		k := min(t.roomFor(s, n, now), left)
		if k == 0 || !may(n) {
			continue
		}
		plan = append(plan, keptRoom{n, k})
		if left -= k; left == 0 {
			return plan
		}
	}
	return nil
}

func (t *term) startGang(s *stage, plan []keptRoom) {
	number := t.nextRun(s.e)
	s.gang = &gangRun{number: number, members: len(s.tasks)}
	i := 0
	for _, p := range plan {
		for range p.tasks {
			t.start(s, i, p.n, number)
			i++
		}
	}
}
