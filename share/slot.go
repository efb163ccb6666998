package share

import (
	"slices"
	"time"
)

// FreeSlots returns how many more slots of a target this gate may occupy until the given time.
func (a *Allocator) FreeSlots(target string, slots int, until, now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.opts.Valid() {
		return 0
	}
	a.advance(now)
	u := a.usageOf(target, now)
	n := max(0, a.shareLimit(target, slots)-u.ownInUse-u.lentSlots())
	for _, b := range u.borrowed {
		if !until.After(b.expires) {
			n += b.slots - b.inUse
		}
	}
	return n
}

// Acquire occupies a slot of a target for a request that is certain to end by the given time.
func (a *Allocator) Acquire(target string, slots int, until, now time.Time) (*Slot, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.opts.Valid() {
		return nil, false
	}
	a.advance(now)
	since := a.opts.MemberSince()
	u := a.usageOf(target, now)
	u.slots = slots
	if u.ownInUse+u.lentSlots() < a.shareLimit(target, slots) {
		u.ownInUse++
		return &Slot{target: target, memberSince: since}, true
	}
	if b := u.availableLoan(until); b != nil && !a.hasLeft {
		b.inUse++
		b.used = now
		return &Slot{target: target, loan: b, memberSince: since}, true
	}
	return nil, false
}

// CanSend reports whether a slot may still be used for a request that ends at the given time. It is called
// immediately before each send, because the process may have been paused since Acquire.
func (a *Allocator) CanSend(s *Slot, until time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.opts.Valid() && a.opts.MemberSince() == s.memberSince && (s.loan == nil || !until.After(s.loan.expires))
}

// Release frees a slot.
func (a *Allocator) Release(s *Slot, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.loan != nil {
		s.loan.inUse--
		s.loan.used = now
		return
	}
	if u := a.usages[s.target]; u != nil {
		u.ownInUse--
	}
}

// RetainTargets drops the targets that are no longer listed, unless some of their slots are in use, lent or borrowed.
func (a *Allocator) RetainTargets(targets map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, u := range a.usages {
		if !targets[id] && u.ownInUse == 0 && len(u.lent) == 0 && len(u.borrowed) == 0 {
			delete(a.usages, id)
		}
	}
}

// Peers returns the other gates of the newest table.
func (a *Allocator) Peers() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.newest()
	if t == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(t.Gates), func(gate string) bool { return gate == a.id })
}
