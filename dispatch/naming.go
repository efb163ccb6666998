package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"turmericgap/job"
	"turmericgap/permit"
)

// candidate is a worker that was not named yet, and how many tasks of a stage it has room for.
type candidate struct {
	n    *node
	fits int
	// order is where it stands among the others.
	order int
}

// rank orders candidates: those with room in the caller's zone, with room elsewhere, without.
func (c *candidate) rank(s *stage) int {
	if c.fits <= 0 {
		return 2
	}
	return s.abroad(c.n)
}

// scanMost is up to how many workers all are looked at for each first question. In a larger cell that alone would
// take more of the owner's processor than all else, and a part of them does as well where room is not scarce.
const scanMost = 400

// scans reports whether all workers are looked at: the few that are near the data may be anywhere.
func (t *term) scans(s *stage) bool { return len(t.roll) <= scanMost || s.spec.DataRack != "" }

// unnamed gives workers that were not named yet, those near the data, in the caller's zone and with the most room
// first: all of a small cell, of a large one as many as a question may need.
func (t *term) unnamed(s *stage, now time.Time) []candidate {
	list := t.pass.unnamed[:0]
	if t.scans(s) {
		for i, n := range t.roll {
			list = t.consider(list, s, n, i, now)
		}
		t.pass.looks += len(t.roll)
	} else {
		list = t.findUnnamed(list, s, now)
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.order, b.order) })
	t.pass.unnamed = list
	return list
}

// consider adds a worker to the candidates if it may be named; i tells apart those that are alike.
func (t *term) consider(list []candidate, s *stage, n *node, i int, now time.Time) []candidate {
	if _, known := s.answers[n.id]; known || !t.suits(s, n) || !n.listed || n.listing.Leaving {
		return list
	}
	need := s.charge()
	if fits(n.listing.Has, need) == 0 {
		return list
	}
	c := candidate{n: n, fits: fits(n.room(), need)}
	if !t.usable(n, now) {
		c.fits = -1
	}
	c.order = s.distance(n)<<distanceShift | c.rank(s)<<rankShift | (mostFits-min(c.fits, mostFits))<<fitsShift | i
	return append(list, c)
}

// findUnnamed looks for candidates where there is room, until there are as many as a question may need.
func (t *term) findUnnamed(list []candidate, s *stage, now time.Time) []candidate {
	names, tasks := t.wanted(s)
	found, free, looks := 0, 0, 0
	find := func(enough func() bool) func(*node) bool {
		return func(n *node) bool {
			looks++
			before := len(list)
			if list = t.consider(list, s, n, looks, now); len(list) > before && list[before].fits > 0 {
				found++
				free += list[before].fits
			}
			return !enough()
		}
	}
	turn := int(t.pass.number)
	fullest := shelfOf(s.charge().Millicores)
	t.rooms.from(s.e.work.Zone, fullest, turn, find(func() bool { return found >= names && free >= tasks }))
	if found < names || free < tasks {
		// Workers without room, which gangs must know of to wait for: the ones found before are not found again.
		seen := make(map[*node]bool, len(list))
		for _, c := range list {
			seen[c.n] = true
		}
		more := find(func() bool { return len(list) >= names+permit.MaxWorkers })
		t.rooms.from(s.e.work.Zone, 0, turn, func(n *node) bool { return seen[n] || more(n) })
	}
	t.pass.looks += looks
	return list
}

// The parts of a candidate's order: its distance, its rank, how many tasks fit, and its place among the workers,
// which are listed by ID.
const (
	fitsShift     = 24
	mostFits      = 1 << 16
	rankShift     = fitsShift + 18
	distanceShift = rankShift + 2
)

// firstQuestion names workers that were not named yet, in several questions at the same time where one
// would take longer: each entry VM has its own turn at the service. One question after the other kept a
// gang in a cell of 350 workers waiting for five to seven seconds.
func (t *term) firstQuestion(s *stage, now time.Time) {
	list := t.unnamed(s, now)
	list = list[:t.nameCount(s, list)]
	each := questionSize(s.e.queue.Permit, len(list))
	for len(list) > 0 {
		part := list[:min(each, len(list))]
		names := make([]string, 0, len(part))
		for _, c := range part {
			names = append(names, c.n.id)
		}
		if !t.question(s, names, now) {
			return
		}
		list = list[len(part):]
	}
}

// questionSize divides names evenly into questions each of which spends about as long on its names as on
// being answered at all. Smaller ones would cost more time at the service than they save.
func questionSize(p *job.PermitCost, names int) int {
	most := permit.MaxWorkers
	if p.PerWorker > 0 {
		most = min(max(int(p.Base/p.PerWorker), namedLeast), permit.MaxWorkers)
	}
	if questions := (names + most - 1) / most; questions > 1 {
		return (names + questions - 1) / questions
	}
	return most
}

// wanted is how many workers a question should name at least, with room for how many tasks among them.
func (t *term) wanted(s *stage) (names, tasks int) {
	room := nameMore * float64(s.waiting) / t.grantShare(s.e.queue.Name)
	if s.spec.Gang {
		return namedLeast, int(math.Ceil(room))
	}
	return max(int(room/float64(max(t.largest(s)/2, 1))), namedLeast), 0
}

// nameCount is how many of the unnamed workers are named at once. More cost time at the service, fewer may
// not be enough once some of them are refused or full.
func (t *term) nameCount(s *stage, list []candidate) int {
	p := s.e.queue.Permit
	left := len(list)
	if !t.scans(s) {
		left = len(t.roll) - len(s.answers)
	}
	if time.Duration(left)*p.PerWorker < p.Base {
		// Naming all costs less than asking twice.
		return len(list)
	}
	names, tasks := t.wanted(s)
	if !s.spec.Gang {
		return min(names, len(list))
	}
	// All tasks of a gang need room at the same time, so that what is free now counts. Where it is not
	// enough, the gang waits for room on workers that are full now, and must know some that it may have.
	n, free := 0, 0
	for n < len(list) && list[n].fits > 0 && free < tasks {
		free += list[n].fits
		n++
	}
	if free < tasks {
		n = max(n, permit.MaxWorkers)
	}
	return min(max(n, names), len(list))
}

// largest is how many tasks of a stage fit the largest worker when it is empty.
func (t *term) largest(s *stage) int {
	t.readShapes()
	most := 0
	for has := range t.shapes {
		most = max(most, fits(has, s.charge()))
	}
	return most
}

// readShapes notes what the workers have when they are empty, if that has changed.
func (t *term) readShapes() {
	if t.shapesAt == t.nodesChange {
		return
	}
	t.shapesAt = t.nodesChange
	clear(t.shapes)
	t.processors = 0
	for _, n := range t.roll {
		t.shapes[n.listing.Has] = struct{}{}
		t.processors += n.listing.Has.Millicores
	}
}
