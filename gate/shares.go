package gate

import (
	"context"
	"time"

	"go.uber.org/zap"

	"turmericgap/share"
)

const (
	borrowTimeout  = 500 * time.Millisecond
	borrowInterval = 50 * time.Millisecond
	returnInterval = 250 * time.Millisecond
)

// SetTable takes over a newer gate table of this zone.
func (g *Gate) SetTable(t share.Table) {
	g.shares.SetTable(t, time.Now())
	signal(g.kick)
}

// Confirmed notes the table version that a sibling has told in its heartbeat.
func (g *Gate) Confirmed(gate string, version int64) {
	g.shares.Confirmed(gate, version, time.Now())
	signal(g.kick)
}

// Confirms gives the table version to tell the siblings in heartbeats.
func (g *Gate) Confirms() int64 { return g.shares.Confirms(time.Now()) }

// Lend serves a sibling's request for idle slots.
func (g *Gate) Lend(_ context.Context, ask *share.Ask) (*share.Loans, error) {
	loans := g.shares.Lend(ask, time.Now())
	for _, l := range loans.Loans {
		g.meters.lent.Inc(int64(l.Slots))
	}
	return &loans, nil
}

// TakeBack serves a sibling's return of loans.
func (g *Gate) TakeBack(_ context.Context, r *share.Return) (*share.Returned, error) {
	g.shares.TakeBack(r, time.Now())
	signal(g.kick)
	return &share.Returned{}, nil
}

// keepLoans borrows while checks wait and returns what is no longer needed.
func (g *Gate) keepLoans() {
	if g.opts.Borrow == nil {
		return
	}
	t := time.NewTicker(returnInterval)
	defer t.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.duties.Go(func() { <-g.stop; cancel() })
	for {
		select {
		case <-g.stop:
			return
		case <-t.C:
			g.giveBack(ctx)
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
	for gate, r := range g.shares.Idle(time.Now()) {
		in, cancel := context.WithTimeout(ctx, borrowTimeout)
		if err := g.opts.Return(in, gate, r); err != nil {
			// The loan ends by itself at its lender.
			g.log.Debug("gate: loan not returned", zap.String("gate", gate), zap.Error(err))
		}
		cancel()
	}
}

// borrow asks each sibling in turn for what the waiting checks need.
func (g *Gate) borrow(ctx context.Context) {
	for _, ask := range g.wants() {
		for _, gate := range g.shares.Others() {
			in, cancel := context.WithTimeout(ctx, borrowTimeout)
			asked := time.Now()
			loans, err := g.opts.Borrow(in, gate, ask)
			cancel()
			if err != nil {
				g.log.Debug("gate: nothing borrowed", zap.String("gate", gate), zap.Error(err))
				continue
			}
			n := g.shares.Borrowed(gate, loans, asked, time.Now())
			g.meters.borrowed.Inc(int64(n))
			if ask.Want -= n; ask.Want <= 0 {
				break
			}
		}
		signal(g.kick)
	}
}

// wants lists one request for each service whose checks wait.
func (g *Gate) wants() []*share.Ask {
	g.mu.Lock()
	defer g.mu.Unlock()
	var asks []*share.Ask
	for _, p := range g.pools {
		if n := p.len(); n > 0 {
			asks = append(asks, &share.Ask{Gate: g.opts.ID, Want: n, Targets: p.balancer.Targets()})
		}
	}
	return asks
}
