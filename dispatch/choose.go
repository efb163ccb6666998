package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// taskResources returns the resources that one task is charged for. Best-effort tasks run on CPU that others leave
// unused and are not charged for it.
func (s *stage) taskResources() resources {
	need := s.spec.TaskResources
	if s.spec.BestEffort {
		need.Millicores = 0
	}
	return need
}

// matches reports whether the stage may run on the worker, regardless of capacity and permits.
func (t *term) matches(s *stage, n *node) bool {
	return n.listing.Pool == s.entry.queue.Pool && (s.spec.Label == "" || slices.Contains(n.listing.Labels, s.spec.Label))
}

// tasksFitting returns how many tasks of a stage fit on a worker now.
func (t *term) tasksFitting(s *stage, n *node, now time.Time) int {
	if n.free.Minus(n.setAside).Count(s.taskResources()) == 0 {
		return 0 // a cheap check that suffices for most workers of a full cell
	}
	return t.limitTasks(s, n, now, n.availableUntil(s.taskEndBound(now)).Count(s.taskResources()))
}

// tasksFittingUnclaimed returns how many tasks of a stage fit on a worker without using capacity claimed by gangs.
func (t *term) tasksFittingUnclaimed(s *stage, n *node, now time.Time) int {
	return t.limitTasks(s, n, now, n.unclaimedUntil(s.taskEndBound(now)).Count(s.taskResources()))
}

// taskEndBound returns when a task that starts now should have ended at the latest: its estimate times backfillMargin.
// The task may use reserved capacity if the reservation starts later than that.
func (s *stage) taskEndBound(now time.Time) time.Time {
	return now.Add(time.Duration(backfillMargin * float64(s.spec.Estimate)))
}

// limitTasks bounds a number of tasks by the stage's limit per worker, to a single trial run on a worker on trial, or one
// gang's, and to none on a worker that is kept for a suspect.
func (t *term) limitTasks(s *stage, n *node, now time.Time, k int) int {
	if n.isKeptFromNewRuns(now) {
		return 0
	}
	if limit := s.spec.MaxPerWorker; limit > 0 {
		k = min(k, limit-s.tasksOn(n))
	}
	if n.IsOnTrial() {
		if !s.spec.Gang {
			k = min(k, 1)
		}
		if !n.acceptsTrial(s, now) {
			k = 0
		}
	}
	return max(k, 0)
}

// tasksOn returns how many of the stage's tasks run on a worker.
func (s *stage) tasksOn(n *node) int {
	count := 0
	for i := range s.tasks {
		if r := s.tasks[i].run; r != nil && r.node == n && !r.ended {
			count++
		}
	}
	return count
}

// allowedNodes returns the workers that are known to be allowed for a stage: all if it needs no permit.
func (t *term) allowedNodes(s *stage) []*node {
	if !s.needsPermit() {
		return t.sortedNodes
	}
	if s.allowedVersion != t.nodesVersion {
		s.allowedNodes, s.allowedVersion = s.allowedNodes[:0], t.nodesVersion
		for id, a := range s.tickets {
			if n := t.nodes[id]; n != nil && a.allowed {
				s.allowedNodes = append(s.allowedNodes, n)
			}
		}
	}
	return s.allowedNodes
}

// nodesWithCapacity returns the workers on which a task of the stage fits now, best first.
func (t *term) nodesWithCapacity(s *stage, now time.Time) []*node {
	return t.sortedCandidates(s, now, func(n *node) bool { return t.tasksFitting(s, n, now) > 0 })
}

// anyNode is a filter for sortedCandidates that keeps all workers.
func anyNode(*node) bool { return true }

// choice is a worker with its sort keys.
type choice struct {
	node *node
	// penalty joins what counts against the worker for the stage, available is its available CPU.
	penalty, available int64
}

// The largest values of parts of a penalty; larger ones count as these. A part has as many bits as its largest value.
const (
	maxSuspicion = 1<<16 - 1
	maxSpeedRank = 1<<speedBits - 1
)

// penaltyOf returns what counts against a worker for a stage, the smallest value for the best worker. The parts are, from
// its highest bits: failures, distance from the data, for gangs the speed, the zone, and for other stages the speed.
func (s *stage) penaltyOf(n *node, slowFirst bool) int64 {
	speed := speedRank(n, slowFirst)
	gangSpeed := 0
	if s.spec.Gang {
		gangSpeed, speed = speed, 0
	}
	p := int64(min(s.suspicion(n), maxSuspicion))<<1 | int64(s.dataDistance(n))
	p = p<<speedBits | int64(gangSpeed)
	p = p<<1 | int64(s.outsideZone(n))
	return p<<speedBits | int64(speed)
}

// speedRank ranks a worker by its speed: the fastest first, or the slowest first.
func speedRank(n *node, slowFirst bool) int {
	rank := n.slowness
	if slowFirst {
		rank = -rank
	}
	return min(max(rank+1<<(speedBits-1), 0), maxSpeedRank)
}

// compare orders choices best first. emptiestFirst prefers the workers with the most available CPU.
func (c *choice) compare(o *choice, emptiestFirst bool) int {
	switch {
	case c.penalty != o.penalty:
		return cmp.Compare(c.penalty, o.penalty)
	case emptiestFirst:
		c, o = o, c
	}
	return cmp.Or(cmp.Compare(c.available, o.available), strings.Compare(c.node.id, o.node.id))
}

// sortedCandidates returns the usable workers that may run the stage and that keep accepts, best first. It prefers, in
// this order, workers with fewer failures, workers near the stage's data, workers in the caller's zone, and workers of
// the speed that suits it. For a gang, which runs at the pace of its slowest member, speed goes before the zone. Among
// equals, workers with less available CPU come first, so that large blocks of capacity stay whole; for gangs and rules
// with the spread strategy, those with the most come first. The list is valid until the next call.
func (t *term) sortedCandidates(s *stage, now time.Time, keep func(*node) bool) []*node {
	p := &t.pass
	choices := p.choices[:0]
	candidates := t.allowedNodes(s)
	p.examined += len(candidates)
	slowFirst := t.prefersSlow(s, now)
	for _, n := range candidates {
		if keep(n) && t.usable(n, now) && t.matches(s, n) && !s.interferes(n) {
			choices = append(choices, choice{n, s.penaltyOf(n, slowFirst), n.available().Millicores})
		}
	}
	emptiestFirst := s.emptiestFirst()
	slices.SortFunc(choices, func(a, b choice) int { return a.compare(&b, emptiestFirst) })
	list := p.chosen[:0]
	for i := range choices {
		list = append(list, choices[i].node)
	}
	p.choices, p.chosen = choices, list
	return list
}

// suspicion returns how much a worker is to be avoided for this stage because of failures; 0 is best.
func (s *stage) suspicion(n *node) int {
	d := 2 * s.failuresByWorker[n.id]
	if n.IsSuspect() {
		d++
	}
	return d
}

// dataDistance is 1 for a worker outside the rack of the stage's data, where its tasks run several times slower.
func (s *stage) dataDistance(n *node) int {
	if s.spec.DataRack != "" && s.spec.DataRack != n.listing.Rack {
		return 1
	}
	return 0
}

// outsideZone is 1 for a worker outside the availability zone of the work's caller. When a zone is cut off, its callers
// are lost for that time, and with them all works that have a task on a worker there. With tasks placed in their
// caller's zone, only works of the zone's own callers are lost.
func (s *stage) outsideZone(n *node) int {
	if zone := s.entry.work.Zone; zone != "" && zone != n.listing.Zone {
		return 1
	}
	return 0
}

// interferes reports whether a stage should not share a worker with the tasks that run there. Best-effort tasks push
// the tail latency of tasks with a latency bound over that bound, and nothing throttles them yet.
func (s *stage) interferes(n *node) bool {
	if !s.spec.BestEffort && s.spec.TailLatency == 0 {
		return false
	}
	for _, r := range n.runs {
		if s.spec.BestEffort && r.stage.spec.TailLatency > 0 || s.spec.TailLatency > 0 && r.stage.spec.BestEffort {
			return true
		}
	}
	return false
}
