package dispatch

import (
	"slices"
	"time"

	"turmericgap/workrecord"
)

// gangWaitReason is why a gang waits, as written to the log.
type gangWaitReason string

const (
	gangWaitPermit   gangWaitReason = "answer"   // a permit request is pending
	gangWaitService  gangWaitReason = "service"  // no VM is free to send a permit request
	gangWaitLastRun  gangWaitReason = "rest"     // members of the last run may still be running
	gangWaitRecord   gangWaitReason = "record"   // the record of its work has no room for its members yet
	gangWaitRule     gangWaitReason = "rule"     // its rule's limit of running tasks is reached
	gangWaitCap      gangWaitReason = "cap"      // its client account has no part of its cap left for it
	gangWaitReserved gangWaitReason = "reserved" // capacity is reserved for it
	gangWaitCapacity gangWaitReason = "room"     // there is no capacity, and none is reserved for it
)

// placeGang starts all tasks of a gang together. If it lacks permits, it sets capacity aside and requests them; if it
// lacks capacity, it makes a reservation.
func (t *term) placeGang(s *stage, now time.Time) {
	if reason := t.blockedBy(s, now); reason != "" {
		s.waitReason = reason
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
	case s.needsPermit() && t.hasUnnamedCapacity(s, now):
		s.waitReason = gangWaitPermit
		t.sendFirstRequests(s, now)
		return
	default:
		s.waitReason = gangWaitCapacity
		if res, ok := t.reserve(s, nodes, now); ok {
			s.waitReason = gangWaitReserved
			t.requestEarly(s, &res, now)
		}
		return
	}
	names := make([]string, 0, len(plan))
	for _, p := range plan {
		names = append(names, p.node.id)
		s.setAsideCapacity(p.node, p.tasks)
	}
	s.waitReason = gangWaitPermit
	t.sendPermitRequest(s, names, now)
}

// blockedBy returns why a gang cannot start or ask for permits now, whatever workers there are; empty if it may.
func (t *term) blockedBy(s *stage, now time.Time) gangWaitReason {
	switch {
	case s.gang != nil:
		return gangWaitLastRun // members of the aborted run have not ended yet
	case !s.attemptsLeft(now):
		return gangWaitLastRun // a run that may still be reported as failed has not expired yet
	case !t.recordHasRoom(s.entry, len(s.tasks)):
		return gangWaitRecord
	case !t.ruleAllows(s.entry, len(s.tasks)):
		return gangWaitRule
	case t.fitsNowhere(s) && !t.canReserve(s, now):
		return gangWaitCapacity
	}
	return ""
}

// planGang assigns all tasks of a gang to eligible nodes, or returns nil if they do not fit. A gang that prefers a
// single rack is spread over several only if it fits in none.
func (t *term) planGang(s *stage, nodes []*node, now time.Time, eligible func(*node) bool) []allocation {
	if s.spec.SameRack {
		for _, rack := range racks(nodes) {
			if plan := t.planGangOn(s, nodes, now, func(n *node) bool { return n.listing.Rack == rack && eligible(n) }); plan != nil {
				return plan
			}
		}
		if s.openRequests > 0 {
			return nil // a single rack may fit once the pending requests are answered
		}
	}
	return t.planGangOn(s, nodes, now, eligible)
}

// racks returns the distinct racks of the nodes, in the order of the nodes.
func racks(nodes []*node) []string {
	var out []string
	for _, n := range nodes {
		if !slices.Contains(out, n.listing.Rack) {
			out = append(out, n.listing.Rack)
		}
	}
	return out
}

// planGangOn assigns all tasks of a gang to eligible nodes in the given order, or returns nil if they do not fit. If there
// are too few workers for its suspects to run alone, its members share them with each other, but with nothing else new.
func (t *term) planGangOn(s *stage, nodes []*node, now time.Time, eligible func(*node) bool) []allocation {
	if isolated, ok := t.planIsolated(s, nodes, now, eligible); ok {
		if plan := t.planMembers(s, nodes, now, eligible, isolated); plan != nil {
			return plan
		}
	}
	if len(s.suspects) == 0 || !s.hasWaitedForIsolation(now) {
		return nil
	}
	return t.planMembers(s, nodes, now, eligible, nil)
}

// planMembers adds the members of a gang that are not isolated to a plan for those that are, or returns nil if they do
// not fit.
func (t *term) planMembers(s *stage, nodes []*node, now time.Time, eligible func(*node) bool, isolated []allocation) []allocation {
	left, plan := len(s.tasks)-len(isolated), slices.Clip(isolated)
	if left == 0 {
		return plan
	}
	for _, n := range nodes {
		k := min(t.tasksFitting(s, n, now), left)
		if k == 0 || !eligible(n) || slices.ContainsFunc(isolated, func(a allocation) bool { return a.node == n }) {
			continue
		}
		plan = append(plan, allocation{node: n, tasks: k})
		if left -= k; left == 0 {
			return plan
		}
	}
	return nil
}

func (t *term) startGang(s *stage, plan []allocation) {
	number := t.nextRunNumber(s.entry)
	s.gang = &gangRun{number: number, membersLeft: len(s.tasks)}
	for _, p := range plan {
		if p.suspect != nil {
			t.startAlone(s, p.suspect, p.node, number)
		}
	}
	i := 0
	for _, p := range plan {
		for left := p.tasks; left > 0 && p.suspect == nil; i++ {
			if s.tasks[i].phase == workrecord.Waiting {
				t.startRun(s, i, p.node, number)
				left--
			}
		}
	}
}
