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
	node *node
	fits int
	// sortKey is where it stands among the others.
	sortKey int
}

// zoneRank orders candidates: those with room in the caller's zone, with room elsewhere, without.
func (c *candidate) zoneRank(s *stage) int {
	if c.fits <= 0 {
		return 2
	}
	return s.outsideZone(c.node)
}

// maxFullScan is up to how many workers all are looked at for each first question. In a larger cell that alone would
// take more of the owner's processor than all else, and a part of them does as well where room is not scarce.
const maxFullScan = 400

// scansAll reports whether all workers are looked at: the few that are near the data may be anywhere.
func (t *term) scansAll(s *stage) bool {
	return len(t.sortedNodes) <= maxFullScan || s.spec.DataRack != ""
}

// unnamedCandidates gives workers that were not named yet, those near the data, in the caller's zone and with the most room
// first: all of a small cell, of a large one as many as a question may need.
func (t *term) unnamedCandidates(s *stage, now time.Time) []candidate {
	list := t.pass.unnamed[:0]
	if t.scansAll(s) {
		for i, n := range t.sortedNodes {
			list = t.appendCandidate(list, s, n, i, now)
		}
		t.pass.examined += len(t.sortedNodes)
	} else {
		list = t.findCandidates(list, s, now)
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.sortKey, b.sortKey) })
	t.pass.unnamed = list
	return list
}

// appendCandidate adds a worker to the candidates if it may be named; i tells apart those that are alike.
func (t *term) appendCandidate(list []candidate, s *stage, n *node, i int, now time.Time) []candidate {
	if _, known := s.tickets[n.id]; known || !t.matches(s, n) || !n.listed || n.listing.Leaving {
		return list
	}
	need := s.taskResources()
	if fitCount(n.listing.Has, need) == 0 {
		return list
	}
	c := candidate{node: n, fits: fitCount(n.room(), need)}
	if !t.usable(n, now) {
		c.fits = -1
	}
	c.sortKey = s.dataDistance(n)<<distanceShift | c.zoneRank(s)<<rankShift | (maxFits-min(c.fits, maxFits))<<fitsShift | i
	return append(list, c)
}

// findCandidates looks for candidates where there is room, until there are as many as a question may need.
func (t *term) findCandidates(list []candidate, s *stage, now time.Time) []candidate {
	names, tasks := t.wantedNames(s)
	found, free, looks := 0, 0, 0
	find := func(enough func() bool) func(*node) bool {
		return func(n *node) bool {
			looks++
			before := len(list)
			if list = t.appendCandidate(list, s, n, looks, now); len(list) > before && list[before].fits > 0 {
				found++
				free += list[before].fits
			}
			return !enough()
		}
	}
	turn := int(t.pass.number)
	fullest := bucketOf(s.taskResources().Millicores)
	t.roomIndex.visit(s.entry.work.Zone, fullest, turn, find(func() bool { return found >= names && free >= tasks }))
	if found < names || free < tasks {
		// Workers without room, which gangs must know of to wait for: the ones found before are not found again.
		seen := make(map[*node]bool, len(list))
		for _, c := range list {
			seen[c.node] = true
		}
		more := find(func() bool { return len(list) >= names+permit.MaxWorkers })
		t.roomIndex.visit(s.entry.work.Zone, 0, turn, func(n *node) bool { return seen[n] || more(n) })
	}
	t.pass.examined += looks
	return list
}

// The parts of a candidate's order: its distance, its rank, how many tasks fit, and its place among the workers,
// which are listed by ID.
const (
	fitsShift     = 24
	maxFits       = 1 << 16
	rankShift     = fitsShift + 18
	distanceShift = rankShift + 2
)

// sendFirstRequests names workers that were not named yet, in several questions at the same time where one
// would take longer: each entry VM has its own turn at the service. One question after the other kept a
// gang in a cell of 350 workers waiting for five to seven seconds.
func (t *term) sendFirstRequests(s *stage, now time.Time) {
	list := t.unnamedCandidates(s, now)
	list = list[:t.nameCount(s, list)]
	each := requestSize(s.entry.queue.Permit, len(list))
	for len(list) > 0 {
		part := list[:min(each, len(list))]
		names := make([]string, 0, len(part))
		for _, c := range part {
			names = append(names, c.node.id)
		}
		if !t.sendPermitRequest(s, names, now) {
			return
		}
		list = list[len(part):]
	}
}

// requestSize divides names evenly into questions each of which spends about as long on its names as on
// being answered at all. Smaller ones would cost more time at the service than they save.
func requestSize(p *job.PermitCost, names int) int {
	most := permit.MaxWorkers
	if p.PerWorker > 0 {
		most = min(max(int(p.Base/p.PerWorker), minNamedWorkers), permit.MaxWorkers)
	}
	if questions := (names + most - 1) / most; questions > 1 {
		return (names + questions - 1) / questions
	}
	return most
}

// wantedNames is how many workers a question should name at least, with room for how many tasks among them.
func (t *term) wantedNames(s *stage) (names, tasks int) {
	room := namingFactor * float64(s.waiting) / t.expectedGrantShare(s.entry.queue.Name)
	if s.spec.Gang {
		return minNamedWorkers, int(math.Ceil(room))
	}
	return max(int(room/float64(max(t.maxTasksPerWorker(s)/2, 1))), minNamedWorkers), 0
}

// nameCount is how many of the unnamed workers are named at once. More cost time at the service, fewer may
// not be enough once some of them are refused or full.
func (t *term) nameCount(s *stage, list []candidate) int {
	p := s.entry.queue.Permit
	left := len(list)
	if !t.scansAll(s) {
		left = len(t.sortedNodes) - len(s.tickets)
	}
	if time.Duration(left)*p.PerWorker < p.Base {
		// Naming all costs less than asking twice.
		return len(list)
	}
	names, tasks := t.wantedNames(s)
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

// maxTasksPerWorker is how many tasks of a stage fit the maxTasksPerWorker worker when it is empty.
func (t *term) maxTasksPerWorker(s *stage) int {
	t.refreshCapacities()
	most := 0
	for has := range t.capacities {
		most = max(most, fitCount(has, s.taskResources()))
	}
	return most
}

// refreshCapacities notes what the workers have when they are empty, if that has changed.
func (t *term) refreshCapacities() {
	if t.capacitiesVersion == t.nodesVersion {
		return
	}
	t.capacitiesVersion = t.nodesVersion
	clear(t.capacities)
	t.totalMillicores = 0
	for _, n := range t.sortedNodes {
		t.capacities[n.listing.Has] = struct{}{}
		t.totalMillicores += n.listing.Has.Millicores
	}
}
