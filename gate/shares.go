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
	// confirmInterval is the interval at which siblings are asked for confirmations until they have
	// confirmed the newest table.
	confirmInterval = 200 * time.Millisecond
)

// Errors returned by Ready.
var (
	errStopping  = errors.New("gate is stopping")
	errNotMember = errors.New("gate is not a member of its zone")
	errNotAgreed = errors.New("gates of the zone have not yet agreed on their shares")
)

// SetTable applies a newer gate table of this zone. The table lists the IDs set by Option ID, which
// differ after each restart of a process.
func (g *Gate) SetTable(t share.Table) {
	if len(t.Gates) > maxGates {
		g.log.Error("gate: gate table lists more gates than can share the connections of a target",
			zap.Int("gates", len(t.Gates)), zap.Int("most", maxGates))
	}
	g.shares.SetTable(t, time.Now())
	signal(g.wake)
	signal(g.tableChanged)
}

// Ready returns nil if the gate can use the targets of its zone, or else the reason why not.
func (g *Gate) Ready() error {
	switch r := g.shares.Report(time.Now()); {
	case g.inProgress.isDraining():
		return errStopping
	case !r.Valid:
		return errNotMember
	case r.Agreed == 0:
		return errNotAgreed
	}
	return nil
}

// HandleConfirmation handles a sibling's confirmation and returns the one of this gate.
func (g *Gate) HandleConfirmation(_ context.Context, c *share.Confirmation) (*share.Confirmation, error) {
	now := time.Now()
	g.shares.AddConfirmation(*c, now)
	signal(g.wake)
	own := g.shares.Confirmation(now)
	return &own, nil
}

// confirmLoop exchanges confirmations until the gates of the zone agree on a table.
func (g *Gate) confirmLoop() {
	ctx, cancel := g.contextUntilStop()
	defer cancel()
	sent := make(map[string]share.Confirmation)
	t := time.NewTicker(confirmInterval)
	defer t.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-t.C:
		case <-g.tableChanged:
		}
		g.confirm(ctx, sent)
	}
}

// confirm sends the siblings every confirmation that they have not received yet, and repeats it
// until all agree.
func (g *Gate) confirm(ctx context.Context, sent map[string]share.Confirmation) {
	siblings := g.shares.Peers()
	for gate := range sent {
		if !slices.Contains(siblings, gate) {
			delete(sent, gate)
		}
	}
	for _, gate := range siblings {
		own := g.shares.Confirmation(time.Now())
		if sent[gate] == own && g.shares.Agreed() {
			continue
		}
		in, cancel := context.WithTimeout(ctx, borrowTimeout)
		theirs, err := g.opts.Siblings.Confirm(in, gate, &own)
		cancel()
		if err != nil {
			g.log.Debug("gate: exchange of confirmations failed", zap.String("gate", gate), zap.Error(err))
			continue
		}
		sent[gate] = own
		g.shares.AddConfirmation(*theirs, time.Now())
	}
	signal(g.wake)
}

// announceLeave tells the siblings that this gate no longer uses any target. They then take over its
// share as soon as they receive a table without it.
func (g *Gate) announceLeave() {
	if g.opts.Siblings.Confirm == nil {
		return
	}
	own := g.shares.Confirmation(time.Now())
	for _, gate := range g.shares.Peers() {
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		if _, err := g.opts.Siblings.Confirm(ctx, gate, &own); err != nil {
			g.log.Debug("gate: sibling did not receive the leave notice", zap.String("gate", gate), zap.Error(err))
		}
		cancel()
	}
}

// contextUntilStop returns a context that is canceled when the gate stops.
func (g *Gate) contextUntilStop() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	g.background.Go(func() {
		select {
		case <-g.stop:
			cancel()
		case <-ctx.Done():
		}
	})
	return ctx, cancel
}

// HandleBorrow handles a sibling's request for idle slots.
func (g *Gate) HandleBorrow(_ context.Context, request *share.LoanRequest) (*share.LoanReply, error) {
	loans := g.shares.Lend(request, time.Now())
	for _, l := range loans.Loans {
		g.metrics.lent.Inc(int64(l.Slots))
	}
	return &loans, nil
}

// AcceptReturn handles the return of loans by a sibling.
func (g *Gate) AcceptReturn(_ context.Context, r *share.LoanReturn) (*share.LoanReturnReply, error) {
	g.shares.AcceptReturn(r, time.Now())
	signal(g.wake)
	return &share.LoanReturnReply{}, nil
}

// loanLoop borrows slots while checks wait, renews loans in use and returns idle ones.
func (g *Gate) loanLoop() {
	t := time.NewTicker(returnInterval)
	defer t.Stop()
	ctx, cancel := g.contextUntilStop()
	defer cancel()
	for {
		select {
		case <-g.stop:
			return
		case <-t.C:
			g.returnIdleLoans(ctx)
			g.renewLoans(ctx)
		case <-g.borrowNeeded:
			g.borrow(ctx)
			select {
			case <-g.stop:
				return
			case <-time.After(borrowInterval):
			}
			if g.serveAllWaiters() {
				signal(g.borrowNeeded)
			}
		}
	}
}

func (g *Gate) returnIdleLoans(ctx context.Context) {
	for gate, r := range g.shares.ReturnIdle(time.Now()) {
		in, cancel := context.WithTimeout(ctx, borrowTimeout)
		if err := g.opts.Siblings.Return(in, gate, r); err != nil {
			// An unreturned loan expires at the lender.
			g.log.Debug("gate: return of a loan failed", zap.String("gate", gate), zap.Error(err))
		}
		cancel()
	}
}

// renewLoans renews loans in use before they expire, so that their checks don't have to wait for
// new loans.
func (g *Gate) renewLoans(ctx context.Context) {
	for gate, request := range g.shares.Renewals(time.Now()) {
		g.requestLoan(ctx, gate, request)
	}
}

// requestLoan requests slots from one sibling and returns the number of slots lent.
func (g *Gate) requestLoan(ctx context.Context, gate string, request *share.LoanRequest) int {
	in, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	requestedAt := time.Now()
	loans, err := g.opts.Siblings.Borrow(in, gate, request)
	if err != nil {
		g.log.Debug("gate: loan request failed", zap.String("gate", gate), zap.Error(err))
		return 0
	}
	n := g.shares.AddBorrowed(gate, loans, requestedAt, time.Now())
	g.metrics.borrowed.Inc(int64(n))
	return n
}

// borrow requests slots for the waiting checks from the siblings in turn.
func (g *Gate) borrow(ctx context.Context) {
	for _, request := range g.loanRequests() {
		for _, gate := range g.shares.Peers() {
			if request.Want -= g.requestLoan(ctx, gate, request); request.Want <= 0 {
				break
			}
		}
		signal(g.wake)
	}
}

// loanRequests returns one request for each service with waiting checks.
func (g *Gate) loanRequests() []*share.LoanRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	var requests []*share.LoanRequest
	for _, p := range g.pools {
		if n := p.waitingCount(); n > 0 {
			requests = append(requests, &share.LoanRequest{Gate: g.opts.ID, Want: n, Targets: p.balancer.Targets()})
		}
	}
	return requests
}
