package share

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Defaults.
const (
	// DefaultLoanTTL is how long a loan holds on its borrower's clock.
	DefaultLoanTTL = 10 * time.Second
	// DefaultClockDrift is how much longer its lender keeps it charged.
	DefaultClockDrift = 500 * time.Millisecond
	// DefaultLoanIdleTimeout is how long a loan may stay unused before it is returned.
	DefaultLoanIdleTimeout = time.Second
	// DefaultRemovalGrace is how long the last requests and loans of a removed gate may still occupy targets.
	DefaultRemovalGrace = 16 * time.Second

	maxPending       = 64
	maxLoans         = 1024
	maxLoansOfTarget = 64
	// reservePart is the part of its slots, one in so many, that a lender keeps.
	reservePart = 4
)

// Allocator keeps one gate's shares of all targets; it is safe for concurrent use.
type Allocator struct {
	id   string
	opts Options

	mu sync.Mutex
	// base is the newest table that all others have confirmed; nil until there is one.
	base *Table
	// pending are the newer tables, oldest first.
	pending []Table
	// settled is when the last requests of gates that were removed have ended; a gate that knows
	// of none, because it is new, may take another's word for it.
	settled   time.Time
	anew      bool
	confirmed map[string]Confirmation
	// left are the gates of known tables that have left by themselves, gone whether this one has.
	left     map[string]bool
	gone     bool
	confirms int64
	uses     map[string]*use
	serial   uint64
}

// use is what is taken of one target.
type use struct {
	slots    int
	own      int
	lent     []lent
	borrowed []*borrowed
}

// Slot is the right to occupy one slot of a target.
type Slot struct {
	target string
	loan   *borrowed
	// since is the membership under which the slot was taken.
	since int64
}

// Borrowed reports whether the slot is a sibling's.
func (s *Slot) Borrowed() bool { return s.loan != nil }

// New returns the Holder of a gate. The id is unique for each life of the process: one that comes
// back under an old id would be taken to have kept its promises.
func New(id string, opts ...Option) *Allocator {
	o := Options{
		Valid: func() bool { return true }, MemberSince: func() int64 { return 0 }, LoanTTL: DefaultLoanTTL, ClockDrift: DefaultClockDrift,
		LoanIdleTimeout: DefaultLoanIdleTimeout, RemovalGrace: DefaultRemovalGrace,
	}
	for _, f := range opts {
		f(&o)
	}
	return &Allocator{
		id: id, opts: o, confirmed: make(map[string]Confirmation), left: make(map[string]bool),
		uses: make(map[string]*use),
	}
}

// SetTable takes a newer table over; an older or the same one changes nothing.
func (h *Allocator) SetTable(t Table, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.move(now)
	newest := h.newest()
	if newest != nil && t.Version <= newest.Version {
		return
	}
	t.Gates = slices.Clone(t.Gates)
	switch {
	case newest == nil || !t.has(h.id) || len(h.pending) >= maxPending:
		// A new gate has no claim yet, a removed one has lost it, and one that lost count starts anew.
		h.base, h.pending, h.anew = nil, nil, true
		h.settled = now.Add(h.opts.RemovalGrace)
	case h.mustSettle(&t):
		h.settled = now.Add(h.opts.RemovalGrace)
	}
	h.pending = append(h.pending, t)
	for gate := range h.confirmed {
		if !t.has(gate) {
			delete(h.confirmed, gate)
		}
	}
	h.move(now)
}

// mustSettle reports whether requests of a gate that t does not list may still occupy targets.
func (h *Allocator) mustSettle(t *Table) bool {
	if h.base != nil && t.lacks(h.base, h.left) {
		return true
	}
	return slices.ContainsFunc(h.pending, func(old Table) bool { return t.lacks(&old, h.left) })
}

func (h *Allocator) newest() *Table {
	if n := len(h.pending); n > 0 {
		return &h.pending[n-1]
	}
	return h.base
}

// AddConfirmation notes what another gate of the zone has told.
func (h *Allocator) AddConfirmation(c Confirmation, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t := h.newest(); t != nil && t.has(c.Gate) && c.Version >= h.confirmed[c.Gate].Version {
		h.confirmed[c.Gate] = c
		if c.Left {
			h.left[c.Gate] = true
		}
	}
	h.move(now)
}

// Confirmation gives what this gate may tell the others.
func (h *Allocator) Confirmation(now time.Time) Confirmation {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.move(now)
	if h.mayConfirm(now) {
		h.confirms = h.newest().Version
	}
	return Confirmation{Gate: h.id, Version: h.confirms, KnowsHistory: !h.anew, Left: h.gone}
}

func (h *Allocator) mayConfirm(now time.Time) bool {
	if h.newest() == nil || (!h.anew && now.Before(h.settled)) {
		return false
	}
	for id, u := range h.uses {
		u.prune(now)
		if u.own+u.lentOut() > h.limit(id, u.slots) {
			return false
		}
	}
	return true
}

// renew forgets the tables before the present membership. A gate that was removed and has joined
// again may never see the table that lacked it, and its old share is another's by now.
func (h *Allocator) renew(now time.Time) {
	since := h.opts.MemberSince()
	stale := func(t Table) bool { return t.Version < since }
	if (h.base == nil || !stale(*h.base)) && !slices.ContainsFunc(h.pending, stale) {
		return
	}
	h.base, h.pending, h.anew = nil, slices.DeleteFunc(h.pending, stale), true
	h.settled = now.Add(h.opts.RemovalGrace)
}

// move makes the newest table the base once all its other gates have confirmed it.
func (h *Allocator) move(now time.Time) {
	h.renew(now)
	t := h.newest()
	if t == nil || t == h.base || !t.has(h.id) {
		return
	}
	settled := !now.Before(h.settled)
	for _, gate := range t.Gates {
		if gate == h.id {
			continue
		}
		c := h.confirmed[gate]
		// The very version, not a later one: a gate that skipped this table was never bound by it, and
		// a claim to its share here could overlap with what that gate uses.
		if c.Version != t.Version {
			return
		}
		settled = settled || (h.anew && c.KnowsHistory)
	}
	if settled {
		base := *t
		h.base, h.pending, h.anew, h.settled = &base, nil, false, time.Time{}
		maps.DeleteFunc(h.left, func(gate string, _ bool) bool { return !base.has(gate) })
	}
}

// Agreed reports whether nothing is left to be confirmed here.
func (h *Allocator) Agreed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newest() == h.base
}

// limit is the smallest share of the base and all newer tables.
func (h *Allocator) limit(target string, slots int) int {
	if h.base == nil || h.gone {
		return 0
	}
	n := h.base.ShareOf(h.id, target, slots)
	for i := range h.pending {
		n = min(n, h.pending[i].ShareOf(h.id, target, slots))
	}
	return n
}

func (h *Allocator) use(target string, now time.Time) *use {
	u, ok := h.uses[target]
	if !ok {
		u = &use{}
		h.uses[target] = u
	}
	u.prune(now)
	return u
}

// prune forgets the loans whose time is up.
func (u *use) prune(now time.Time) {
	if len(u.lent) > 0 {
		u.lent = slices.DeleteFunc(u.lent, func(l lent) bool { return !now.Before(l.expires) })
	}
	if len(u.borrowed) > 0 {
		u.borrowed = slices.DeleteFunc(u.borrowed, func(b *borrowed) bool { return !now.Before(b.expires) })
	}
}

func (u *use) lentOut() int {
	n := 0
	for i := range u.lent {
		n += u.lent[i].slots
	}
	return n
}

// loan gives a loan with a free slot that holds until the given time.
func (u *use) loan(until time.Time) *borrowed {
	for _, b := range u.borrowed {
		if b.inUse < b.slots && !until.After(b.expires) {
			return b
		}
	}
	return nil
}

// Limit gives how many slots of a target this gate may occupy at most, by its share and by loans.
func (h *Allocator) Limit(target string, slots int, now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.opts.Valid() {
		return 0
	}
	h.move(now)
	u := h.use(target, now)
	n := max(0, h.limit(target, slots)-u.lentOut())
	for _, b := range u.borrowed {
		n += b.slots
	}
	return n
}

// Leave gives up all shares for good, if nothing is taken of them and nothing is lent. It is called
// before a planned stop; where it reports false, the others wait as for a gate that died.
func (h *Allocator) Leave(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, u := range h.uses {
		u.prune(now)
		if u.own > 0 || len(u.lent) > 0 || slices.ContainsFunc(u.borrowed, func(b *borrowed) bool { return b.inUse > 0 }) {
			return false
		}
	}
	h.gone = true
	return true
}

// Valid reports whether the gate holds its membership.
func (h *Allocator) Valid() bool { return h.opts.Valid() }
