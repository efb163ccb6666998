package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"turmericgap/job"
	"turmericgap/permit"
)

// candidate is a worker that was not named yet, and how many tasks of a stage it has room for.
type candidate struct {
	n    *node
	fits int
}

// rank orders candidates: those with room in the caller's zone, with room elsewhere, without.
func (c *candidate) rank(s *stage) int {
	if c.fits <= 0 {
		return 2
	}
	return s.abroad(c.n)
}

// unnamed gives the workers that were not named yet, those near the data, in the caller's
// zone and with the most room first.
func (t *term) unnamed(s *stage, now time.Time) []candidate {
	need := s.charge()
	var list []candidate
	t.looks += len(t.nodes)
	for _, n := range t.nodes {
		if _, known := s.answers[n.id]; known || !t.suits(s, n) || !n.listed || n.listing.Leaving {
			continue
		}
		if fits(n.listing.Has, need) == 0 {
			continue
		}
		c := candidate{n, fits(n.room(), need)}
		if !n.usable(now) {
			c.fits = -1
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if c := cmp.Compare(s.distance(a.n), s.distance(b.n)); c != 0 {
			return c
		}
		if c := cmp.Compare(a.rank(s), b.rank(s)); c != 0 {
			return c
		}
		if a.fits != b.fits {
			return b.fits - a.fits
		}
		return strings.Compare(a.n.id, b.n.id)
	})
	return list
}

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

// nameCount is how many of the unnamed workers are named at once. More cost time at the service, fewer may
// not be enough once some of them are refused or full.
func (t *term) nameCount(s *stage, list []candidate) int {
	p := s.e.queue.Permit
	if time.Duration(len(list))*p.PerWorker < p.Base {
		// Naming all costs less than asking twice.
		return len(list)
	}
	room := nameMore * float64(s.waiting) / t.grantShare(s.e.queue.Name)
	if !s.spec.Gang {
		room /= float64(max(t.largest(s)/2, 1))
		return min(max(int(room), namedLeast), len(list))
	}
	// All tasks of a gang need room at the same time, so that what is free now counts. Where it is not
	// enough, the gang waits for room on workers that are full now, and must know some that it may have.
	n, free := 0, 0.0
	for n < len(list) && list[n].fits > 0 && free < room {
		free += float64(list[n].fits)
		n++
	}
	if free < room {
		n = max(n, permit.MaxWorkers)
	}
	return min(max(n, namedLeast), len(list))
}

// largest is how many tasks of a stage fit the largest worker when it is empty.
func (t *term) largest(s *stage) int {
	most := 0
	t.looks += len(t.nodes)
	for _, n := range t.nodes {
		most = max(most, fits(n.listing.Has, s.charge()))
	}
	return most
}
