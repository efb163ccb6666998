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
	// nextWait limits how long a Keeper may delay its reply to a NextRequest.
	nextWait = 2 * time.Second
	// localProbeInterval is how often a Follower of a remote Keeper retries the local one.
	localProbeInterval = 5 * time.Second
)

// NextRequest asks a Keeper for a view newer than the one that it last returned.
type NextRequest struct {
	Keeper string
	After  uint64
	Wait   time.Duration
	// Workers requests the list of workers as well, which a gate does not need.
	Workers bool
}

// NextReply is a Keeper's view. Keeper identifies the process whose changes View.Version counts.
type NextReply struct {
	Keeper string
	View   View
}

// Follower keeps the view of a gate. It follows the local Keeper, or a remote one while the local
// one is down, and keeps its last view while none can be reached.
type Follower struct {
	opts         Options
	localAddress string
	log          *zap.Logger
	state        *viewState
	gossip       *gossip
	pool         *rpc.Pool
	cancel       context.CancelFunc
	wg           sync.WaitGroup
}

// NewFollower returns a Follower of the Keeper at localAddress; Start starts it.
func NewFollower(localAddress string, opts ...Option) *Follower {
	o, pool := buildOptions(opts)
	b := newViewState(&o)
	o.Seeds = append([]string{localAddress}, o.Seeds...)
	return &Follower{
		opts: o, localAddress: localAddress, log: o.Logger, state: b, gossip: newGossip(o, b), pool: pool,
		cancel: func() {},
	}
}

// Start starts the background work.
func (f *Follower) Start(ctx context.Context) {
	ctx, f.cancel = context.WithCancel(ctx)
	f.wg.Go(func() { f.follow(ctx) })
	f.wg.Go(func() { f.gossip.run(ctx, f.pool) })
}

// Close stops the background work.
func (f *Follower) Close() {
	f.cancel()
	f.wg.Wait()
	f.pool.Close()
}

// View returns the newest view.
func (f *Follower) View() *View { return f.state.view.Load() }

// Changed returns a channel that is closed at the next change of the view.
func (f *Follower) Changed() <-chan struct{} { return f.state.changes() }

// OfferRules accepts rules from a peer if they are newer than the known ones.
func (f *Follower) OfferRules(r Rules) { f.gossip.acceptRules(&r) }

// NotifyNewerRules records that a process has newer rules, which are then fetched at once.
func (f *Follower) NotifyNewerRules(m member.Member, v int64) { f.gossip.recordVersion(m, v) }

// RulesByProcess returns the newest rules version known of each process.
func (f *Follower) RulesByProcess() []Process { return f.gossip.rulesByProcess() }

// Register registers the rpc handlers of the Follower.
func (f *Follower) Register(s *rpc.Server) { rpc.Handle(s, RulesMethod, f.ServeRules) }

// ServeRules handles rpc "view.rules".
func (f *Follower) ServeRules(_ context.Context, c *RulesRequest) (*RulesReply, error) {
	return f.gossip.serve(c), nil
}

// follow requests views from the local Keeper and, while that is down, from the others in turn.
func (f *Follower) follow(ctx context.Context) {
	b := newBackoff()
	var last NextReply
	current, lastProbe := 0, time.Now()
	for ctx.Err() == nil {
		keepers := f.keepers()
		if current >= len(keepers) {
			current = 0
			_ = b.Wait(ctx)
		}
		if current > 0 && time.Since(lastProbe) >= localProbeInterval {
			lastProbe = time.Now()
			if _, err := f.poll(ctx, f.localAddress, &NextReply{}, 0); err == nil {
				current = 0
			}
		}
		r, err := f.poll(ctx, keepers[current], &last, nextWait)
		if err != nil {
			f.opts.Metrics.Counter("view_keeperFailed_total").Inc(1)
			f.log.Warn("view: keeper not reached", zap.String("address", keepers[current]), zap.Error(err))
			current++
			continue
		}
		b.Reset()
		f.applyView(&r.View)
		last = NextReply{Keeper: r.Keeper, View: View{Version: r.View.Version}}
	}
}

func (f *Follower) poll(ctx context.Context, address string, last *NextReply, wait time.Duration) (*NextReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+PeerTimeout)
	defer cancel()
	return f.opts.CallNext(ctx, address, &NextRequest{Keeper: last.Keeper, After: last.View.Version, Wait: wait})
}

// keepers returns the addresses of the Keepers: the local one, then those of the same zone, then
// the rest.
func (f *Follower) keepers() []string {
	local, remote := []string{f.localAddress}, []string(nil)
	for _, t := range f.state.view.Load().Tables {
		if t.Role != member.RoleScheduler {
			continue
		}
		for _, m := range t.Members {
			switch {
			case m.Address == f.localAddress:
			case t.Zone == f.opts.Self.Zone:
				local = append(local, m.Address)
			default:
				remote = append(remote, m.Address)
			}
		}
	}
	for _, a := range f.opts.Seeds {
		if all := append(local, remote...); !slices.Contains(all, a) {
			remote = append(remote, a)
		}
	}
	return append(local, remote...)
}

func (f *Follower) applyView(v *View) {
	f.gossip.acceptRules(&v.Rules)
	f.state.updateTables(v.Tables...)
	f.state.setPresence(v.Present)
	f.state.updateList(VMList{Version: v.ListVersion, Workers: v.Workers, Targets: v.Targets, Entries: v.Entries})
}
