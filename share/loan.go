package share

import (
	"slices"
	"time"
)

// LoanRequest asks a gate to lend idle slots.
type LoanRequest struct {
	// Gate is the borrower.
	Gate string `json:"gate" msgpack:"g"`
	// Want is the number of slots that the borrower can use, on any of Targets.
	Want    int      `json:"want" msgpack:"w"`
	Targets []Target `json:"targets" msgpack:"t"`
	// Renew lists loans of this lender that are in use and about to expire.
	Renew []uint64 `json:"renew,omitempty" msgpack:"r,omitempty"`
}

// Target identifies a target and its number of slots.
type Target struct {
	ID    string `json:"id" msgpack:"i"`
	Slots int    `json:"slots" msgpack:"s"`
}

// Loan lends slots of one target. The borrower counts TTL from before it sent the request.
type Loan struct {
	ID     uint64        `json:"id" msgpack:"i"`
	Target string        `json:"target" msgpack:"t"`
	Slots  int           `json:"slots" msgpack:"s"`
	TTL    time.Duration `json:"life" msgpack:"l"`
}

// LoanReply answers a LoanRequest.
type LoanReply struct {
	Loans []Loan `json:"loans" msgpack:"l"`
}

// LoanReturn returns loans before they expire.
type LoanReturn struct {
	Gate string   `json:"gate" msgpack:"g"`
	IDs  []uint64 `json:"ids" msgpack:"i"`
}

// LoanReturnReply answers a LoanReturn.
type LoanReturnReply struct{}

// outgoingLoan is the lender's record of a loan.
type outgoingLoan struct {
	id       uint64
	borrower string
	slots    int
	expires  time.Time
}

// incomingLoan is the borrower's record of a loan.
type incomingLoan struct {
	id      uint64
	lender  string
	slots   int
	inUse   int
	expires time.Time
	used    time.Time
}

// Lend lends the slots that this gate can spare. It keeps a reserve so that a local burst is served at once.
func (a *Allocator) Lend(req *LoanRequest, now time.Time) LoanReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out LoanReply
	if !a.opts.Valid() || req.Gate == a.id {
		return out
	}
	a.advance(now)
	if !a.listsGate(req.Gate) {
		return out
	}
	spare := a.spareSlots(req.Targets, now)
	out.Loans = a.renewLoans(req, spare < 0, now)
	remaining := min(req.Want, spare)
	for _, t := range req.Targets {
		if remaining <= 0 || len(out.Loans) >= maxLoansPerReply {
			break
		}
		u := a.usageOf(t.ID, now)
		u.slots = t.Slots
		n := min(remaining, a.shareLimit(t.ID, t.Slots)-u.ownInUse-u.lentSlots())
		if n <= 0 || len(u.lent) >= maxLoansPerTarget {
			continue
		}
		a.lastLoanID++
		// The lender's copy expires later than the borrower's: it starts later, and ClockDrift covers the drift of
		// both clocks.
		u.lent = append(u.lent, outgoingLoan{a.lastLoanID, req.Gate, n, now.Add(a.opts.LoanTTL + a.opts.ClockDrift)})
		out.Loans = append(out.Loans, Loan{ID: a.lastLoanID, Target: t.ID, Slots: n, TTL: a.opts.LoanTTL})
		remaining -= n
	}
	return out
}

// renewLoans extends loans. A lender that is itself short of slots renews only every second loan, so that its slots
// return gradually instead of all at once.
func (a *Allocator) renewLoans(req *LoanRequest, short bool, now time.Time) []Loan {
	if len(req.Renew) == 0 {
		return nil
	}
	renewable := make(map[uint64]bool, len(req.Renew))
	for i, id := range req.Renew {
		renewable[id] = !short || i%2 == 0
	}
	var out []Loan
	for target, u := range a.usages {
		u.prune(now)
		for i := range u.lent {
			l := &u.lent[i]
			if renewable[l.id] && l.borrower == req.Gate && len(out) < maxLoansPerReply {
				l.expires = now.Add(a.opts.LoanTTL + a.opts.ClockDrift)
				out = append(out, Loan{ID: l.id, Target: target, Slots: l.slots, TTL: a.opts.LoanTTL})
			}
		}
	}
	return out
}

// Renewals returns requests, by lender, to renew the loans that are or were recently in use and have used up a quarter
// of their TTL.
func (a *Allocator) Renewals(now time.Time) map[string]*LoanRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out map[string]*LoanRequest
	for target, u := range a.usages {
		u.prune(now)
		for _, b := range u.borrowed {
			if b.expires.Sub(now) > a.opts.LoanTTL*3/4 || (b.inUse == 0 && now.Sub(b.used) >= a.opts.LoanIdleTimeout) {
				continue
			}
			if out == nil {
				out = make(map[string]*LoanRequest)
			}
			req := out[b.lender]
			if req == nil {
				req = &LoanRequest{Gate: a.id}
				out[b.lender] = req
			}
			req.Renew = append(req.Renew, b.id)
			req.Targets = append(req.Targets, Target{target, u.slots})
		}
	}
	for _, req := range out {
		slices.Sort(req.Renew)
	}
	return out
}

// listsGate reports whether the newest table lists a gate.
func (a *Allocator) listsGate(gate string) bool {
	newest := a.newest()
	return newest != nil && newest.lists(gate)
}

// spareSlots returns the idle slots of the gate's own share of the targets beyond the reserve; negative if the reserve
// is not met.
func (a *Allocator) spareSlots(targets []Target, now time.Time) int {
	total, idle := 0, 0
	for _, t := range targets {
		u := a.usageOf(t.ID, now)
		limit := a.shareLimit(t.ID, t.Slots)
		total += limit
		idle += max(0, limit-u.ownInUse-u.lentSlots())
	}
	return idle - (total+reserveDivisor-1)/reserveDivisor
}

// AddBorrowed records the loans of a reply to a request sent at sentAt, and returns the number of new slots.
func (a *Allocator) AddBorrowed(lender string, loans *LoanReply, sentAt, now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, l := range loans.Loans {
		expires := sentAt.Add(l.TTL)
		u := a.usageOf(l.Target, now)
		if old := u.findLoan(lender, l.ID); old != nil {
			if expires.After(old.expires) {
				old.expires = expires
			}
			continue
		}
		if l.Slots <= 0 || !now.Before(expires) || len(u.borrowed) >= maxLoansPerTarget {
			continue
		}
		u.borrowed = append(u.borrowed, &incomingLoan{
			id: l.ID, lender: lender, slots: l.Slots, expires: expires, used: now,
		})
		n += l.Slots
	}
	return n
}

func (u *targetUsage) findLoan(lender string, id uint64) *incomingLoan {
	for _, b := range u.borrowed {
		if b.lender == lender && b.id == id {
			return b
		}
	}
	return nil
}

// ReturnIdle drops loans that were not used for LoanIdleTimeout, and returns the messages that return them, by
// lender.
func (a *Allocator) ReturnIdle(now time.Time) map[string]*LoanReturn {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out map[string]*LoanReturn
	for _, u := range a.usages {
		u.prune(now)
		kept := u.borrowed[:0]
		for _, b := range u.borrowed {
			if b.inUse > 0 || now.Sub(b.used) < a.opts.LoanIdleTimeout {
				kept = append(kept, b)
				continue
			}
			if out == nil {
				out = make(map[string]*LoanReturn)
			}
			if out[b.lender] == nil {
				out[b.lender] = &LoanReturn{Gate: a.id}
			}
			out[b.lender].IDs = append(out[b.lender].IDs, b.id)
		}
		u.borrowed = kept
	}
	return out
}

// AcceptReturn releases loans that their borrower has returned.
func (a *Allocator) AcceptReturn(r *LoanReturn, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ids := make(map[uint64]bool, len(r.IDs))
	for _, id := range r.IDs {
		ids[id] = true
	}
	for _, u := range a.usages {
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
