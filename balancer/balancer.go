package balancer

import (
	"math/rand/v2"
	"time"

	"turmericgap/gate/target"
	"turmericgap/share"
)

// Defaults.
const (
	// DefaultSlowStart is how long a new or reinstated target takes to reach its full weight.
	DefaultSlowStart = 5 * time.Second
	// DefaultFailureThreshold is the number of consecutive failures after which a target is
	// ejected.
	DefaultFailureThreshold = 5
	// DefaultBaseEjection is the duration of the first ejection; each consecutive one doubles it.
	DefaultBaseEjection = 2 * time.Second
	// DefaultMaxEjection limits the duration of an ejection.
	DefaultMaxEjection = 60 * time.Second
	// DefaultSlowFactor is the multiple of the median latency above which a target is ejected.
	DefaultSlowFactor = 4
	// DefaultSlowFloor is the latency up to which a target never counts as slow.
	DefaultSlowFloor = 20 * time.Millisecond
	// DefaultBusyBackoff is how long a target is skipped after it reported that it was busy.
	DefaultBusyBackoff = 20 * time.Millisecond

	minSamples        = 8
	minWeight         = 0.1
	latencySmoothing  = 0.2
	slowCheckInterval = 200 * time.Millisecond
	// maxPairs limits the random pairs that are compared before all targets are scanned.
	maxPairs = 3
	// unrepeatableProbeFactor is the multiple of the ejection time after which even a request that
	// must not be retried may probe a target.
	unrepeatableProbeFactor = 4
)

// Outcome is the result of a request with respect to the health of its target.
type Outcome int

// The outcomes.
const (
	// Succeeded is a complete answer.
	Succeeded Outcome = iota
	// Failed is an error, a truncated or wrong answer, or a timeout.
	Failed
	// Busy is a rejection because all slots were taken; it does not affect the target's health.
	Busy
	// Abandoned is a request canceled by its caller; it does not affect the target's health.
	Abandoned
)

// Choice is a selected target.
type Choice struct {
	Info  target.Info
	Probe bool
}

// Constraints restricts the selection of a target.
type Constraints struct {
	// Avoid is the ID of a target to skip while another one is usable.
	Avoid string
	// Repeatable reports that the request may be retried, so it may probe an ejected target.
	Repeatable bool
	// PlacementOnly reports that a session is being placed, which needs no slot yet.
	PlacementOnly bool
	// FreeSlots returns how many more requests a target may get; if nil, only Info.Slots counts.
	FreeSlots func(info *target.Info) int
}

type targetState struct {
	info            target.Info
	reportedLeaving bool
	outstanding     int
	warmupStart     time.Time
	latency         float64
	samples         int
	failures        int
	ejected         bool
	ejectedUntil    time.Time
	ejections       int
	probing         bool
	busyUntil       time.Time
}

// Balancer selects among the targets of one service in one zone and tracks their health. It is not
// safe for concurrent use.
type Balancer struct {
	opts          Options
	rng           *rand.Rand
	targets       []*targetState
	byID          map[string]*targetState
	lastSlowCheck time.Time
	median        float64
}

// New returns a Balancer without targets.
func New(opts ...Option) *Balancer {
	o := Options{
		SlowStart: DefaultSlowStart, FailureThreshold: DefaultFailureThreshold, BaseEjection: DefaultBaseEjection,
		MaxEjection: DefaultMaxEjection, SlowFactor: DefaultSlowFactor, SlowFloor: DefaultSlowFloor,
		BusyBackoff: DefaultBusyBackoff,
	}
	for _, f := range opts {
		f(&o)
	}
	return &Balancer{opts: o, rng: rand.New(rand.NewPCG(o.Seed, o.Seed)), byID: make(map[string]*targetState)}
}

// Update replaces the list of targets and keeps the state of targets that remain.
func (b *Balancer) Update(infos []target.Info, now time.Time) {
	first := len(b.byID) == 0
	byID := make(map[string]*targetState, len(infos))
	list := make([]*targetState, 0, len(infos))
	for _, info := range infos {
		e, ok := b.byID[info.ID]
		if !ok || e.info.Address != info.Address {
			e = &targetState{warmupStart: now}
			if first {
				// All targets of the first list are equally new, so slow start would only reduce
				// capacity.
				e.warmupStart = now.Add(-b.opts.SlowStart)
			}
		}
		e.info = info
		// The list may lag and not yet show that the target is leaving.
		e.info.Leaving = info.Leaving || e.reportedLeaving
		byID[info.ID] = e
		list = append(list, e)
	}
	b.targets, b.byID = list, byID
}

// MarkLeaving marks a target that reported that it is leaving before the list shows it.
func (b *Balancer) MarkLeaving(id string) {
	if e, ok := b.byID[id]; ok {
		e.reportedLeaving, e.info.Leaving = true, true
	}
}

// Info returns a listed target, even if it is leaving or ejected.
func (b *Balancer) Info(id string) (target.Info, bool) {
	e, ok := b.byID[id]
	if !ok {
		return target.Info{}, false
	}
	return e.info, true
}

// UsableCount returns the number of targets that may get new requests.
func (b *Balancer) UsableCount() int {
	n := 0
	for _, e := range b.targets {
		if !e.info.Leaving && !e.ejected {
			n++
		}
	}
	return n
}

// EjectedCount returns the number of ejected targets.
func (b *Balancer) EjectedCount() int {
	n := 0
	for _, e := range b.targets {
		if e.ejected {
			n++
		}
	}
	return n
}

// Pick selects a target for a new request and counts the request as outstanding.
func (b *Balancer) Pick(c *Constraints, now time.Time) (Choice, bool) {
	if e := b.nextProbe(c, now); e != nil && !c.PlacementOnly {
		e.probing = true
		return b.assign(e, true), true
	}
	if e := b.pickLeastLoaded(c, now); e != nil {
		return b.assign(e, false), true
	}
	return Choice{}, false
}

// PickByID selects the given target if it has a free slot and counts the request as outstanding.
func (b *Balancer) PickByID(id string, c *Constraints, now time.Time) (Choice, bool) {
	e, ok := b.byID[id]
	if !ok || now.Before(e.busyUntil) || b.freeSlots(e, c) <= 0 {
		return Choice{}, false
	}
	return b.assign(e, false), true
}

func (b *Balancer) assign(e *targetState, probe bool) Choice {
	e.outstanding++
	return Choice{Info: e.info, Probe: probe}
}

// nextProbe returns an ejected target whose ejection time has passed. A request that must not be
// retried probes it only after unrepeatableProbeFactor times that time, when no repeatable request
// has probed it.
func (b *Balancer) nextProbe(c *Constraints, now time.Time) *targetState {
	for _, e := range b.targets {
		if !e.ejected || e.probing || e.info.Leaving || e.info.ID == c.Avoid || now.Before(e.ejectedUntil) {
			continue
		}
		if !c.Repeatable && now.Before(e.ejectedUntil.Add((unrepeatableProbeFactor-1)*b.ejectionTime(e))) {
			continue
		}
		if b.freeSlots(e, c) > 0 {
			return e
		}
	}
	return nil
}

func (b *Balancer) pickLeastLoaded(c *Constraints, now time.Time) *targetState {
	n := len(b.targets)
	if n == 0 {
		return nil
	}
	for range maxPairs {
		x, y := b.targets[b.rng.IntN(n)], b.targets[b.rng.IntN(n)]
		x, y = b.ifEligible(x, c, now), b.ifEligible(y, c, now)
		if e := b.lessLoaded(x, y, now); e != nil {
			return e
		}
	}
	start := b.rng.IntN(n)
	for i := range n {
		if e := b.ifEligible(b.targets[(start+i)%n], c, now); e != nil {
			return e
		}
	}
	return b.avoidedFallback(c, now)
}

// avoidedFallback returns the target to avoid if no other one is usable.
func (b *Balancer) avoidedFallback(c *Constraints, now time.Time) *targetState {
	if c.Avoid == "" || b.UsableCount() > 1 {
		return nil
	}
	again := *c
	again.Avoid = ""
	if e, ok := b.byID[c.Avoid]; ok {
		return b.ifEligible(e, &again, now)
	}
	return nil
}

// ifEligible returns e if it may get a new request now, or nil.
func (b *Balancer) ifEligible(e *targetState, c *Constraints, now time.Time) *targetState {
	if e.info.Leaving || e.ejected || e.info.ID == c.Avoid {
		return nil
	}
	if c.PlacementOnly {
		return e
	}
	if now.Before(e.busyUntil) {
		return nil
	}
	// A cold target that gets its full load at once answers slowly and would be ejected, so its
	// slots are opened gradually.
	if float64(e.outstanding) >= float64(e.info.Slots)*b.weight(e, now) {
		return nil
	}
	if b.freeSlots(e, c) <= 0 {
		return nil
	}
	return e
}

func (b *Balancer) freeSlots(e *targetState, c *Constraints) int {
	if c.FreeSlots == nil {
		return e.info.Slots - e.outstanding
	}
	return c.FreeSlots(&e.info)
}

func (b *Balancer) lessLoaded(x, y *targetState, now time.Time) *targetState {
	switch {
	case x == nil:
		return y
	case y == nil:
		return x
	}
	lx, ly := b.load(x, now), b.load(y, now)
	if ly < lx || (ly == lx && y.latency < x.latency) {
		return y
	}
	return x
}

func (b *Balancer) load(e *targetState, now time.Time) float64 {
	return float64(e.outstanding+1) / (float64(max(1, e.info.Slots)) * b.weight(e, now))
}

func (b *Balancer) weight(e *targetState, now time.Time) float64 {
	age := now.Sub(e.warmupStart)
	if age >= b.opts.SlowStart {
		return 1
	}
	return max(minWeight, float64(age)/float64(b.opts.SlowStart))
}

// Undo reverts a Choice that was not used.
func (b *Balancer) Undo(c Choice) {
	b.Release(c.Info.ID)
	if e, ok := b.byID[c.Info.ID]; ok && c.Probe {
		e.probing = false
	}
}

// Release counts a request as no longer outstanding.
func (b *Balancer) Release(id string) {
	if e, ok := b.byID[id]; ok {
		e.outstanding = max(0, e.outstanding-1)
	}
}

// Targets returns the targets that may get new requests, with their slots.
func (b *Balancer) Targets() []share.Target {
	out := make([]share.Target, 0, len(b.targets))
	for _, e := range b.targets {
		if !e.info.Leaving && !e.ejected {
			out = append(out, share.Target{ID: e.info.ID, Slots: e.info.Slots})
		}
	}
	return out
}
