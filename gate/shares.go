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
	others := g.shares.Peers()
	for gate := range told {
		if !slices.Contains(others, gate) {
			delete(told, gate)
		}
	}
	for _, gate := range others {
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
func (g *Gate) HandleBorrow(_ context.Context, ask *share.LoanRequest) (*share.LoanReply, error) {
	loans := g.shares.Lend(ask, time.Now())
	for _, l := range loans.Loans {
		g.meters.lent.Inc(int64(l.Slots))
	}
	return &loans, nil
}

// AcceptReturn serves a sibling's return of loans.
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
			g.giveBack(ctx)
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

func (g *Gate) giveBack(ctx context.Context) {
	for gate, r := range g.shares.ReturnIdle(time.Now()) {
		in, cancel := context.WithTimeout(ctx, borrowTimeout)
		if err := g.opts.Siblings.Return(in, gate, r); err != nil {
			// The loan ends by itself at its lender.
			g.log.Debug("gate: loan not returned", zap.String("gate", gate), zap.Error(err))
		}
		cancel()
	}
}

// renewLoans lengthens the loans in use before they end, so that the checks they serve need not
// queue for new ones.
func (g *Gate) renewLoans(ctx context.Context) {
	for gate, ask := range g.shares.Renewals(time.Now()) {
		g.ask(ctx, gate, ask)
	}
}

// ask asks one sibling and gives how many slots it lent.
func (g *Gate) ask(ctx context.Context, gate string, ask *share.LoanRequest) int {
	in, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	asked := time.Now()
	loans, err := g.opts.Siblings.Borrow(in, gate, ask)
	if err != nil {
		g.log.Debug("gate: nothing borrowed", zap.String("gate", gate), zap.Error(err))
		return 0
	}
	n := g.shares.AddBorrowed(gate, loans, asked, time.Now())
	g.meters.borrowed.Inc(int64(n))
	return n
}

// borrow asks each sibling in turn for what the waiting checks need.
func (g *Gate) borrow(ctx context.Context) {
	for _, ask := range g.wants() {
		for _, gate := range g.shares.Peers() {
			if ask.Want -= g.ask(ctx, gate, ask); ask.Want <= 0 {
				break
			}
		}
		signal(g.kick)
	}
}

// wants lists one request for each service whose checks wait.
func (g *Gate) wants() []*share.LoanRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	var asks []*share.LoanRequest
	for _, p := range g.pools {
		if n := p.len(); n > 0 {
			asks = append(asks, &share.LoanRequest{Gate: g.opts.ID, Want: n, Targets: p.balancer.Targets()})
		}
	}
	return asks
}
