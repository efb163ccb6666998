package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"turmericgap/lease"
	"turmericgap/metric"
	"turmericgap/rpc"
	"turmericgap/store"
)

// Defaults.
const (
	DefaultTTL               = 6 * time.Second
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultPromiseDuration   = 3 * time.Second
	DefaultPollInterval      = 30 * time.Second
	DefaultListLag           = 10 * time.Second
	// StoreCallTimeout bounds one call of the store, which may be slow.
	StoreCallTimeout = 5 * time.Second

	driftShare   = 20
	suspectBeats = 4
	// stagger keeps members that see the same key vanish from writing at once.
	stagger = 200 * time.Millisecond
	// HeartbeatMethod is the rpc name under which Group.Beat is served.
	HeartbeatMethod = "member.beat"
)

// Group is this process's part in the table of its zone and role.
type Group struct {
	opts   Options
	store  *store.Store
	lease  *lease.Holder
	self   Member
	log    *zap.Logger
	pool   *rpc.Pool
	meters meters

	mu    sync.Mutex
	table Table
	// joined is a version of the table at or after the one that first held this incarnation;
	// zero while it is not in the table.
	joined int64
	// keyLease is the lease that the member's own key is bound to; zero when it may be absent.
	keyLease int64
	// asked is when the last round of asking for promises began, plus their length.
	asked time.Time
	// dropped says that the VM list lacked this VM since the lease was last held.
	dropped bool
	peers   map[string]*peer
	leaving bool
	stopped bool

	// since is when this process joined.
	since time.Time
	wake  chan struct{}
	tell  chan struct{}
	// writing is held by the one duty that changes the table.
	writing chan struct{}
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// peer is what this process knows of another member of the table.
type peer struct {
	member Member
	heard  time.Time
	rules  int64
	// confirmed is the newest table version that the peer is known to have.
	confirmed int64
	// established is since when it is known to have a table that holds this process.
	established time.Time
	// promised is when the peer's promise to this process ends, on this process's count.
	promised time.Time
	// given is when this process's promise to the peer ends.
	given time.Time
	// removing is the table version that an unresolved removal of the peer compares.
	removing int64
	// absent is when the peer's key was first seen to be absent.
	absent time.Time
	// unlisted is since when the VM list was seen not to show its VM.
	unlisted time.Time
	// ended says that another process has answered at its address.
	ended bool
	// suspect says that it was not heard for several heartbeats.
	suspect bool
	calling bool
}

// New returns a Group that is not yet started. The process must already listen on self.Address:
// holding the address proves that an earlier process that listened there has ended.
func New(s *store.Store, self Member, opts ...Option) *Group {
	o := Options{
		TTL: DefaultTTL, ClockDrift: DefaultTTL / driftShare, HeartbeatInterval: DefaultHeartbeatInterval, PromiseDuration: DefaultPromiseDuration,
		PollInterval: DefaultPollInterval, ListLag: DefaultListLag, ElectsOwner: self.Role == RoleScheduler, Logger: zap.NewNop(),
		Metrics: metric.New(),
		Rules:   func() int64 { return 0 }, OnNewerRules: func(Member, int64) {}, OnChange: func(Table) {},
		ListedVMs: func() (map[string]bool, bool) { return nil, false },
	}
	for _, f := range opts {
		f(&o)
	}
	// A promise that outlives a lease could bind a peer to a member that was removed and is back.
	o.PromiseDuration = min(o.PromiseDuration, o.TTL/2)
	if self.Incarnation == 0 {
		self.Incarnation = rand.Int64()
	}
	self.State = Joining
	g := &Group{
		opts: o, store: s, self: self, log: o.Logger, peers: make(map[string]*peer),
		wake: make(chan struct{}, 1), tell: make(chan struct{}, 1), writing: make(chan struct{}, 1),
		cancel: func() {}, meters: newMeters(o.Metrics),
	}
	if g.opts.Call == nil {
		g.pool = rpc.NewPool()
		g.opts.Call = func(ctx context.Context, address string, b *Heartbeat) (*HeartbeatReply, error) {
			return rpc.Call[Heartbeat, HeartbeatReply](ctx, g.pool.Get(address), HeartbeatMethod, b)
		}
	}
	return g
}

// Start joins the table and keeps the membership until Leave or Stop, or until ctx ends.
func (g *Group) Start(ctx context.Context) error {
	ctx, g.cancel = context.WithCancel(ctx)
	g.mu.Lock()
	g.lease = lease.New(g.store, lease.TTL(g.opts.TTL), lease.ClockDrift(g.opts.ClockDrift), lease.Logger(g.log),
		lease.OnLost(func(int64) { g.nudge() }))
	g.mu.Unlock()
	g.wg.Go(func() { g.tend(ctx) })
	g.wg.Go(func() { g.beat(ctx) })
	g.wg.Go(func() { g.notify(ctx) })
	return nil
}

// Stop ends all duties at once and revokes the lease, but leaves the table as it is.
func (g *Group) Stop() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.cancel()
	g.wg.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), StoreCallTimeout)
	defer cancel()
	if err := g.lease.Close(ctx); err != nil {
		g.log.Warn("member: lease not revoked", zap.Error(err))
	}
	if g.pool != nil {
		g.pool.Close()
	}
}

// Valid says whether this member may act now: its lease holds, or the promises of all others do.
func (g *Group) Valid() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.valid(time.Now())
}

// Owns gives the epoch under which this process owns its zone, while it may act.
func (g *Group) Owns() (epoch, epochRevision int64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving || g.table.Owner != g.self.ID || !g.valid(time.Now()) {
		return 0, 0, false
	}
	return g.table.Epoch, g.table.EpochRevision, true
}

// JoinedVersion gives the table version with which the present membership began; zero means none.
func (g *Group) JoinedVersion() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.joined
}

// Self gives this process's own entry.
func (g *Group) Self() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

// Table gives the newest table that this process knows.
func (g *Group) Table() Table {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.clone()
}

// Owner gives the member that owns the zone.
func (g *Group) Owner() (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Find(g.table.Owner)
}

// ConfirmedVersions gives the newest table version that each other member is known to have, by its ID.
func (g *Group) ConfirmedVersions() map[string]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make(map[string]int64, len(g.peers))
	for id, p := range g.peers {
		out[id] = p.confirmed
	}
	return out
}

// UpdateTable takes a table from a watch or a peer; an older one than is known changes nothing.
func (g *Group) UpdateTable(t Table) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.Zone == g.self.Zone && t.Role == g.self.Role {
		g.adopt(t.clone())
	}
}

// UpdatePresence is told by a watch whether the lease-bound key of a member of this table is there.
func (g *Group) UpdatePresence(id string, there bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[id]
	switch {
	case p == nil:
		if id == g.self.ID && !there {
			g.nudge()
		}
	case there:
		p.absent = time.Time{}
	case p.absent.IsZero():
		p.absent = time.Now()
		g.nudge()
	}
}

func (g *Group) valid(now time.Time) bool {
	if g.stopped || g.joined == 0 {
		return false
	}
	return g.leased() || g.promised(now)
}

// leased says that the member's key is bound to a lease that surely holds. It asks for the ID last:
// IDs do not come back, so that the lease found valid is the one of the key.
func (g *Group) leased() bool {
	return g.lease != nil && g.lease.Valid() && g.lease.ID() == g.keyLease
}

// leaseLeft gives the time until the lease of the member's key must not be trusted any more.
func (g *Group) leaseLeft(now time.Time) time.Duration {
	if !g.leased() {
		return 0
	}
	return max(0, g.lease.Deadline().Sub(now))
}

// promised says whether every other member of the table has promised beyond now, or has ended. The bound on the
// last round makes a process that was frozen stop even when it is alone in its table.
func (g *Group) promised(now time.Time) bool {
	if !before(now, g.asked) {
		return false
	}
	for _, p := range g.peers {
		if !p.ended && !before(now, p.promised) {
			return false
		}
	}
	return true
}

// before asks both clocks: the monotonic one of a VM that was suspended may not have moved, and its
// process would trust promises that ended meanwhile.
func before(now, deadline time.Time) bool {
	return now.Before(deadline) && now.Round(0).Before(deadline.Round(0))
}

// adopt makes t the known table if it is newer, and keeps one peer record for each other member.
func (g *Group) adopt(t Table) {
	if t.Version <= g.table.Version {
		return
	}
	g.table = t
	for id, p := range g.peers {
		if !t.holds(p.member) {
			delete(g.peers, id)
		}
	}
	for _, m := range t.Members {
		if m.ID == g.self.ID {
			continue
		}
		if p, ok := g.peers[m.ID]; ok {
			p.member = m
		} else {
			g.peers[m.ID] = &peer{member: m, heard: time.Now()}
		}
	}
	if g.joined != 0 && !t.holds(g.self) {
		g.expelled()
	}
	if g.pool != nil {
		g.pool.Keep(g.addresses())
	}
	g.nudge()
	signal(g.tell)
}

// expelled forgets what was promised to this process as a member, since it is none any more.
func (g *Group) expelled() {
	g.log.Warn("member: removed from the table by others", zap.Int64("version", g.table.Version))
	g.joined, g.asked, g.self.State = 0, time.Time{}, Joining
	for _, p := range g.peers {
		p.promised, p.established = time.Time{}, time.Time{}
	}
}

func (g *Group) addresses() map[string]bool {
	out := make(map[string]bool, len(g.peers))
	for _, p := range g.peers {
		out[p.member.Address] = true
	}
	return out
}

func (g *Group) nudge() { signal(g.wake) }

// signal leaves one token; more would say nothing new.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// notify tells the newest table to OnChange, in order and outside the lock.
func (g *Group) notify(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.tell:
			g.opts.OnChange(g.Table())
		}
	}
}
