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

// Default settings and limits.
const (
	DefaultTTL               = 6 * time.Second
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultPromiseDuration   = 3 * time.Second
	DefaultPollInterval      = 30 * time.Second
	DefaultListLag           = 10 * time.Second
	// StoreCallTimeout bounds one call to the store, which may be slow.
	StoreCallTimeout = 5 * time.Second

	clockDriftDivisor = 20
	suspectHeartbeats = 4
	// writeStagger separates the writes of members that see the same key disappear at the same time.
	writeStagger = 200 * time.Millisecond
	// HeartbeatMethod is the rpc name under which Group.HandleHeartbeat is served.
	HeartbeatMethod = "member.beat"
)

// Group maintains this process's membership in the table of its zone and role.
type Group struct {
	opts    Options
	store   *store.Store
	lease   *lease.Holder
	self    Member
	log     *zap.Logger
	pool    *rpc.Pool
	metrics groupMetrics

	mu    sync.Mutex
	table Table
	// joinedVersion is a table version at or after the one that first held this incarnation;
	// zero while it is not in the table.
	joinedVersion int64
	// presenceLease is the lease that the member's presence key is bound to; zero when the key may be missing.
	presenceLease int64
	// promisesEnd is when the promises requested in the last round end.
	promisesEnd time.Time
	// wasUnlisted reports whether the VM list has lacked this VM since the member last held its lease.
	wasUnlisted bool
	peers       map[string]*peer
	leaving     bool
	stopped     bool

	joinedAt     time.Time
	wake         chan struct{}
	tableChanged chan struct{}
	// tableLock is held while the member table is being changed.
	tableLock chan struct{}
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

// peer is what this process knows about another member of the table.
type peer struct {
	member       Member
	lastHeard    time.Time
	rulesVersion int64
	// confirmedVersion is the newest table version that the peer is known to have.
	confirmedVersion int64
	// knowsSelfSince is when the peer was first known to have a table that holds this process.
	knowsSelfSince time.Time
	// promisedUntil is when the peer's promise to this process ends, on this process's clock.
	promisedUntil time.Time
	// promiseGivenUntil is when this process's promise to the peer ends.
	promiseGivenUntil time.Time
	// removalVersion is the table version that an unresolved removal of the peer compares.
	removalVersion int64
	// keyMissingSince is when the peer's presence key was first seen to be missing.
	keyMissingSince time.Time
	// unlistedSince is when the peer's VM was first seen to be missing from the VM list.
	unlistedSince time.Time
	// ended reports whether another process has answered at the peer's address.
	ended bool
	// suspect reports whether several heartbeats from the peer are missing.
	suspect      bool
	callInFlight bool
}

// New returns a Group that is not yet started. The process must already listen on self.Address:
// holding the address proves that an earlier process that listened there has ended.
func New(s *store.Store, self Member, opts ...Option) *Group {
	o := Options{
		TTL: DefaultTTL, ClockDrift: DefaultTTL / clockDriftDivisor, HeartbeatInterval: DefaultHeartbeatInterval,
		PromiseDuration: DefaultPromiseDuration, PollInterval: DefaultPollInterval, ListLag: DefaultListLag,
		ElectsOwner: self.Role == RoleScheduler, Logger: zap.NewNop(), Metrics: metric.New(),
		Rules: func() int64 { return 0 }, OnNewerRules: func(Member, int64) {}, OnChange: func(Table) {},
		ListedVMs: func() (map[string]bool, bool) { return nil, false },
	}
	for _, f := range opts {
		f(&o)
	}
	// A promise longer than the lease could bind a peer to a member that was removed and has joined again.
	o.PromiseDuration = min(o.PromiseDuration, o.TTL/2)
	if self.Incarnation == 0 {
		self.Incarnation = rand.Int64()
	}
	self.State = Joining
	g := &Group{
		opts: o, store: s, self: self, log: o.Logger, peers: make(map[string]*peer),
		wake: make(chan struct{}, 1), tableChanged: make(chan struct{}, 1), tableLock: make(chan struct{}, 1),
		cancel: func() {}, metrics: newGroupMetrics(o.Metrics),
	}
	if g.opts.Call == nil {
		g.pool = rpc.NewPool()
		g.opts.Call = func(ctx context.Context, address string, b *Heartbeat) (*HeartbeatReply, error) {
			return rpc.Call[Heartbeat, HeartbeatReply](ctx, g.pool.Get(address), HeartbeatMethod, b)
		}
	}
	return g
}

// Start joins the table and keeps the membership until Leave or Stop is called, or until ctx ends.
func (g *Group) Start(ctx context.Context) error {
	ctx, g.cancel = context.WithCancel(ctx)
	g.mu.Lock()
	g.lease = lease.New(g.store, lease.TTL(g.opts.TTL), lease.ClockDrift(g.opts.ClockDrift), lease.Logger(g.log),
		lease.OnLost(func(int64) { g.wakeUp() }))
	g.mu.Unlock()
	g.wg.Go(func() { g.maintainTable(ctx) })
	g.wg.Go(func() { g.sendHeartbeats(ctx) })
	g.wg.Go(func() { g.runOnChange(ctx) })
	return nil
}

// Stop ends all background work and revokes the lease, but leaves the table unchanged.
func (g *Group) Stop() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.cancel()
	g.wg.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), StoreCallTimeout)
	defer cancel()
	if err := g.lease.Close(ctx); err != nil {
		g.log.Warn("member: failed to revoke the lease", zap.Error(err))
	}
	if g.pool != nil {
		g.pool.Close()
	}
}

// Valid reports whether this member may act now: its lease is valid, or all peers have promised.
func (g *Group) Valid() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.valid(time.Now())
}

// Owns returns the epoch under which this process owns its zone; ok is false unless it may act as owner.
func (g *Group) Owns() (epoch, epochRevision int64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving || g.table.Owner != g.self.ID || !g.valid(time.Now()) {
		return 0, 0, false
	}
	return g.table.Epoch, g.table.EpochRevision, true
}

// JoinedVersion returns the table version at which the current membership began; zero means not a member.
func (g *Group) JoinedVersion() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.joinedVersion
}

// Self returns this process's own entry.
func (g *Group) Self() Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

// Table returns the newest table that this process knows.
func (g *Group) Table() Table {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.clone()
}

// Owner returns the member that owns the zone.
func (g *Group) Owner() (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Find(g.table.Owner)
}

// ConfirmedVersions returns the newest table version that each peer is known to have, by member ID.
func (g *Group) ConfirmedVersions() map[string]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make(map[string]int64, len(g.peers))
	for id, p := range g.peers {
		out[id] = p.confirmedVersion
	}
	return out
}

// UpdateTable adopts a table from a watch or a peer. A table older than the known one is ignored.
func (g *Group) UpdateTable(t Table) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.Zone == g.self.Zone && t.Role == g.self.Role {
		g.adoptTable(t.clone())
	}
}

// UpdatePresence records whether a watch shows the presence key of a member of this table.
func (g *Group) UpdatePresence(id string, present bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[id]
	switch {
	case p == nil:
		if id == g.self.ID && !present {
			g.wakeUp()
		}
	case present:
		p.keyMissingSince = time.Time{}
	case p.keyMissingSince.IsZero():
		p.keyMissingSince = time.Now()
		g.wakeUp()
	}
}

func (g *Group) valid(now time.Time) bool {
	if g.stopped || g.joinedVersion == 0 {
		return false
	}
	return g.holdsLease() || g.holdsPromises(now)
}

// holdsLease reports whether the presence key is bound to a valid lease. It reads the lease ID last: IDs are never
// reused, so an ID equal to presenceLease means that the lease checked as valid is the one of the key.
func (g *Group) holdsLease() bool {
	return g.lease != nil && g.lease.Valid() && g.lease.ID() == g.presenceLease
}

// leaseLeft returns how long the lease of the presence key may still be trusted.
func (g *Group) leaseLeft(now time.Time) time.Duration {
	if !g.holdsLease() {
		return 0
	}
	return max(0, g.lease.Deadline().Sub(now))
}

// holdsPromises reports whether every peer has ended or has promised beyond now. The bound on the last round stops a
// process that was frozen, even if it is alone in its table.
func (g *Group) holdsPromises(now time.Time) bool {
	if !beforeBothClocks(now, g.promisesEnd) {
		return false
	}
	for _, p := range g.peers {
		if !p.ended && !beforeBothClocks(now, p.promisedUntil) {
			return false
		}
	}
	return true
}

// beforeBothClocks compares both the monotonic and the wall clock: the monotonic clock of a suspended VM may have
// stood still, and its process would trust promises that ended meanwhile.
func beforeBothClocks(now, deadline time.Time) bool {
	return now.Before(deadline) && now.Round(0).Before(deadline.Round(0))
}

// adoptTable replaces the known table if t is newer, and keeps one peer record for each other member.
func (g *Group) adoptTable(t Table) {
	if t.Version <= g.table.Version {
		return
	}
	g.table = t
	for id, p := range g.peers {
		if !t.contains(p.member) {
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
			g.peers[m.ID] = &peer{member: m, lastHeard: time.Now()}
		}
	}
	if g.joinedVersion != 0 && !t.contains(g.self) {
		g.resetMembership()
	}
	if g.pool != nil {
		g.pool.Retain(g.addresses())
	}
	g.wakeUp()
	notifyChan(g.tableChanged)
}

// resetMembership drops the promises made to this process, which is no longer a member.
func (g *Group) resetMembership() {
	g.log.Warn("member: removed from the table by others", zap.Int64("version", g.table.Version))
	g.joinedVersion, g.promisesEnd, g.self.State = 0, time.Time{}, Joining
	for _, p := range g.peers {
		p.promisedUntil, p.knowsSelfSince = time.Time{}, time.Time{}
	}
}

func (g *Group) addresses() map[string]bool {
	out := make(map[string]bool, len(g.peers))
	for _, p := range g.peers {
		out[p.member.Address] = true
	}
	return out
}

func (g *Group) wakeUp() { notifyChan(g.wake) }

// notifyChan leaves at most one token in the channel, since more would carry no information.
func notifyChan(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// runOnChange passes the newest table to OnChange, in order and outside the lock.
func (g *Group) runOnChange(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.tableChanged:
			g.opts.OnChange(g.Table())
		}
	}
}
