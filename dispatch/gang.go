package dispatch

import (
	"slices"
	"time"
)

// gangWaitReason is why a gang waits, in the words of the log.
type gangWaitReason string

const (
	gangWaitPermit   gangWaitReason = "answer"  // of the policy service
	gangWaitService  gangWaitReason = "service" // no VM is free to ask the policy service
	gangWaitLastRun  gangWaitReason = "rest"    // the last run has not ended everywhere
	gangWaitRule     gangWaitReason = "rule"    // as many tasks run as its rule allows
	gangWaitReserved gangWaitReason = "reserved"
	gangWaitRoom     gangWaitReason = "room" // and none is kept for it
)

// placeGang starts all tasks of a gang together, or keeps their room while it asks for tickets.
func (t *term) placeGang(s *stage, now time.Time) {
	if s.gang != nil {
		s.waitReason = gangWaitLastRun
		return // members of a broken run have not ended yet
	}
	if !s.attemptsLeft(now) {
		s.waitReason = gangWaitLastRun
		return // a run that may have failed is not known to have lapsed
	}
	if !t.ruleAllows(s.entry, len(s.tasks)) {
		s.waitReason = gangWaitRule
		return
	}
	if t.fitsNowhere(s) && !t.canReserve(s, now) {
		s.waitReason = gangWaitRoom
		return
	}
	nodes := t.sortedCandidates(s, now, anyNode)
	if plan := t.planGang(s, nodes, now, func(n *node) bool { return s.permitted(n, now) }); plan != nil {
		t.startGang(s, plan)
		return
	}
	if s.needsPermit() && !t.canRequest(s, now) {
		s.waitReason = gangWaitService
		if s.openRequests > 0 {
			s.waitReason = gangWaitPermit
		}
		t.reserve(s, nodes, now)
		return
	}
	plan := t.planGang(s, nodes, now, func(*node) bool { return true })
	switch {
	case plan != nil:
	case s.needsPermit() && t.hasUnnamedRoom(s, now):
		s.waitReason = gangWaitPermit
		t.sendFirstRequests(s, now)
		return
	default:
		s.waitReason = gangWaitRoom
		if res, ok := t.reserve(s, nodes, now); ok {
			s.waitReason = gangWaitReserved
			t.requestEarly(s, &res, now)
		}
		return
	}
	names := make([]string, 0, len(plan))
	for _, p := range plan {
		names = append(names, p.node.id)
		s.setAsideRoom(p.node, p.tasks)
	}
	s.waitReason = gangWaitPermit
	t.sendPermitRequest(s, names, now)
}

// planGang finds room for all tasks of a gang; for one that wants a single rack it tries rack by rack.
func (t *term) planGang(s *stage, nodes []*node, now time.Time, may func(*node) bool) []allocation {
	if s.spec.SameRack {
		for _, rack := range racks(nodes) {
			if plan := t.planGangOn(s, nodes, now, func(n *node) bool { return n.listing.Rack == rack && may(n) }); plan != nil {
				return plan
			}
		}
		if s.openRequests > 0 {
			return nil // a rack may be found once all that were asked for are known
		}
	}
	return t.planGangOn(s, nodes, now, may)
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

func (t *term) planGangOn(s *stage, nodes []*node, now time.Time, may func(*node) bool) []allocation {
	left := len(s.tasks)
	var plan []allocation
	for _, n := range nodes {
		k := min(t.tasksFitting(s, n, now), left)
		if k == 0 || !may(n) {
			continue
		}
		plan = append(plan, allocation{n, k})
		if left -= k; left == 0 {
			return plan
		}
	}
	return nil
}

func (t *term) startGang(s *stage, plan []allocation) {
	number := t.nextRunNumber(s.entry)
	s.gang = &gangRun{number: number, membersLeft: len(s.tasks)}
	i := 0
	for _, p := range plan {
		for range p.tasks {
			t.startRun(s, i, p.node, number)
			i++
		}
	}
}
