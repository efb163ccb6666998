package permit

import "time"

// Costs above which a request is long or medium. A request of a check costs some 10 to 20 ms, that of a batch about
// 100 ms, that of a roster a second.
const (
	LongRequestCost   = 300 * time.Millisecond
	MediumRequestCost = 50 * time.Millisecond
)

const (
	// maxQueueAhead bounds the work queued at a VM when it gets a medium or long request. It is about the time a
	// response takes to travel, so that the service does not idle. Requests beyond it stay with the owner in order of
	// urgency; queued at the VM they would delay more urgent ones.
	maxQueueAhead = 20 * time.Millisecond
	// maxShortQueueAhead is the same bound for short requests, which wait only for each other.
	maxShortQueueAhead = 400 * time.Millisecond
	// shortOnlyDivisor sets the fraction of the VMs that get only short requests, noLongDivisor the fraction that get
	// no long ones. maxShortOnlyVMs and maxNoLongVMs cap their numbers, because the time taken by such requests grows
	// more slowly than the cell.
	shortOnlyDivisor = 4
	maxShortOnlyVMs  = 6
	noLongDivisor    = 2
	maxNoLongVMs     = 12
)

// VMSelector chooses the entry VM that sends a request. The service answers one request at a time per VM, so the
// choice determines how long a request waits there. It is not safe for concurrent use.
type VMSelector struct {
	// busyUntil is when each VM will have finished the requests that it was given.
	busyUntil map[string]time.Time
	// failures counts the consecutive requests without a response for each VM.
	failures map[string]int
	// cached holds the latest search result for each cost class.
	cached [numCostClasses]searchResult
}

// costClass classifies requests by their cost.
type costClass int

const (
	short costClass = iota
	medium
	long
	numCostClasses
)

// searchResult caches a search for a VM. Many works search at the same time, and each search visits all VMs of the
// cell.
type searchResult struct {
	// vm is free from freeAt on, as of seenAt. If vm is empty, no VM is free before noneUntil.
	vm             string
	freeAt, seenAt time.Time
	noneUntil      time.Time
}

const (
	// backoffMin is how long a VM gets no requests after one without a response; each further failure doubles it up
	// to backoffMax. A VM that is cut off would otherwise look idle, and each check sent there would lose more time
	// than its objective allows.
	backoffMin = time.Second
	backoffMax = 8 * time.Second
)

// NewVMSelector returns a VMSelector without pending requests.
func NewVMSelector() *VMSelector {
	return &VMSelector{busyUntil: make(map[string]time.Time), failures: make(map[string]int)}
}

// Pick returns the VM that can answer a request of this cost first, and when it will have done so; ok is false if
// none may take it now. Long requests never go to the last half of the VMs (at most maxNoLongVMs), and medium ones
// never to the last quarter (at most maxShortOnlyVMs): a check queued after one of them would wait longer than its
// objective allows.
func (s *VMSelector) Pick(vms []string, cost time.Duration, now time.Time) (vm string, until time.Time, ok bool) {
	best, freeAt := s.firstFree(vms, cost, now)
	if best == "" {
		return "", time.Time{}, false
	}
	until = freeAt.Add(cost)
	s.busyUntil[best] = until
	s.cached = [numCostClasses]searchResult{}
	return best, until, true
}

// CanPick reports whether Pick would find a VM.
func (s *VMSelector) CanPick(vms []string, cost time.Duration, now time.Time) bool {
	best, _ := s.firstFree(vms, cost, now)
	return best != ""
}

// firstFree returns the VM that is free first among those that may get the request, or an empty string.
func (s *VMSelector) firstFree(vms []string, cost time.Duration, now time.Time) (best string, freeAt time.Time) {
	class := costClassOf(cost)
	r := &s.cached[class]
	if !r.seenAt.Equal(now) && !now.Before(r.noneUntil) {
		*r = s.search(vms, class, now)
	}
	return r.vm, r.freeAt
}

func costClassOf(cost time.Duration) costClass {
	switch {
	case cost > LongRequestCost:
		return long
	case cost > MediumRequestCost:
		return medium
	}
	return short
}

// search visits all VMs that may get a request of that class.
func (s *VMSelector) search(vms []string, class costClass, now time.Time) searchResult {
	ahead := maxQueueAhead
	switch class {
	case long:
		vms = vms[:len(vms)-min(len(vms)/noLongDivisor, maxNoLongVMs)]
	case medium:
		vms = vms[:len(vms)-min(len(vms)/shortOnlyDivisor, maxShortOnlyVMs)]
	default:
		ahead = maxShortQueueAhead
	}
	r := searchResult{seenAt: now}
	for i, id := range vms {
		at := s.busyUntil[id]
		if at.Before(now) {
			at = now
		}
		// Among VMs that are free at the same time, prefer later ones, which get no long requests.
		if at.Sub(now) <= ahead && (r.vm == "" || !at.After(r.freeAt)) {
			r.vm, r.freeAt = id, at
		}
		// busyUntil of a VM never decreases, so none becomes free earlier than the earliest time found here.
		if free := at.Add(-ahead); i == 0 || free.Before(r.noneUntil) {
			r.noneUntil = free
		}
	}
	if r.vm != "" {
		r.noneUntil = time.Time{}
	}
	return r
}

// RecordFailure records that a VM did not respond to a request.
func (s *VMSelector) RecordFailure(vm string, now time.Time) {
	backoff := min(backoffMin<<min(s.failures[vm], 8), backoffMax)
	s.failures[vm]++
	if until := now.Add(backoff); until.After(s.busyUntil[vm]) {
		s.busyUntil[vm] = until
	}
	s.cached = [numCostClasses]searchResult{}
}

// RecordSuccess records that a VM responded to a request.
func (s *VMSelector) RecordSuccess(vm string) { delete(s.failures, vm) }

// RetainVMs drops the state of all VMs that are not listed.
func (s *VMSelector) RetainVMs(vms []string) {
	s.cached = [numCostClasses]searchResult{}
	listed := make(map[string]bool, len(vms))
	for _, id := range vms {
		listed[id] = true
	}
	for id := range s.busyUntil {
		if !listed[id] {
			delete(s.busyUntil, id)
			delete(s.failures, id)
		}
	}
}
