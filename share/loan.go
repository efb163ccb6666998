package share

import (
	"slices"
	"time"
)

// LoanRequest asks a gate to lend idle slots.
type LoanRequest struct {
	// Gate is the borrower.
	Gate string `json:"gate" msgpack:"g"`
	// Want is how many slots it can use, on any of Targets.
	Want    int      `json:"want" msgpack:"w"`
	Targets []Target `json:"targets" msgpack:"t"`
	// Renew lists loans of this lender that are in use and soon over.
	Renew []uint64 `json:"renew,omitempty" msgpack:"r,omitempty"`
}

// Target names a target and its slots.
type Target struct {
	ID    string `json:"id" msgpack:"i"`
	Slots int    `json:"slots" msgpack:"s"`
}

// Loan lends slots of one target. The borrower counts Life from before it sent the Ask.
type Loan struct {
	ID     uint64        `json:"id" msgpack:"i"`
	Target string        `json:"target" msgpack:"t"`
	Slots  int           `json:"slots" msgpack:"s"`
	TTL    time.Duration `json:"life" msgpack:"l"`
}

// LoanReply answers an Ask.
type LoanReply struct {
	Loans []Loan `json:"loans" msgpack:"l"`
}

// LoanReturn gives loans back before their time.
type LoanReturn struct {
	Gate string   `json:"gate" msgpack:"g"`
	IDs  []uint64 `json:"ids" msgpack:"i"`
}

// LoanReturnReply answers a Return.
type LoanReturnReply struct{}

// lent is a loan on its lender's side.
type lent struct {
	id       uint64
	borrower string
	slots    int
	expires  time.Time
}

// borrowed is a loan on its borrower's side.
type borrowed struct {
	id      uint64
	lender  string
	slots   int
	inUse   int
	expires time.Time
	used    time.Time
}

// Lend lends what this gate can spare, and keeps a reserve so that a burst here is served at once.
func (h *Allocator) Lend(ask *LoanRequest, now time.Time) LoanReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out LoanReply
	if !h.opts.Valid() || ask.Gate == h.id {
		return out
	}
	h.move(now)
	if !h.lists(ask.Gate) {
		return out
	}
	spare := h.spare(ask.Targets, now)
	out.Loans = h.renewed(ask, spare < 0, now)
	want := min(ask.Want, spare)
	for _, t := range ask.Targets {
		if want <= 0 || len(out.Loans) >= maxLoans {
			break
		}
		u := h.use(t.ID, now)
		u.slots = t.Slots
		n := min(want, h.limit(t.ID, t.Slots)-u.own-u.lentOut())
		if n <= 0 || len(u.lent) >= maxLoansOfTarget {
			continue
		}
		h.serial++
		// The lender counts longer than the borrower: from later, and with the drift of both clocks.
		u.lent = append(u.lent, lent{h.serial, ask.Gate, n, now.Add(h.opts.LoanTTL + h.opts.ClockDrift)})
		out.Loans = append(out.Loans, Loan{ID: h.serial, Target: t.ID, Slots: n, TTL: h.opts.LoanTTL})
		want -= n
	}
	return out
}

// renewed lengthens loans. A lender that is short itself lets every other one run out, so that its
// slots come back little by little instead of all at once.
func (h *Allocator) renewed(ask *LoanRequest, short bool, now time.Time) []Loan {
	if len(ask.Renew) == 0 {
		return nil
	}
	asked := make(map[uint64]bool, len(ask.Renew))
	for i, id := range ask.Renew {
		asked[id] = !short || i%2 == 0
	}
	var out []Loan
	for target, u := range h.uses {
		u.prune(now)
		for i := range u.lent {
			l := &u.lent[i]
			if asked[l.id] && l.borrower == ask.Gate && len(out) < maxLoans {
				l.expires = now.Add(h.opts.LoanTTL + h.opts.ClockDrift)
				out = append(out, Loan{ID: l.id, Target: target, Slots: l.slots, TTL: h.opts.LoanTTL})
			}
		}
	}
	return out
}

// Renewals gives the loans that are in use and have lived a quarter of their time, by lender.
func (h *Allocator) Renewals(now time.Time) map[string]*LoanRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out map[string]*LoanRequest
	for target, u := range h.uses {
		u.prune(now)
		for _, b := range u.borrowed {
			if b.expires.Sub(now) > h.opts.LoanTTL*3/4 || (b.inUse == 0 && now.Sub(b.used) >= h.opts.LoanIdleTimeout) {
				continue
			}
			if out == nil {
				out = make(map[string]*LoanRequest)
			}
			ask := out[b.lender]
			if ask == nil {
				ask = &LoanRequest{Gate: h.id}
				out[b.lender] = ask
			}
			ask.Renew = append(ask.Renew, b.id)
			ask.Targets = append(ask.Targets, Target{target, u.slots})
		}
	}
	for _, ask := range out {
		slices.Sort(ask.Renew)
	}
	return out
}

// lists reports whether the newest table lists a gate.
func (h *Allocator) lists(gate string) bool {
	newest := h.newest()
	return newest != nil && newest.has(gate)
}

func (h *Allocator) spare(targets []Target, now time.Time) int {
	total, idle := 0, 0
	for _, t := range targets {
		u := h.use(t.ID, now)
		limit := h.limit(t.ID, t.Slots)
		total += limit
		idle += max(0, limit-u.own-u.lentOut())
	}
	return idle - (total+reservePart-1)/reservePart
}

// AddBorrowed takes over the loans that answer an Ask sent at the given time.
func (h *Allocator) AddBorrowed(lender string, loans *LoanReply, asked, now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, l := range loans.Loans {
		expires := asked.Add(l.TTL)
		u := h.use(l.Target, now)
		if old := u.find(lender, l.ID); old != nil {
			if expires.After(old.expires) {
				old.expires = expires
			}
			continue
		}
		if l.Slots <= 0 || !now.Before(expires) || len(u.borrowed) >= maxLoansOfTarget {
			continue
		}
		u.borrowed = append(u.borrowed, &borrowed{
			id: l.ID, lender: lender, slots: l.Slots, expires: expires, used: now,
		})
		n += l.Slots
	}
	return n
}

func (u *use) find(lender string, id uint64) *borrowed {
	for _, b := range u.borrowed {
		if b.lender == lender && b.id == id {
			return b
		}
	}
	return nil
}

// ReturnIdle drops the loans that have not been used for a while, and gives what to return, by lender.
func (h *Allocator) ReturnIdle(now time.Time) map[string]*LoanReturn {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out map[string]*LoanReturn
	for _, u := range h.uses {
		u.prune(now)
		kept := u.borrowed[:0]
		for _, b := range u.borrowed {
			if b.inUse > 0 || now.Sub(b.used) < h.opts.LoanIdleTimeout {
				kept = append(kept, b)
				continue
			}
			if out == nil {
				out = make(map[string]*LoanReturn)
			}
			if out[b.lender] == nil {
				out[b.lender] = &LoanReturn{Gate: h.id}
			}
			out[b.lender].IDs = append(out[b.lender].IDs, b.id)
		}
		u.borrowed = kept
	}
	return out
}

// AcceptReturn takes loans back that their borrower has given up.
func (h *Allocator) AcceptReturn(r *LoanReturn, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ids := make(map[uint64]bool, len(r.IDs))
	for _, id := range r.IDs {
		ids[id] = true
	}
	for _, u := range h.uses {
		u.prune(now)
		kept := u.lent[:0]
		for _, l := range u.lent {
			if !ids[l.id] || l.borrower != r.Gate {
				kept = append(kept, l)
			}
		}
		u.lent = kept
	}
}
