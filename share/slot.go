package share

import (
	"slices"
	"time"
)

// FreeSlots gives how many more slots of a target this gate may occupy until the given time.
func (h *Allocator) FreeSlots(target string, slots int, until, now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.opts.Valid() {
		return 0
	}
	h.move(now)
	u := h.use(target, now)
	n := max(0, h.limit(target, slots)-u.own-u.lentOut())
	for _, b := range u.borrowed {
		if !until.After(b.expires) {
			n += b.slots - b.inUse
		}
	}
	return n
}

// Acquire occupies a slot of a target for a request that has surely ended at the given time.
func (h *Allocator) Acquire(target string, slots int, until, now time.Time) (*Slot, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.opts.Valid() {
		return nil, false
	}
	h.move(now)
	since := h.opts.MemberSince()
	u := h.use(target, now)
	u.slots = slots
	if u.own+u.lentOut() < h.limit(target, slots) {
		u.own++
		return &Slot{target: target, since: since}, true
	}
	if b := u.loan(until); b != nil && !h.gone {
		b.inUse++
		b.used = now
		return &Slot{target: target, loan: b, since: since}, true
	}
	return nil, false
}

// CanSend reports whether a slot may still be used for a request that ends at the given time; it is
// asked directly before each send, because the process may have been paused since Take.
func (h *Allocator) CanSend(s *Slot, until time.Time) bool {
	return h.opts.Valid() && h.opts.MemberSince() == s.since && (s.loan == nil || !until.After(s.loan.expires))
}

// Release gives a slot back.
func (h *Allocator) Release(s *Slot, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.loan != nil {
		s.loan.inUse--
		s.loan.used = now
		return
	}
	if u := h.uses[s.target]; u != nil {
		u.own--
	}
}

// RetainTargets forgets the targets that are gone and of which nothing is taken.
func (h *Allocator) RetainTargets(targets map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, u := range h.uses {
		if !targets[id] && u.own == 0 && len(u.lent) == 0 && len(u.borrowed) == 0 {
			delete(h.uses, id)
		}
	}
}

// Peers lists the other gates of the newest table.
func (h *Allocator) Peers() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.newest()
	if t == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(t.Gates), func(gate string) bool { return gate == h.id })
}
