package share

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Default values of Options.
const (
	// DefaultLoanTTL is how long a borrower may use a loan, by its own clock.
	DefaultLoanTTL = 10 * time.Second
	// DefaultClockDrift is how much longer the lender keeps a loan charged.
	DefaultClockDrift = 500 * time.Millisecond
	// DefaultLoanIdleTimeout is how long a loan may stay unused before it is returned.
	DefaultLoanIdleTimeout = time.Second
	// DefaultRemovalGrace is how long the last requests and loans of a removed gate may still occupy targets.
	DefaultRemovalGrace = 16 * time.Second

	maxPendingTables  = 64
	maxLoansPerReply  = 1024
	maxLoansPerTarget = 64
	// reserveDivisor sets the lender's reserve to 1/reserveDivisor of its slots.
	reserveDivisor = 4
)

// Allocator tracks the share that one gate has of each target. It is safe for concurrent use.
type Allocator struct {
	id   string
	opts Options

	mu sync.Mutex
	// base is the newest table that all other gates have confirmed; nil until there is one.
	base *Table
	// pending holds the tables newer than base, oldest first.
	pending []Table
	// graceEnds is when the last requests of removed gates have ended. If lacksHistory is set, this gate does not
	// know which gates were removed, and the confirmation of a gate that does know can end the wait earlier.
	graceEnds    time.Time
	lacksHistory bool
	confirmed    map[string]Confirmation
	// leftGates holds the gates of known tables that left by a planned stop; hasLeft is set once this gate has left.
	leftGates        map[string]bool
	hasLeft          bool
	confirmedVersion int64
	usages           map[string]*targetUsage
	lastLoanID       uint64
}

// targetUsage counts the slots of one target that are in use, lent and borrowed.
type targetUsage struct {
	slots    int
	ownInUse int
	lent     []outgoingLoan
	borrowed []*incomingLoan
}

// Slot is the right to occupy one slot of a target.
type Slot struct {
	target string
	loan   *incomingLoan
	// memberSince identifies the membership under which the slot was acquired.
	memberSince int64
}

// Borrowed reports whether the slot belongs to a loan from another gate.
func (s *Slot) Borrowed() bool { return s.loan != nil }

// New returns the Allocator of a gate. The id must be unique to this run of the process: a restarted process with the
// same id would be assumed to still honor the confirmations it sent before.
func New(id string, opts ...Option) *Allocator {
	o := Options{
		Valid: func() bool { return true }, MemberSince: func() int64 { return 0 }, LoanTTL: DefaultLoanTTL,
		ClockDrift: DefaultClockDrift, LoanIdleTimeout: DefaultLoanIdleTimeout, RemovalGrace: DefaultRemovalGrace,
	}
	for _, f := range opts {
		f(&o)
	}
	return &Allocator{
		id: id, opts: o, confirmed: make(map[string]Confirmation), leftGates: make(map[string]bool),
		usages: make(map[string]*targetUsage),
	}
}

// SetTable adopts a table that is newer than all known ones; otherwise it does nothing.
func (a *Allocator) SetTable(t Table, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	newest := a.newest()
	if newest != nil && t.Version <= newest.Version {
		return
	}
	t.Gates = slices.Clone(t.Gates)
	switch {
	case newest == nil || !t.lists(a.id) || len(a.pending) >= maxPendingTables:
		// A new gate has no share yet, a removed one has lost it, and one with too many pending tables starts over.
		a.base, a.pending, a.lacksHistory = nil, nil, true
		a.graceEnds = now.Add(a.opts.RemovalGrace)
	case a.needsGracePeriod(&t):
		a.graceEnds = now.Add(a.opts.RemovalGrace)
	}
	a.pending = append(a.pending, t)
	for gate := range a.confirmed {
		if !t.lists(gate) {
			delete(a.confirmed, gate)
		}
	}
	a.advance(now)
}

// needsGracePeriod reports whether requests of a gate that t does not list may still occupy targets.
func (a *Allocator) needsGracePeriod(t *Table) bool {
	if a.base != nil && t.dropsGateOf(a.base, a.leftGates) {
		return true
	}
	return slices.ContainsFunc(a.pending, func(old Table) bool { return t.dropsGateOf(&old, a.leftGates) })
}

func (a *Allocator) newest() *Table {
	if n := len(a.pending); n > 0 {
		return &a.pending[n-1]
	}
	return a.base
}

// AddConfirmation records a confirmation from another gate of the zone.
func (a *Allocator) AddConfirmation(c Confirmation, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.newest(); t != nil && t.lists(c.Gate) && c.Version >= a.confirmed[c.Gate].Version {
		a.confirmed[c.Gate] = c
		if c.Left {
			a.leftGates[c.Gate] = true
		}
	}
	a.advance(now)
}

// Confirmation returns the confirmation that this gate may send to the others.
func (a *Allocator) Confirmation(now time.Time) Confirmation {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	if a.canConfirm(now) {
		a.confirmedVersion = a.newest().Version
	}
	return Confirmation{Gate: a.id, Version: a.confirmedVersion, KnowsHistory: !a.lacksHistory, Left: a.hasLeft}
}

func (a *Allocator) canConfirm(now time.Time) bool {
	if a.newest() == nil || (!a.lacksHistory && now.Before(a.graceEnds)) {
		return false
	}
	for id, u := range a.usages {
		u.prune(now)
		if u.ownInUse+u.lentSlots() > a.shareLimit(id, u.slots) {
			return false
		}
	}
	return true
}

// dropStaleTables drops the tables from before the current membership. A gate that was removed and has joined again
// may never see the table without it, and its old share may be in use by another gate.
func (a *Allocator) dropStaleTables(now time.Time) {
	since := a.opts.MemberSince()
	stale := func(t Table) bool { return t.Version < since }
	if (a.base == nil || !stale(*a.base)) && !slices.ContainsFunc(a.pending, stale) {
		return
	}
	a.base, a.pending, a.lacksHistory = nil, slices.DeleteFunc(a.pending, stale), true
	a.graceEnds = now.Add(a.opts.RemovalGrace)
}

// advance makes the newest table the base once all its other gates have confirmed it.
func (a *Allocator) advance(now time.Time) {
	a.dropStaleTables(now)
	t := a.newest()
	if t == nil || t == a.base || !t.lists(a.id) {
		return
	}
	settled := !now.Before(a.graceEnds)
	for _, gate := range t.Gates {
		if gate == a.id {
			continue
		}
		c := a.confirmed[gate]
		// Only this exact version counts, not a later one: a gate that skipped this table was never limited by it,
		// and claiming a share by this table could overlap with what that gate uses.
		if c.Version != t.Version {
			return
		}
		settled = settled || (a.lacksHistory && c.KnowsHistory)
	}
	if settled {
		base := *t
		a.base, a.pending, a.lacksHistory, a.graceEnds = &base, nil, false, time.Time{}
		maps.DeleteFunc(a.leftGates, func(gate string, _ bool) bool { return !base.lists(gate) })
	}
}

// Agreed reports whether the newest known table is in full use, so that nothing is left to confirm.
func (a *Allocator) Agreed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.newest() == a.base
}

// shareLimit is the smallest share by the base and all pending tables.
func (a *Allocator) shareLimit(target string, slots int) int {
	if a.base == nil || a.hasLeft {
		return 0
	}
	n := a.base.ShareOf(a.id, target, slots)
	for i := range a.pending {
		n = min(n, a.pending[i].ShareOf(a.id, target, slots))
	}
	return n
}

func (a *Allocator) usageOf(target string, now time.Time) *targetUsage {
	u, ok := a.usages[target]
	if !ok {
		u = &targetUsage{}
		a.usages[target] = u
	}
	u.prune(now)
	return u
}

// prune drops the loans that have expired.
func (u *targetUsage) prune(now time.Time) {
	if len(u.lent) > 0 {
		u.lent = slices.DeleteFunc(u.lent, func(l outgoingLoan) bool { return !now.Before(l.expires) })
	}
	if len(u.borrowed) > 0 {
		u.borrowed = slices.DeleteFunc(u.borrowed, func(b *incomingLoan) bool { return !now.Before(b.expires) })
	}
}

func (u *targetUsage) lentSlots() int {
	n := 0
	for i := range u.lent {
		n += u.lent[i].slots
	}
	return n
}

// availableLoan returns a loan with a free slot that is valid until the given time.
func (u *targetUsage) availableLoan(until time.Time) *incomingLoan {
	for _, b := range u.borrowed {
		if b.inUse < b.slots && !until.After(b.expires) {
			return b
		}
	}
	return nil
}

// Limit returns how many slots of a target this gate may occupy at most, by its share and by loans.
func (a *Allocator) Limit(target string, slots int, now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.opts.Valid() {
		return 0
	}
	a.advance(now)
	u := a.usageOf(target, now)
	n := max(0, a.shareLimit(target, slots)-u.lentSlots())
	for _, b := range u.borrowed {
		n += b.slots
	}
	return n
}

// Leave permanently gives up all shares, provided that no slot is in use and none is lent. It is called before a
// planned stop; if it returns false, the others wait for this gate as for one that crashed.
func (a *Allocator) Leave(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, u := range a.usages {
		u.prune(now)
		if u.ownInUse > 0 || len(u.lent) > 0 ||
			slices.ContainsFunc(u.borrowed, func(b *incomingLoan) bool { return b.inUse > 0 }) {
			return false
		}
	}
	a.hasLeft = true
	return true
}

// Valid reports whether the gate is currently a member of its zone.
func (a *Allocator) Valid() bool { return a.opts.Valid() }
