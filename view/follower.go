package view

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"turmericgap/member"
	"turmericgap/rpc"
)

const (
	// followWait is how long a Keeper may hold a call that waits for its next view.
	followWait = 2 * time.Second
	// probeEvery is how often a Follower of a far Keeper tries the one beside it.
	probeEvery = 5 * time.Second
)

// NextRequest asks a Keeper for the view after the one that the caller last had from it.
type NextRequest struct {
	Keeper string
	After  uint64
	Wait   time.Duration
	// Workers asks for the workers too, which a gate does not need.
	Workers bool
}

// NextReply is a Keeper's view under its own count; Keeper names that count.
type NextReply struct {
	Keeper string
	View   View
}

// Follower is the gate's side: it follows the Keeper beside it, another one when that is dead, and
// goes on with its last view when all are.
type Follower struct {
	opts   Options
	beside string
	log    *zap.Logger
	board  *board
	spread *spread
	pool   *rpc.Pool
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewFollower returns a Follower of the Keeper at the address beside, not yet started.
func NewFollower(beside string, opts ...Option) *Follower {
	o, pool := build(opts)
	b := newBoard(&o)
	o.Seeds = append([]string{beside}, o.Seeds...)
	return &Follower{
		opts: o, beside: beside, log: o.Logger, board: b, spread: newSpread(o, b), pool: pool,
		cancel: func() {},
	}
}

// Start begins to follow.
func (f *Follower) Start(ctx context.Context) {
	ctx, f.cancel = context.WithCancel(ctx)
	f.wg.Go(func() { f.follow(ctx) })
	f.wg.Go(func() { f.spread.run(ctx, f.pool) })
}

// Close ends all duties.
func (f *Follower) Close() {
	f.cancel()
	f.wg.Wait()
	f.pool.Close()
}

// View gives the newest view.
func (f *Follower) View() *View { return f.board.view.Load() }

// Changed gives a channel that closes at the next change of the view.
func (f *Follower) Changed() <-chan struct{} { return f.board.wait() }

// OfferRules takes rules from a peer if they are newer than those known.
func (f *Follower) OfferRules(r Rules) { f.spread.take(&r) }

// NotifyNewerRules is told that a process has newer rules, so that they are fetched at once.
func (f *Follower) NotifyNewerRules(from member.Member, version int64) { f.spread.heard(from, version) }

// RulesByProcess gives, process by process, the newest rules that it is known to have.
func (f *Follower) RulesByProcess() []Process { return f.spread.inForce() }

// Register serves the Follower's calls.
func (f *Follower) Register(s *rpc.Server) { rpc.Handle(s, RulesMethod, f.ServeRules) }

// ServeRules serves rpc "view.rules".
func (f *Follower) ServeRules(_ context.Context, c *RulesRequest) (*RulesReply, error) {
	return f.spread.serve(c), nil
}

// follow asks the Keeper beside this process and, while that is dead, the others in turn.
func (f *Follower) follow(ctx context.Context) {
	b := newBackoff()
	var last NextReply
	at, probed := 0, time.Now()
	for ctx.Err() == nil {
		keepers := f.keepers()
		if at >= len(keepers) {
			at = 0
			_ = b.Wait(ctx)
		}
		if at > 0 && time.Since(probed) >= probeEvery {
			probed = time.Now()
			if _, err := f.ask(ctx, f.beside, &NextReply{}, 0); err == nil {
				at = 0
			}
		}
		r, err := f.ask(ctx, keepers[at], &last, followWait)
		if err != nil {
			f.opts.Metrics.Counter("view_keeperFailed_total").Inc(1)
			f.log.Warn("view: keeper not reached", zap.String("address", keepers[at]), zap.Error(err))
			at++
			continue
		}
		b.Reset()
		f.take(&r.View)
		last = NextReply{Keeper: r.Keeper, View: View{Version: r.View.Version}}
	}
}

func (f *Follower) ask(ctx context.Context, address string, last *NextReply, wait time.Duration) (*NextReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+PeerTimeout)
	defer cancel()
	return f.opts.CallNext(ctx, address, &NextRequest{Keeper: last.Keeper, After: last.View.Version, Wait: wait})
}

// keepers gives the addresses of the Keepers, the one beside first, then those of the own zone.
func (f *Follower) keepers() []string {
	near, far := []string{f.beside}, []string(nil)
	for _, t := range f.board.view.Load().Tables {
		if t.Role != member.RoleScheduler {
			continue
		}
		for _, m := range t.Members {
			switch {
			case m.Address == f.beside:
			case t.Zone == f.opts.Self.Zone:
				near = append(near, m.Address)
			default:
				far = append(far, m.Address)
			}
		}
	}
	for _, a := range f.opts.Seeds {
		if all := append(near, far...); !slices.Contains(all, a) {
			far = append(far, a)
		}
	}
	return append(near, far...)
}

func (f *Follower) take(v *View) {
	f.spread.take(&v.Rules)
	f.board.offerTables(v.Tables...)
	f.board.offerPresent(v.Present)
	f.board.offerList(VMList{Version: v.ListVersion, Workers: v.Workers, Targets: v.Targets, Entries: v.Entries})
}
