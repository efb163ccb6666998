package dispatch

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// fits counts how many times need goes into has.
func fits(has, need resources) int {
	if has.Millicores < need.Millicores || has.MemoryMB < need.MemoryMB || has.Accelerators < need.Accelerators {
		return 0
	}
	return min(times(has.Millicores, need.Millicores), times(has.MemoryMB, need.MemoryMB), times(has.Accelerators, need.Accelerators))
}

// times counts how many times a part of what is needed goes into what is there.
func times(has, need int64) int {
	switch {
	case has < 0:
		return 0
	case need <= 0:
		return math.MaxInt32
	}
	return int(min(has/need, math.MaxInt32))
}

// charge is what one task holds.
func (s *stage) charge() resources {
	need := s.spec.Each
	if s.spec.Filler {
		need.Millicores = 0
	}
	return need
}

// suits reports whether the worker is one that the stage may run on, but for its room and permits.
func (t *term) suits(s *stage, n *node) bool {
	return n.listing.Pool == s.e.queue.Pool && (s.spec.Label == "" || slices.Contains(n.listing.Labels, s.spec.Label))
}

// roomFor counts the tasks of a stage that fit a worker now.
func (t *term) roomFor(s *stage, n *node, now time.Time) int {
	if fits(n.free.Minus(n.held), s.charge()) == 0 {
		return 0 // most workers of a full cell, told without their reservations and limits
	}
	return t.limit(s, n, fits(n.roomUntil(s.until(now)), s.charge()))
}

// roomBeside counts those that fit beside the claims of gangs.
func (t *term) roomBeside(s *stage, n *node, now time.Time) int {
	return t.limit(s, n, fits(n.roomBeside(s.until(now)), s.charge()))
}

// until is when a task of the stage that starts now has surely ended, for the use of reserved room.
func (s *stage) until(now time.Time) time.Time {
	return now.Add(time.Duration(backfillSpare * float64(s.spec.Estimate)))
}

// limit bounds the tasks that fit a worker by what else the stage and the worker allow.
func (t *term) limit(s *stage, n *node, k int) int {
	if most := s.spec.MostPerWorker; most > 0 {
		k = min(k, most-s.on(n))
	}
	if n.onTrial() {
		k = min(k, 1)
		if !n.tries(s) {
			k = 0
		}
	}
	return max(k, 0)
}

// on counts the stage's tasks on a worker.
func (s *stage) on(n *node) int {
	count := 0
	for i := range s.tasks {
		if r := s.tasks[i].run; r != nil && r.n == n && !r.ended {
			count++
		}
	}
	return count
}

// candidates gives the workers that are known to be allowed for a stage, of all where it needs no permit.
func (t *term) candidates(s *stage) []*node {
	if !s.needsPermit() {
		return t.roll
	}
	if s.allowedAt != t.nodesChange {
		s.allowed, s.allowedAt = s.allowed[:0], t.nodesChange
		for id, a := range s.answers {
			if n := t.nodes[id]; n != nil && a.allowed {
				s.allowed = append(s.allowed, n)
			}
		}
	}
	return s.allowed
}

// withRoom gives the workers on which a task of the stage fits now, in the order of choice.
func (t *term) withRoom(s *stage, now time.Time) []*node {
	return t.sorted(s, now, func(n *node) bool { return t.roomFor(s, n, now) > 0 })
}

// all lets every worker into an order of choice.
func all(*node) bool { return true }

// choice is a worker with what decides whether others go before it.
type choice struct {
	n *node
	// doubt, distance and abroad are the worker's ranks for the stage, room is its processors.
	doubt, distance, abroad int
	room                    int64
}

func (c *choice) compare(o *choice, emptiestFirst bool) int {
	switch {
	case c.doubt != o.doubt:
		return c.doubt - o.doubt
	case c.distance != o.distance:
		return c.distance - o.distance
	case c.abroad != o.abroad:
		return c.abroad - o.abroad
	case emptiestFirst:
		c, o = o, c
	}
	return cmp.Or(cmp.Compare(c.room, o.room), strings.Compare(c.n.id, o.n.id))
}

// sorted gives the usable workers that may run the stage: doubtful workers and those away from its data
// last, then those outside of its caller's zone, then those with less room first, so that large rooms stay whole. A gang takes the large rooms, so
// that it needs few workers. The list holds until the next one is asked for.
func (t *term) sorted(s *stage, now time.Time, keep func(*node) bool) []*node {
	p := &t.pass
	choices := p.choices[:0]
	candidates := t.candidates(s)
	p.looks += len(candidates)
	for _, n := range candidates {
		if keep(n) && t.usable(n, now) && t.suits(s, n) && !s.disturbs(n) {
			choices = append(choices, choice{n, s.doubt(n), s.distance(n), s.abroad(n), n.room().Millicores})
		}
	}
	emptiestFirst := s.emptiestFirst()
	slices.SortFunc(choices, func(a, b choice) int { return a.compare(&b, emptiestFirst) })
	list := p.chosen[:0]
	for i := range choices {
		list = append(list, choices[i].n)
	}
	p.choices, p.chosen = choices, list
	return list
}

// doubt ranks workers by the trust that they deserve for this stage, 0 the best.
func (s *stage) doubt(n *node) int {
	d := 2 * s.avoid[n.id]
	if n.doubtful() {
		d++
	}
	return d
}

// distance is 1 for a worker away from the stage's data, where its tasks run several times slower.
func (s *stage) distance(n *node) int {
	if s.spec.DataRack != "" && s.spec.DataRack != n.listing.Rack {
		return 1
	}
	return 0
}

// abroad is 1 for a worker in another availability zone than the work's caller. When a zone is cut off, the
// callers in it are lost for that time, and with them all work that has a task on a worker there: with tasks in
// their callers' zone, the cut loses the work of its own callers alone.
func (s *stage) abroad(n *node) int {
	if zone := s.e.work.Zone; zone != "" && zone != n.listing.Zone {
		return 1
	}
	return 0
}

// disturbs reports whether a stage and what runs on a worker should not meet: tasks that fill what others
// leave push the tails of those with a bound over it, and nothing paces them yet.
func (s *stage) disturbs(n *node) bool {
	if !s.spec.Filler && s.spec.Tail == 0 {
		return false
	}
	for _, r := range n.runs {
		if s.spec.Filler && r.s.spec.Tail > 0 || s.spec.Tail > 0 && r.s.spec.Filler {
			return true
		}
	}
	return false
}
