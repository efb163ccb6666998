package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"turmericgap/job"
	"turmericgap/permit"
)

// candidate is a worker that may be named in a permit request for a stage, and was not named in an earlier one.
type candidate struct {
	node *node
	// fits is how many tasks of the stage fit on the worker now, or -1 if the worker is not usable.
	fits int
	// sortKey orders the candidates, smallest first.
	sortKey int
}

// speedBits is the size of the part of a rank that stands for the speed of a worker.
const speedBits = 6

// rank orders candidates by capacity, the caller's zone and speed: first those with capacity in the zone, then those with
// capacity elsewhere, then the others. For a gang, which runs at the pace of its slowest member, speed goes before the
// zone.
func (c *candidate) rank(s *stage, slowFirst bool) int {
	slowness := speedRank(c.node, slowFirst)
	switch {
	case c.fits <= 0:
		return 2<<speedBits | slowness
	case s.spec.Gang:
		return slowness<<1 | s.outsideZone(c.node)
	}
	return s.outsideZone(c.node)<<speedBits | slowness
}

// maxFullScan is the largest number of workers that are all examined for a first request. In larger cells a full scan
// would use more of the owner's CPU than everything else, and a partial one is as good where capacity is not scarce.
const maxFullScan = 400

// scansAll reports whether unnamedCandidates examines all workers. For a stage with local data it does so in a cell of
// any size, as the few workers near the data may be anywhere.
func (t *term) scansAll(s *stage) bool {
	return len(t.sortedNodes) <= maxFullScan || s.spec.DataRack != ""
}

// unnamedCandidates returns workers that were not yet named, sorted by distance from the data, rank and free
// capacity. In a small cell it returns all of them, in a large one as many as a request may need. The list is valid
// until the next call.
func (t *term) unnamedCandidates(s *stage, now time.Time) []candidate {
	list, slowFirst := t.pass.unnamed[:0], t.prefersSlow(s, now)
	if t.scansAll(s) {
		for i, n := range t.sortedNodes {
			list = t.appendCandidate(list, s, n, i, slowFirst, now)
		}
		t.pass.examined += len(t.sortedNodes)
	} else {
		list = t.findCandidates(list, s, slowFirst, now)
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.sortKey, b.sortKey) })
	t.pass.unnamed = list
	return list
}

// appendCandidate appends a worker to the candidates if it may be named; i breaks ties between equal candidates.
func (t *term) appendCandidate(list []candidate, s *stage, n *node, i int, slowFirst bool, now time.Time) []candidate {
	if _, known := s.tickets[n.id]; known || !t.matches(s, n) || !n.listed || n.listing.Leaving {
		return list
	}
	need := s.taskResources()
	if n.listing.Has.Count(need) == 0 {
		return list
	}
	c := candidate{node: n, fits: n.available().Count(need)}
	if !t.usable(n, now) {
		c.fits = -1
	}
	c.sortKey = s.dataDistance(n)<<distanceShift | c.rank(s, slowFirst)<<rankShift | (maxFits-min(c.fits, maxFits))<<fitsShift | i
	return append(list, c)
}

// findCandidates searches the workers with the most free capacity first, until it has as many candidates as a request
// may need.
func (t *term) findCandidates(list []candidate, s *stage, slowFirst bool, now time.Time) []candidate {
	names, tasks := t.namesNeeded(s)
	withCapacity, free, visited := 0, 0, 0
	collectUntil := func(enough func() bool) func(*node) bool {
		return func(n *node) bool {
			visited++
			before := len(list)
			if list = t.appendCandidate(list, s, n, visited, slowFirst, now); len(list) > before && list[before].fits > 0 {
				withCapacity++
				free += list[before].fits
			}
			return !enough()
		}
	}
	offset := int(t.pass.number)
	t.capacity.Visit(s.entry.work.Zone, s.taskResources().Millicores, offset,
		collectUntil(func() bool { return withCapacity >= names && free >= tasks }))
	if withCapacity < names || free < tasks {
		// Gangs must also know workers without capacity in order to wait for them. Skip the ones already found.
		seen := make(map[*node]bool, len(list))
		for _, c := range list {
			seen[c.node] = true
		}
		more := collectUntil(func() bool { return len(list) >= names+permit.MaxWorkers })
		t.capacity.Visit(s.entry.work.Zone, 0, offset, func(n *node) bool { return seen[n] || more(n) })
	}
	t.pass.examined += visited
	return list
}

// The parts of a sort key from its highest bits: data distance, rank, maxFits minus the number of tasks that fit,
// and position among the workers, which are sorted by ID.
const (
	fitsShift     = 24
	maxFits       = 1 << 16
	rankShift     = fitsShift + 18
	distanceShift = rankShift + 2 + speedBits
)

// sendFirstRequests requests permits for workers that were not yet named. It splits a long list into several concurrent
// requests, as the service handles requests from different entry VMs in parallel. Sent one after another, they would
// keep a gang in a cell of 350 workers waiting for five to seven seconds.
func (t *term) sendFirstRequests(s *stage, now time.Time) {
	list := t.unnamedCandidates(s, now)
	list = list[:t.nameCount(s, list)]
	perRequest := requestSize(s.entry.queue.Permit, len(list))
	for len(list) > 0 {
		part := list[:min(perRequest, len(list))]
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

// requestSize returns how many workers to name in each request. It splits them evenly into requests in which the cost
// per worker is about as high as the fixed cost. Smaller requests would take more of the service's time than they save.
func requestSize(p *job.PermitCost, names int) int {
	limit := permit.MaxWorkers
	if p.PerWorker > 0 {
		limit = min(max(int(p.Base/p.PerWorker), minNamedWorkers), permit.MaxWorkers)
	}
	if requests := (names + limit - 1) / limit; requests > 1 {
		return (names + requests - 1) / requests
	}
	return limit
}

// namesNeeded returns the minimum number of workers to name, and how many tasks should fit on them.
func (t *term) namesNeeded(s *stage) (names, tasks int) {
	capacity := namingFactor * float64(s.waiting) / t.expectedGrantShare(s.entry.queue.Name)
	if s.spec.Gang {
		return minNamedWorkers, int(math.Ceil(capacity))
	}
	return max(int(capacity/float64(max(t.maxTasksPerWorker(s)/2, 1))), minNamedWorkers), 0
}

// nameCount returns how many of the unnamed workers to name at once. More cost time at the service; fewer may not
// suffice once some are denied or full.
func (t *term) nameCount(s *stage, list []candidate) int {
	p := s.entry.queue.Permit
	left := len(list)
	if !t.scansAll(s) {
		left = len(t.sortedNodes) - len(s.tickets)
	}
	if time.Duration(left)*p.PerWorker < p.Base {
		// Naming all is cheaper than a second request.
		return len(list)
	}
	names, tasks := t.namesNeeded(s)
	if !s.spec.Gang {
		return min(names, len(list))
	}
	// All tasks of a gang need capacity at the same time, so only workers with capacity now count. If these do not
	// suffice, the gang waits for capacity on full workers, and must know some that are allowed.
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

// maxTasksPerWorker returns how many tasks of a stage fit on the largest worker when it is empty.
func (t *term) maxTasksPerWorker(s *stage) int {
	t.refreshCapacities()
	most := 0
	for has := range t.capacities {
		most = max(most, has.Count(s.taskResources()))
	}
	return most
}

// refreshCapacities recomputes the distinct and total capacities of the workers if these have changed.
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
