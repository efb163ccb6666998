package gate

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"turmericgap/share"
)

const (
	borrowTimeout  = 500 * time.Millisecond
	borrowInterval = 50 * time.Millisecond
	returnInterval = 250 * time.Millisecond
	// confirmInterval is how often a sibling is asked while it has not confirmed the newest table.
	confirmInterval = 200 * time.Millisecond
)

// Reasons why a gate is not ready.
var (
	errStopping  = errors.New("gate is stopping")
	errNoMember  = errors.New("gate is not a member of its zone")
	errNotAgreed = errors.New("gates of the zone have not yet agreed on their shares")
)

// SetTable takes over a newer gate table of this zone. Its ids are those of Option ID, which differ
// from one life of a process to the next.
func (g *Gate) SetTable(t share.Table) {
	if len(t.Gates) > maxGates {
		g.log.Error("gate: connections are not divided for so many gates", zap.Int("gates", len(t.Gates)), zap.Int("most", maxGates))
	}
	g.shares.SetTable(t, time.Now())
	signal(g.kick)
	signal(g.tables)
}

// Ready gives the reason why the gate can't use the targets of its zone yet, or nil.
func (g *Gate) Ready() error {
	switch r := g.shares.Report(time.Now()); {
	case g.work.isDraining():
		return errStopping
	case !r.Valid:
		return errNoMember
	case r.Agreed == 0:
		return errNotAgreed
	}
	return nil
}

// HandleConfirmation serves a sibling's confirmation and answers with this gate's own.
func (g *Gate) HandleConfirmation(_ context.Context, c *share.Confirmation) (*share.Confirmation, error) {
	now := time.Now()
	g.shares.AddConfirmation(*c, now)
	signal(g.kick)
	own := g.shares.Confirmation(now)
	return &own, nil
}

// keepConfirming exchanges confirmations while the gates of the zone have not agreed on a table.
func (g *Gate) keepConfirming() {
	ctx, cancel := g.untilStop()
	defer cancel()
	told := make(map[string]share.Confirmation)
	t := time.NewTicker(confirmInterval)
	defer t.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-t.C:
		case <-g.tables:
		}
		g.confirm(ctx, told)
	}
}

// confirm tells the siblings what they have not yet heard, and asks again while they lag.
func (g *Gate) confirm(ctx context.Context, told map[string]share.Confirmation) {
	peers := g.shares.Peers()
	for gate := range told {
		if !slices.Contains(peers, gate) {
			delete(told, gate)
		}
	}
	for _, gate := range peers {
		own := g.shares.Confirmation(time.Now())
		if told[gate] == own && g.shares.Agreed() {
			continue
		}
		in, cancel := context.WithTimeout(ctx, borrowTimeout)
		theirs, err := g.opts.Siblings.Confirm(in, gate, &own)
		cancel()
		if err != nil {
			g.log.Debug("gate: table not confirmed", zap.String("gate", gate), zap.Error(err))
			continue
		}
		told[gate] = own
		g.shares.AddConfirmation(*theirs, time.Now())
	}
	signal(g.kick)
}

// sayLeft tells the siblings that nothing here uses a target any more, so that they take over this
// gate's share as soon as the table lacks it.
func (g *Gate) sayLeft() {
	if g.opts.Siblings.Confirm == nil {
		return
	}
	own := g.shares.Confirmation(time.Now())
	for _, gate := range g.shares.Peers() {
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		if _, err := g.opts.Siblings.Confirm(ctx, gate, &own); err != nil {
			g.log.Debug("gate: leave not heard", zap.String("gate", gate), zap.Error(err))
		}
		cancel()
	}
}

// untilStop gives a context that ends with the gate.
func (g *Gate) untilStop() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	g.duties.Go(func() {
		select {
		case <-g.stop:
			cancel()
		case <-ctx.Done():
		}
	})
	return ctx, cancel
}

// HandleBorrow serves a sibling's request for idle slots.
func (g *Gate) HandleBorrow(_ context.Context, r *share.LoanRequest) (*share.LoanReply, error) {
	loans := g.shares.Lend(r, time.Now())
	for _, l := range loans.Loans {
		g.meters.lent.Inc(int64(l.Slots))
	}
	return &loans, nil
}

// AcceptReturn serves the return of loans by a sibling.
func (g *Gate) AcceptReturn(_ context.Context, r *share.LoanReturn) (*share.LoanReturnReply, error) {
	g.shares.AcceptReturn(r, time.Now())
	signal(g.kick)
	return &share.LoanReturnReply{}, nil
}

// keepLoans borrows while checks wait and returns what is no longer needed.
func (g *Gate) keepLoans() {
	t := time.NewTicker(returnInterval)
	defer t.Stop()
	ctx, cancel := g.untilStop()
	defer cancel()
	for {
		select {
		case <-g.stop:
			return
		case <-t.C:
			g.returnIdleLoans(ctx)
			g.renewLoans(ctx)
		case <-g.need:
			g.borrow(ctx)
			select {
			case <-g.stop:
				return
			case <-time.After(borrowInterval):
			}
			if g.turn() {
				signal(g.need)
			}
		}
	}
}

func (g *Gate) returnIdleLoans(ctx context.Context) {
	for gate, r := range g.shares.ReturnIdle(time.Now()) {
		in, cancel := context.WithTimeout(ctx, borrowTimeout)
		if err := g.opts.Siblings.Return(in, gate, r); err != nil {
			// The loan expires at the lender.
			g.log.Debug("gate: loan not returned", zap.String("gate", gate), zap.Error(err))
		}
		cancel()
	}
}

// renewLoans renews the loans in use before they expire, so that the checks they serve need not queue for new ones.
func (g *Gate) renewLoans(ctx context.Context) {
	for gate, r := range g.shares.Renewals(time.Now()) {
		g.requestLoan(ctx, gate, r)
	}
}

// requestLoan sends a loan request to one sibling and returns how many slots it lent.
func (g *Gate) requestLoan(ctx context.Context, gate string, r *share.LoanRequest) int {
	in, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	sent := time.Now()
	loans, err := g.opts.Siblings.Borrow(in, gate, r)
	if err != nil {
		g.log.Debug("gate: nothing borrowed", zap.String("gate", gate), zap.Error(err))
		return 0
	}
	n := g.shares.AddBorrowed(gate, loans, sent, time.Now())
	g.meters.borrowed.Inc(int64(n))
	return n
}

// borrow sends loan requests to one sibling after the other until the waiting checks have the slots they need.
func (g *Gate) borrow(ctx context.Context) {
	for _, r := range g.loanRequests() {
		for _, gate := range g.shares.Peers() {
			if r.Want -= g.requestLoan(ctx, gate, r); r.Want <= 0 {
				break
			}
		}
		signal(g.kick)
	}
}

// loanRequests returns one loan request for each service whose checks wait.
func (g *Gate) loanRequests() []*share.LoanRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	var requests []*share.LoanRequest
	for _, p := range g.pools {
		if n := p.len(); n > 0 {
			requests = append(requests, &share.LoanRequest{Gate: g.opts.ID, Want: n, Targets: p.balancer.Targets()})
		}
	}
	return requests
}
