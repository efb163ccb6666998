package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"turmericgap/lease"
	"turmericgap/rpc"
	"turmericgap/store"
	"turmericgap/store/follow"
	"turmericgap/store/retry"
)

// CellPrefix is the prefix of the keys that each VM has to know: the owner, the directory of VMs and the rules.
const CellPrefix = "turmericgap/cell/"

const (
	ownerKey     = CellPrefix + "owner"
	directoryKey = CellPrefix + "directory"
)

// NodePrefix is the prefix of the entries of the VMs. They are separate from the keys that each VM has to know, since most VMs
// of a large cell do not follow them.
const NodePrefix = "turmericgap/node/"

// RulesKey is the key of the operators' rules. It is next to the group's own keys, so that one watch covers all of
// them.
const RulesKey = CellPrefix + "rules"

// Defaults.
const (
	// DefaultTTL is how long a dead owner blocks a takeover. The store grants no lease below one second.
	DefaultTTL = 1200 * time.Millisecond
	// DefaultRenewInterval is a quarter of DefaultTTL.
	DefaultRenewInterval = 300 * time.Millisecond
	// DefaultClockDrift allows for a clock that runs 2% slower than the store's, and for timer granularity.
	DefaultClockDrift = 100 * time.Millisecond
	// claimStagger separates the claims of VMs that see the owner vanish at the same time. It is several times the
	// store's usual response time, so that usually only one transaction is sent.
	claimStagger = 25 * time.Millisecond
	// claimInterval is the period of the claim loop, and so the pause after a claim without a definite result.
	claimInterval = 200 * time.Millisecond
	// yieldAfter is how long a much stronger VM must have been alive before it gets the cell, so that a VM that
	// joins and leaves repeatedly does not disturb the cell.
	yieldAfter = 2 * time.Second
	// strengthMarginDivisor defines much stronger: by more than 1/strengthMarginDivisor.
	strengthMarginDivisor = 2
	// callTimeout bounds one call. It is longer than the store's slowest responses.
	callTimeout = time.Second
)

// Node is a live entry VM.
type Node struct {
	ID      string `msgpack:"i"`
	Zone    string `msgpack:"z"`
	Address string `msgpack:"a"`
	// Strength ranks the VMs that may own the cell. The strongest live VM claims it first.
	Strength int `msgpack:"s"`
}

// Tenure is one period of ownership of the cell.
type Tenure struct {
	// Fence is the fencing token. It increases with each tenure of the cell.
	Fence int64
	// Key has Revision as its last change while the tenure lasts; commits compare it.
	Key      string
	Revision int64
	// Confirmed reports whether the store is known to have kept the tenure until at most grace ago.
	Confirmed func(grace time.Duration) bool
	// ReportLost reports that the tenure has ended, as learned from a commit or a worker.
	ReportLost func()
	kept       keyEvidence
}

// Compare returns the transaction condition that holds while the tenure lasts.
func (t *Tenure) Compare() store.Compare {
	return store.Compare{Key: t.Key, Target: store.ModRevision, Revision: t.Revision}
}

// Group tracks the nodes and the owner. It claims the cell if the cell has no owner and no stronger VM has claimed it,
// or if the owner is silent.
type Group struct {
	store         *store.Store
	self          Node
	log           *zap.Logger
	runTenure     func(ctx context.Context, t *Tenure)
	onRules       func(raw []byte)
	ttl           time.Duration
	renewInterval time.Duration
	// client opens a separate connection to another VM.
	client func(address string) *rpc.Client
	// storeFailing reports since when the store does not answer this VM, overloaded that this VM's work lags.
	storeFailing func() (since time.Time, failing bool)
	overloaded   func() bool
	// cpuProbe measures the speed of this VM, probedAt is when it last ran, and searchedAt is when this owner last
	// looked for a better VM. Each field belongs to one goroutine.
	cpuProbe   func() time.Duration
	probedAt   time.Time
	searchedAt time.Time

	lease  *lease.Holder
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// wake signals that something a claim depends on has changed.
	wake chan struct{}

	// membersChanged signals that this VM may have to follow more or fewer of the other VMs.
	membersChanged chan struct{}
	cutOff         atomic.Bool

	mu            sync.Mutex
	members       members
	registeredAt  time.Time // when the entry of this VM was last written
	entryMissing  bool      // a candidate has reported that the entry is not in the store
	ownerPair     *store.Pair
	ownerNode     Node
	synced        bool
	leaving       bool
	strongerSince time.Time // since when a much stronger VM is alive, while this VM is the owner
	lostRevision  int64     // the latest revision of the owner key whose tenure here has ended
	probeTimes    probeTimes
	tenure        *Tenure
	// tenureSince is when the tenure began.
	tenureSince  time.Time
	cancelTenure context.CancelFunc
	tenureDone   chan struct{}
}

// New returns a group. It joins the cell when Start is called.
func New(kv *store.Store, self Node, opts ...Option) *Group {
	g := &Group{
		store: kv, self: self, log: zap.NewNop(), ttl: DefaultTTL, renewInterval: DefaultRenewInterval,
		runTenure:    func(ctx context.Context, _ *Tenure) { <-ctx.Done() },
		onRules:      func([]byte) {},
		client:       func(address string) *rpc.Client { return rpc.NewClient(address) },
		storeFailing: func() (time.Time, bool) { return time.Time{}, false }, overloaded: func() bool { return false },
		cpuProbe: newCPUProbe(),
		wake:     make(chan struct{}, 1), membersChanged: make(chan struct{}, 1),
	}
	g.members.self = self
	for _, o := range opts {
		o(g)
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g
}

// Start joins the cell and starts the background goroutines.
func (g *Group) Start() {
	g.lease = lease.New(g.store, lease.TTL(g.ttl), lease.RenewInterval(g.renewInterval), lease.OverlapRenewals(), lease.ClockDrift(DefaultClockDrift), lease.Logger(g.log),
		lease.OnLost(func(id int64) {
			g.log.Warn("owner: the lease no longer exists at the store", zap.Int64("lease", id))
			g.endTenure("lease gone")
		}))
	g.wg.Go(g.watch)
	g.wg.Go(g.membersLoop)
	g.wg.Go(g.directoryLoop)
	g.wg.Go(g.cutOffLoop)
	g.wg.Go(g.claimLoop)
	g.wg.Go(g.registerLoop)
	g.wg.Go(g.takeoverLoop)
	g.wg.Go(g.confirmLoop)
}

// Self returns this VM's node.
func (g *Group) Self() Node { return g.self }

// Owner returns the last known owner of the cell and its fencing token.
func (g *Group) Owner() (node Node, fence int64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ownerPair == nil {
		return Node{}, 0, false
	}
	return g.ownerNode, g.ownerPair.ModRevision, true
}

// Resign ends the tenure gracefully and removes the entry of this VM, so that another VM takes over at once. The
// group continues to track the owner of the cell.
func (g *Group) Resign(ctx context.Context) {
	g.mu.Lock()
	g.leaving = true
	g.mu.Unlock()
	g.endTenure("leaving")
	_, err := g.store.Txn(ctx, store.Txn{Then: []store.Op{{Delete: true, Key: NodePrefix + g.self.ID}}})
	if err != nil {
		g.log.Warn("owner: entry of this VM not removed; it expires with its lease", zap.Error(err))
	}
}

// Leave resigns, ends the lease and stops the group.
func (g *Group) Leave(ctx context.Context) error {
	g.Resign(ctx)
	g.cancel()
	g.wg.Wait()
	return g.lease.Close(ctx)
}

// Kill stops at once and lets the lease and the keys expire, like a crash of the process.
func (g *Group) Kill() {
	g.endTenure("killed")
	g.cancel()
	g.wg.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = g.lease.Close(ctx)
}

// registerLoop keeps this VM's node entry in the store, also after the lease was lost.
func (g *Group) registerLoop() {
	b := retry.New()
	var registeredLease int64
	for g.ctx.Err() == nil {
		id, err := g.lease.Wait(g.ctx)
		if err != nil {
			return
		}
		if id == registeredLease && g.registered() {
			b.Reset()
			g.pause(g.renewInterval)
			continue
		}
		if err := g.writeEntry(id); err != nil {
			g.log.Warn("owner: cannot write the entry of this VM", zap.Error(err))
			g.pause(b.Next())
			continue
		}
		registeredLease = id
		g.mu.Lock()
		g.registeredAt = time.Now()
		g.mu.Unlock()
		// The watch may not have delivered the entry's event yet. If the entry is missing after this pause, it was
		// removed.
		g.pause(g.renewInterval)
	}
}

func (g *Group) writeEntry(leaseID int64) error {
	raw, err := msgpack.Marshal(&g.self)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(g.ctx, callTimeout)
	defer cancel()
	_, err = g.store.Txn(ctx, store.Txn{Then: []store.Op{{Key: NodePrefix + g.self.ID, Value: raw, Lease: leaseID}}})
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

// watch keeps the owner, the rules and the directory of VMs in sync with the store.
func (g *Group) watch() {
	f := follow.Follower{Store: g.store, Prefix: CellPrefix, OnReset: g.reset, OnChange: g.applyEvents, Logger: g.log}
	f.Run(g.ctx)
}

func (g *Group) reset(pairs []store.Pair, revision int64) {
	events := make([]store.Event, 0, len(pairs))
	for _, p := range pairs {
		events = append(events, store.Event{Pair: p})
	}
	g.apply(events, revision, true)
}

func (g *Group) applyEvents(events []store.Event, revision int64) { g.apply(events, revision, false) }

// apply applies changes up to a revision of the store, to what is known or to nothing, and ends the tenure if its key is
// gone or belongs to another VM. Events from before the tenure's key was written do not affect the tenure.
func (g *Group) apply(events []store.Event, revision int64, reset bool) {
	g.mu.Lock()
	if reset {
		g.ownerPair, g.ownerNode, g.synced = nil, Node{}, true
		g.members.setDirectory(nil)
	}
	for i := range events {
		g.applyEvent(&events[i])
	}
	ended := g.tenure != nil && revision >= g.tenure.Revision &&
		(g.ownerPair == nil || g.ownerPair.ModRevision != g.tenure.Revision)
	g.mu.Unlock()
	if ended {
		g.endTenure("the owner's key has changed")
	}
	g.wakeClaim()
	g.signalMembers()
}

func (g *Group) applyEvent(e *store.Event) {
	key := e.Pair.Key
	switch {
	case key == ownerKey && e.Deleted:
		g.ownerPair, g.ownerNode = nil, Node{}
	case key == ownerKey:
		g.ownerPair = &e.Pair
		g.ownerNode = g.decode(e.Pair)
		g.log.Info("owner: the cell is owned", zap.String("by", g.ownerNode.ID), zap.Int64("fence", e.Pair.ModRevision))
	case key == RulesKey && !e.Deleted:
		g.onRules(e.Pair.Value)
	case key == directoryKey && e.Deleted:
		g.members.setDirectory(nil)
	case key == directoryKey:
		g.members.setDirectory(g.decodeDirectory(e.Pair))
	}
}

func (g *Group) decode(p store.Pair) Node {
	var n Node
	if err := msgpack.Unmarshal(p.Value, &n); err != nil {
		g.log.Error("owner: entry cannot be read", zap.String("key", p.Key), zap.Error(err))
	}
	return n
}

func (g *Group) wakeClaim() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
