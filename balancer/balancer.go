package balancer

import (
	"math/rand/v2"
	"time"

	"turmericgap/gate/target"
	"turmericgap/share"
)

// Defaults.
const (
	// DefaultSlowStart is how long a new or returned target takes to reach its full weight.
	DefaultSlowStart = 5 * time.Second
	// DefaultFailureThreshold is how many failures in a row eject a target.
	DefaultFailureThreshold = 5
	// DefaultBaseEjection is how long a first ejection lasts; each further one in a row doubles it.
	DefaultBaseEjection = 2 * time.Second
	// DefaultMaxEjection bounds an ejection.
	DefaultMaxEjection = 60 * time.Second
	// DefaultSlowFactor is how many times the median of its peers' latency ejects a target.
	DefaultSlowFactor = 4
	// DefaultSlowFloor is the latency below which no target counts as slow.
	DefaultSlowFloor = 20 * time.Millisecond
	// DefaultBusyBackoff is how long a target that said it was busy is passed over.
	DefaultBusyBackoff = 20 * time.Millisecond

	minSamples     = 8
	leastWeight    = 0.1
	smoothing      = 0.2
	judgeEvery     = 200 * time.Millisecond
	pairs          = 3
	patienceFactor = 4
)

// Outcome is how a request ended, as far as its target's health goes.
type Outcome int

// The verdicts.
const (
	// Succeeded is a whole answer.
	Succeeded Outcome = iota
	// Failed is an error, a cut or wrong answer, or a timeout.
	Failed
	// Busy is a refusal for want of a slot; it says nothing about health.
	Busy
	// Abandoned is a request that its caller gave up; it says nothing about health.
	Abandoned
)

// Choice is a picked target.
type Choice struct {
	Info  target.Info
	Probe bool
}

// Constraints is what a pick has to respect.
type Constraints struct {
	// Avoid is a target to pass over while another one is usable.
	Avoid string
	// Repeatable says that the request may be run again, so that it may test an ejected target.
	Repeatable bool
	// PlacementOnly says that a session is placed, which needs no slot yet.
	PlacementOnly bool
	// FreeSlots tells how many more requests a target may be given; nil means that only Slots counts.
	FreeSlots func(info *target.Info) int
}

type entry struct {
	info        target.Info
	left        bool
	outstanding int
	since       time.Time
	latency     float64
	samples     int
	failures    int
	ejected     bool
	until       time.Time
	ejections   int
	probing     bool
	busyUntil   time.Time
}

// Balancer holds the health of the targets of one service in one zone. It is not safe for
// concurrent use.
type Balancer struct {
	opts   Options
	rng    *rand.Rand
	list   []*entry
	byID   map[string]*entry
	judged time.Time
	median float64
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
	return &Balancer{opts: o, rng: rand.New(rand.NewPCG(o.Seed, o.Seed)), byID: make(map[string]*entry)}
}

// Update replaces the list of targets and keeps the health of those that stay.
func (b *Balancer) Update(infos []target.Info, now time.Time) {
	first := len(b.byID) == 0
	byID := make(map[string]*entry, len(infos))
	list := make([]*entry, 0, len(infos))
	for _, info := range infos {
		e, ok := b.byID[info.ID]
		if !ok || e.info.Address != info.Address {
			e = &entry{since: now}
			if first {
				// With the first list all targets are equally new, and holding all back helps none.
				e.since = now.Add(-b.opts.SlowStart)
			}
		}
		e.info = info
		// The list lags: it may still show a target as staying that has said it leaves.
		e.info.Leaving = info.Leaving || e.left
		byID[info.ID] = e
		list = append(list, e)
	}
	b.list, b.byID = list, byID
}

// MarkLeaving marks a target that said so itself, ahead of the list.
func (b *Balancer) MarkLeaving(id string) {
	if e, ok := b.byID[id]; ok {
		e.left, e.info.Leaving = true, true
	}
}

// Info gives a target of the list, also one that is leaving or ejected.
func (b *Balancer) Info(id string) (target.Info, bool) {
	e, ok := b.byID[id]
	if !ok {
		return target.Info{}, false
	}
	return e.info, true
}

// UsableCount counts the targets that may get new requests.
func (b *Balancer) UsableCount() int {
	n := 0
	for _, e := range b.list {
		if !e.info.Leaving && !e.ejected {
			n++
		}
	}
	return n
}

// EjectedCount counts the targets that are ejected now.
func (b *Balancer) EjectedCount() int {
	n := 0
	for _, e := range b.list {
		if e.ejected {
			n++
		}
	}
	return n
}

// Pick chooses a target for a new request and counts it as outstanding there.
func (b *Balancer) Pick(ask *Constraints, now time.Time) (Choice, bool) {
	if e := b.dueProbe(ask, now); e != nil && !ask.PlacementOnly {
		e.probing = true
		return b.take(e, true), true
	}
	if e := b.best(ask, now); e != nil {
		return b.take(e, false), true
	}
	return Choice{}, false
}

// PickByID counts a request that is bound to one target as outstanding there.
func (b *Balancer) PickByID(id string, ask *Constraints, now time.Time) (Choice, bool) {
	e, ok := b.byID[id]
	if !ok || now.Before(e.busyUntil) || b.free(e, ask) <= 0 {
		return Choice{}, false
	}
	return b.take(e, false), true
}

func (b *Balancer) take(e *entry, probe bool) Choice {
	e.outstanding++
	return Choice{Info: e.info, Probe: probe}
}

// dueProbe gives an ejected target whose time is up. A request that may not be repeated is risked
// only after a multiple of that time, when nothing else has come to test the target.
func (b *Balancer) dueProbe(ask *Constraints, now time.Time) *entry {
	for _, e := range b.list {
		if !e.ejected || e.probing || e.info.Leaving || e.info.ID == ask.Avoid || now.Before(e.until) {
			continue
		}
		if !ask.Repeatable && now.Before(e.until.Add((patienceFactor-1)*b.ejection(e))) {
			continue
		}
		if b.free(e, ask) > 0 {
			return e
		}
	}
	return nil
}

func (b *Balancer) best(ask *Constraints, now time.Time) *entry {
	n := len(b.list)
	if n == 0 {
		return nil
	}
	for range pairs {
		x, y := b.list[b.rng.IntN(n)], b.list[b.rng.IntN(n)]
		x, y = b.open(x, ask, now), b.open(y, ask, now)
		if e := b.better(x, y, now); e != nil {
			return e
		}
	}
	start := b.rng.IntN(n)
	for i := range n {
		if e := b.open(b.list[(start+i)%n], ask, now); e != nil {
			return e
		}
	}
	return b.avoided(ask, now)
}

// avoided gives the target to avoid itself when no other one is usable at all.
func (b *Balancer) avoided(ask *Constraints, now time.Time) *entry {
	if ask.Avoid == "" || b.UsableCount() > 1 {
		return nil
	}
	again := *ask
	again.Avoid = ""
	if e, ok := b.byID[ask.Avoid]; ok {
		return b.open(e, &again, now)
	}
	return nil
}

// open gives e if it may get a new request now, and nil otherwise.
func (b *Balancer) open(e *entry, ask *Constraints, now time.Time) *entry {
	if e.info.Leaving || e.ejected || e.info.ID == ask.Avoid {
		return nil
	}
	if ask.PlacementOnly {
		return e
	}
	if now.Before(e.busyUntil) {
		return nil
	}
	// A cold target that gets its full load at once answers slowly and is then ejected; it gets
	// its slots one after the other instead.
	if float64(e.outstanding) >= float64(e.info.Slots)*b.weight(e, now) {
		return nil
	}
	if b.free(e, ask) <= 0 {
		return nil
	}
	return e
}

func (b *Balancer) free(e *entry, ask *Constraints) int {
	if ask.FreeSlots == nil {
		return e.info.Slots - e.outstanding
	}
	return ask.FreeSlots(&e.info)
}

func (b *Balancer) better(x, y *entry, now time.Time) *entry {
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

func (b *Balancer) load(e *entry, now time.Time) float64 {
	return float64(e.outstanding+1) / (float64(max(1, e.info.Slots)) * b.weight(e, now))
}

func (b *Balancer) weight(e *entry, now time.Time) float64 {
	age := now.Sub(e.since)
	if age >= b.opts.SlowStart {
		return 1
	}
	return max(leastWeight, float64(age)/float64(b.opts.SlowStart))
}

// Undo takes a choice back that came to nothing.
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

// Targets lists those that may get new requests, with their slots.
func (b *Balancer) Targets() []share.Target {
	out := make([]share.Target, 0, len(b.list))
	for _, e := range b.list {
		if !e.info.Leaving && !e.ejected {
			out = append(out, share.Target{ID: e.info.ID, Slots: e.info.Slots})
		}
	}
	return out
}
