package dispatch

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// fitCount counts how many times need goes into has.
func fitCount(has, need resources) int {
	if has.Millicores < need.Millicores || has.MemoryMB < need.MemoryMB || has.Accelerators < need.Accelerators {
		return 0
	}
	return min(quotient(has.Millicores, need.Millicores), quotient(has.MemoryMB, need.MemoryMB), quotient(has.Accelerators, need.Accelerators))
}

// quotient counts how many quotient a part of what is needed goes into what is there.
func quotient(has, need int64) int {
	switch {
	case has < 0:
		return 0
	case need <= 0:
		return math.MaxInt32
	}
	return int(min(has/need, math.MaxInt32))
}

// taskResources is what one task holds.
func (s *stage) taskResources() resources {
	need := s.spec.TaskResources
	if s.spec.BestEffort {
		need.Millicores = 0
	}
	return need
}

// matches reports whether the worker is one that the stage may run on, but for its room and permits.
func (t *term) matches(s *stage, n *node) bool {
	return n.listing.Pool == s.entry.queue.Pool && (s.spec.Label == "" || slices.Contains(n.listing.Labels, s.spec.Label))
}

// tasksFitting counts the tasks of a stage that fit a worker now.
func (t *term) tasksFitting(s *stage, n *node, now time.Time) int {
	if fitCount(n.free.Minus(n.setAside), s.taskResources()) == 0 {
		return 0 // most workers of a full cell, told without their reservations and limits
	}
	return t.limitTasks(s, n, fitCount(n.roomUntil(s.taskEndBound(now)), s.taskResources()))
}

// tasksFittingBesideClaims counts those that fit beside the claims of gangs.
func (t *term) tasksFittingBesideClaims(s *stage, n *node, now time.Time) int {
	return t.limitTasks(s, n, fitCount(n.roomBesideClaims(s.taskEndBound(now)), s.taskResources()))
}

// taskEndBound is when a task of the stage that starts now has surely ended, for the use of reserved room.
func (s *stage) taskEndBound(now time.Time) time.Time {
	return now.Add(time.Duration(backfillMargin * float64(s.spec.Estimate)))
}

// limitTasks bounds the tasks that fit a worker by what else the stage and the worker allow.
func (t *term) limitTasks(s *stage, n *node, k int) int {
	if most := s.spec.MaxPerWorker; most > 0 {
		k = min(k, most-s.tasksOn(n))
	}
	if n.isOnTrial() {
		k = min(k, 1)
		if !n.acceptsTrial(s) {
			k = 0
		}
	}
	return max(k, 0)
}

// tasksOn counts the stage's tasks tasksOn a worker.
func (s *stage) tasksOn(n *node) int {
	count := 0
	for i := range s.tasks {
		if r := s.tasks[i].run; r != nil && r.node == n && !r.ended {
			count++
		}
	}
	return count
}

// allowedNodes gives the workers that are known to be allowed for a stage, of all where it needs no permit.
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

// nodesWithRoom gives the workers on which a task of the stage fits now, in the order of choice.
func (t *term) nodesWithRoom(s *stage, now time.Time) []*node {
	return t.sortedCandidates(s, now, func(n *node) bool { return t.tasksFitting(s, n, now) > 0 })
}

// anyNode lets every worker into an order of choice.
func anyNode(*node) bool { return true }

// choice is a worker with what decides whether others go before it.
type choice struct {
	node *node
	// suspicion, dataDistance and outsideZone are the worker's ranks for the stage, room is its processors.
	suspicion, dataDistance, outsideZone int
	room                                 int64
}

func (c *choice) compare(o *choice, emptiestFirst bool) int {
	switch {
	case c.suspicion != o.suspicion:
		return c.suspicion - o.suspicion
	case c.dataDistance != o.dataDistance:
		return c.dataDistance - o.dataDistance
	case c.outsideZone != o.outsideZone:
		return c.outsideZone - o.outsideZone
	case emptiestFirst:
		c, o = o, c
	}
	return cmp.Or(cmp.Compare(c.room, o.room), strings.Compare(c.node.id, o.node.id))
}

// sortedCandidates gives the usable workers that may run the stage: doubtful workers and those away from its data
// last, then those outside of its caller's zone, then those with less room first, so that large rooms stay whole. A gang takes the large rooms, so
// that it needs few workers. The list holds until the next one is asked for.
func (t *term) sortedCandidates(s *stage, now time.Time, keep func(*node) bool) []*node {
	p := &t.pass
	choices := p.choices[:0]
	candidates := t.allowedNodes(s)
	p.examined += len(candidates)
	for _, n := range candidates {
		if keep(n) && t.usable(n, now) && t.matches(s, n) && !s.interferes(n) {
			choices = append(choices, choice{n, s.suspicion(n), s.dataDistance(n), s.outsideZone(n), n.room().Millicores})
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

// suspicion ranks workers by the trust that they deserve for this stage, 0 the best.
func (s *stage) suspicion(n *node) int {
	d := 2 * s.failuresByWorker[n.id]
	if n.isSuspect() {
		d++
	}
	return d
}

// dataDistance is 1 for a worker away from the stage's data, where its tasks run several times slower.
func (s *stage) dataDistance(n *node) int {
	if s.spec.DataRack != "" && s.spec.DataRack != n.listing.Rack {
		return 1
	}
	return 0
}

// outsideZone is 1 for a worker in another availability zone than the work's caller. When a zone is cut off, the
// callers in it are lost for that time, and with them all work that has a task on a worker there: with tasks in
// their callers' zone, the cut loses the work of its own callers alone.
func (s *stage) outsideZone(n *node) int {
	if zone := s.entry.work.Zone; zone != "" && zone != n.listing.Zone {
		return 1
	}
	return 0
}

// interferes reports whether a stage and what runs on a worker should not meet: tasks that fill what others
// leave push the tails of those with a bound over it, and nothing paces them yet.
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
