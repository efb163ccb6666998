package owner

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"turmericgap/lease"
	"turmericgap/rpc"
	"turmericgap/store"
	"turmericgap/store/follow"
	"turmericgap/store/retry"
)

// Keys of the group.
const (
	root       = "turmericgap/cell/"
	ownerKey   = root + "owner"
	nodePrefix = root + "node/"
)

// RulesKey is the key of the operators' rules, which lies beside the group's own so that one watch tells
// of all.
const RulesKey = root + "rules"

// Defaults.
const (
	// DefaultTTL is how long a dead owner keeps the cell from being taken over; the store grants no
	// lease below one second.
	DefaultTTL = 1200 * time.Millisecond
	// DefaultRenew makes four renewals in a TTL.
	DefaultRenew = 300 * time.Millisecond
	// DefaultDrift covers a clock that runs a fiftieth slower than the store's, and the granularity
	// of timers.
	DefaultDrift = 100 * time.Millisecond
	// claimStagger separates the claims of VMs that see the owner vanish at the same time; it is
	// several times the store's usual answer, so that mostly one transaction is sent.
	claimStagger = 25 * time.Millisecond
	// claimAgain is the pause after a claim without a definite answer.
	claimAgain = 200 * time.Millisecond
	// yieldAfter is how long a much stronger VM must have been there before it gets the cell, so that
	// one that comes and goes does not disturb it.
	yieldAfter = 2 * time.Second
	// strengthShare says what much stronger means: by more than one part in so many.
	strengthShare = 2
	// callWithin bounds one call; the store's slowest answers stay below it.
	callWithin = time.Second
)

// Node is a live entry VM.
type Node struct {
	ID      string `msgpack:"i"`
	Zone    string `msgpack:"z"`
	Address string `msgpack:"a"`
	// Strength orders the VMs that may own the cell; the strongest that is alive takes it.
	Strength int `msgpack:"s"`
}

// Tenure is one time of owning the cell.
type Tenure struct {
	// Fence rises with each tenure of the cell.
	Fence int64
	// Key holds at Revision as long as the tenure lasts; commits compare it.
	Key      string
	Revision int64
	// Confirmed reports whether the store surely kept the tenure until no longer ago than grace.
	Confirmed func(grace time.Duration) bool
	// ReportLost reports that the tenure has ended, as a commit or a worker has told.
	ReportLost func()
}

// Compare gives the condition that holds while the tenure lasts.
func (t *Tenure) Compare() store.Compare {
	return store.Compare{Key: t.Key, Target: store.ModRevision, Revision: t.Revision}
}

// Group follows the nodes and the owner, and owns the cell when its turn comes.
type Group struct {
	store *store.Store
	self  Node
	log   *zap.Logger
	lead  func(ctx context.Context, t *Tenure)
	rules func(raw []byte)
	ttl   time.Duration
	renew time.Duration
	// client opens a connection of its own to another VM.
	client func(address string) *rpc.Client
	// failing tells since when the store gives this VM no answers, overloaded that its work lags.
	failing    func() (since time.Time, failing bool)
	overloaded func() bool
	// measure times a piece of work to see how fast this VM works, pacedAt says when last; searched is when
	// another VM was last looked for. Each belongs to one goroutine.
	measure  func() time.Duration
	pacedAt  time.Time
	searched time.Time

	holder *lease.Holder
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// wake is sent to when anything that a claim depends on has changed.
	wake chan struct{}

	mu      sync.Mutex
	nodes   map[string]Node
	byID    []Node // the nodes in order; nil when they have changed
	owner   *store.Pair
	ownerAs Node
	listed  bool
	leaving bool
	outdone time.Time // since when the owner here is outdone by a much stronger VM
	lost    int64     // the revision of an owner's key that was reported lost
	paces   paces
	tenure  *Tenure
	// tenureSince is when the tenure began.
	tenureSince time.Time
	endTerm     context.CancelFunc
	termDone    chan struct{}
}

// New returns a group that joins when it is started.
func New(kv *store.Store, self Node, opts ...Option) *Group {
	g := &Group{
		store: kv, self: self, log: zap.NewNop(), ttl: DefaultTTL, renew: DefaultRenew,
		lead:    func(ctx context.Context, _ *Tenure) { <-ctx.Done() },
		rules:   func([]byte) {},
		client:  func(address string) *rpc.Client { return rpc.NewClient(address) },
		failing: func() (time.Time, bool) { return time.Time{}, false }, overloaded: func() bool { return false },
		measure: timeWork(),
		nodes:   make(map[string]Node), wake: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(g)
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g
}

// Start joins the group.
func (g *Group) Start() {
	g.holder = lease.New(g.store, lease.TTL(g.ttl), lease.RenewInterval(g.renew), lease.OverlapRenewals(), lease.ClockDrift(DefaultDrift), lease.Logger(g.log),
		lease.OnLost(func(id int64) {
			g.log.Warn("owner: the store says that the lease is gone", zap.Int64("lease", id))
			g.endTenure("lease gone")
		}))
	g.wg.Go(g.follow)
	g.wg.Go(g.claim)
	g.wg.Go(g.enter)
	g.wg.Go(g.succeed)
}

// Self gives this VM's entry.
func (g *Group) Self() Node { return g.self }

// Owner gives the last known owner of the cell and its fencing token.
func (g *Group) Owner() (node Node, fence int64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.owner == nil {
		return Node{}, 0, false
	}
	return g.ownerAs, g.owner.ModRevision, true
}

// Nodes gives the live entry VMs by ID, the same list until they change; it is not to be written to.
func (g *Group) Nodes() []Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byID == nil {
		g.byID = slices.SortedFunc(maps.Values(g.nodes), func(a, b Node) int { return strings.Compare(a.ID, b.ID) })
	}
	return g.byID
}

// Resign ends the tenure in order and takes this VM out of the list, so that another one takes over at
// once; the group goes on telling who owns the cell.
func (g *Group) Resign(ctx context.Context) {
	g.mu.Lock()
	g.leaving = true
	g.mu.Unlock()
	g.endTenure("leaving")
	_, err := g.store.Txn(ctx, store.Txn{Then: []store.Op{{Delete: true, Key: nodePrefix + g.self.ID}}})
	if err != nil {
		g.log.Warn("owner: the entry lapses with its lease", zap.Error(err))
	}
}

// Leave resigns, ends the lease and stops.
func (g *Group) Leave(ctx context.Context) error {
	g.Resign(ctx)
	g.cancel()
	g.wg.Wait()
	return g.holder.Close(ctx)
}

// Kill stops at once and leaves lease and keys to lapse, as the death of the process would.
func (g *Group) Kill() {
	g.endTenure("killed")
	g.cancel()
	g.wg.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = g.holder.Close(ctx)
}

// enter keeps this VM's entry among the nodes, also after its lease was lost.
func (g *Group) enter() {
	b := retry.New()
	var entered int64
	for g.ctx.Err() == nil {
		id, err := g.holder.Wait(g.ctx)
		if err != nil {
			return
		}
		if id == entered && g.present() {
			b.Reset()
			g.pause(g.renew)
			continue
		}
		if err := g.putEntry(id); err != nil {
			g.log.Warn("owner: cannot write the entry of this VM", zap.Error(err))
			g.pause(b.Next())
			continue
		}
		entered = id
		// The entry's own event may still be under way; what is missing after this was taken away.
		g.pause(g.renew)
	}
}

// present reports whether the entry is there as far as the watch has told. Keys may be taken away
// without any answer that shows it; the VM would then get no work from the others.
func (g *Group) present() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.nodes[g.self.ID]
	return ok || !g.listed || g.leaving
}

func (g *Group) putEntry(leaseID int64) error {
	raw, err := msgpack.Marshal(&g.self)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(g.ctx, callWithin)
	defer cancel()
	_, err = g.store.Txn(ctx, store.Txn{Then: []store.Op{{Key: nodePrefix + g.self.ID, Value: raw, Lease: leaseID}}})
	return err
}

func (g *Group) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-g.ctx.Done():
	case <-t.C:
	}
}

// follow keeps nodes and owner as the store tells them.
func (g *Group) follow() {
	f := follow.Follower{Store: g.store, Prefix: root, OnReset: g.reset, OnChange: g.apply, Logger: g.log}
	f.Run(g.ctx)
}

func (g *Group) reset(pairs []store.Pair, revision int64) {
	events := make([]store.Event, 0, len(pairs))
	for _, p := range pairs {
		events = append(events, store.Event{Pair: p})
	}
	g.mu.Lock()
	clear(g.nodes)
	g.byID = nil
	g.owner, g.ownerAs, g.listed = nil, Node{}, true
	g.mu.Unlock()
	g.apply(events, revision)
}

// apply takes over changes up to a revision of the store, and ends a tenure whose key has gone or
// belongs to another. What the store told before the tenure's own key was written says nothing of it.
func (g *Group) apply(events []store.Event, revision int64) {
	g.mu.Lock()
	for i := range events {
		g.applyOne(&events[i])
	}
	ended := g.tenure != nil && revision >= g.tenure.Revision &&
		(g.owner == nil || g.owner.ModRevision != g.tenure.Revision)
	g.mu.Unlock()
	if ended {
		g.endTenure("the owner's key has changed")
	}
	g.poke()
}

func (g *Group) applyOne(e *store.Event) {
	key := e.Pair.Key
	switch {
	case key == ownerKey && e.Deleted:
		g.owner, g.ownerAs = nil, Node{}
	case key == ownerKey:
		g.owner = &e.Pair
		g.ownerAs = g.decode(e.Pair)
		g.log.Info("owner: the cell is owned", zap.String("by", g.ownerAs.ID), zap.Int64("fence", e.Pair.ModRevision))
	case key == RulesKey && !e.Deleted:
		g.rules(e.Pair.Value)
	case strings.HasPrefix(key, nodePrefix) && e.Deleted:
		delete(g.nodes, strings.TrimPrefix(key, nodePrefix))
		g.byID = nil
	case strings.HasPrefix(key, nodePrefix):
		n := g.decode(e.Pair)
		g.nodes[n.ID] = n
		g.byID = nil
	}
}

func (g *Group) decode(p store.Pair) Node {
	var n Node
	if err := msgpack.Unmarshal(p.Value, &n); err != nil {
		g.log.Error("owner: entry cannot be read", zap.String("key", p.Key), zap.Error(err))
	}
	return n
}

func (g *Group) poke() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
