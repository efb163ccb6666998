package member

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"turmericgap/store"
	"turmericgap/store/retry"
)

// errStale means that the store returned data older than a change known here, for example from a lagging replica or a
// restored backup. Acting on it could reinstate an owner that was replaced.
var errStale = eris.New("store is older than the known member table")

// storeState is the table and the presence keys, as read from the store.
type storeState struct {
	table     Table
	presences map[string]presence
}

const (
	firstBackoff = 200 * time.Millisecond
	lastBackoff  = 4 * time.Second
)

// maintainTable joins the table and keeps it up to date. It runs on changes, on suspected peers and at long intervals.
func (g *Group) maintainTable(ctx context.Context) {
	failures := retry.New(retry.Bounds(firstBackoff, lastBackoff))
	polls := retry.New(retry.Bounds(firstBackoff, g.opts.PollInterval))
	for wait := time.Duration(0); g.waitForWake(ctx, wait); {
		replanAfter, err := g.reconcile(ctx)
		if err != nil {
			g.log.Warn("member: failed to reconcile the member table", zap.Error(err))
			if failures.Wait(ctx) != nil {
				return
			}
			wait = time.Millisecond
			continue
		}
		failures.Reset()
		wait = g.nextPoll(polls, replanAfter)
	}
}

// waitForWake waits for a wake-up or for d, and reports whether ctx is still active.
func (g *Group) waitForWake(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-g.wake:
	case <-t.C:
	}
	return ctx.Err() == nil
}

// nextPoll returns the time until the next reconciliation: short if a decision is open, increasing while a peer is
// suspect, else PollInterval.
func (g *Group) nextPoll(polls *retry.Backoff, replanAfter time.Duration) time.Duration {
	if replanAfter > 0 {
		return replanAfter
	}
	if g.hasSuspects() {
		return polls.Next()
	}
	polls.Reset()
	return retry.Jitter(g.opts.PollInterval)
}

// reconcile reads the store, plans one change and applies it.
func (g *Group) reconcile(ctx context.Context) (replanAfter time.Duration, err error) {
	// While the store is unreachable, only the lease holder keeps calling it.
	id, err := g.lease.Wait(ctx)
	if err != nil || !g.lockTable(ctx) {
		return 0, err
	}
	defer g.unlockTable()
	r, err := g.readStore(ctx)
	if err != nil {
		return 0, err
	}
	g.applyStoreState(r, id)
	s := g.newPlanInput(r, id)
	c, err := plan(s)
	if err != nil || c.isEmpty() {
		return c.replanAfter, err
	}
	if !g.markRemovals(c.removed, r.table.Version) {
		return replanDelay, nil
	}
	res, err := g.txn(ctx, s.txn(&c))
	g.clearRemovals(c.removed, res, err)
	if err != nil {
		return 0, err
	}
	if !res.Succeeded {
		return retry.Jitter(writeStagger), nil
	}
	g.recordChange(s, &c, res.Revision)
	return max(c.replanAfter, time.Millisecond), nil
}

func (g *Group) lockTable(ctx context.Context) bool {
	select {
	case g.tableLock <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (g *Group) unlockTable() { <-g.tableLock }

func (g *Group) txn(ctx context.Context, t store.Txn) (store.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, StoreCallTimeout)
	defer cancel()
	return g.store.Txn(ctx, t)
}

func (g *Group) readStore(ctx context.Context) (storeState, error) {
	ctx, cancel := context.WithTimeout(ctx, StoreCallTimeout)
	defer cancel()
	r := storeState{table: Table{Zone: g.self.Zone, Role: g.self.Role}, presences: make(map[string]presence)}
	got, err := g.store.Range(ctx, store.Range{Key: TableKey(g.self.Zone, g.self.Role)})
	if err != nil {
		return r, eris.Wrap(err, "read member table")
	}
	if len(got.Pairs) == 1 {
		if r.table, err = DecodeTable(got.Pairs[0]); err != nil {
			return r, err
		}
	}
	if got.Revision < g.Table().Version {
		return r, errStale
	}
	prefix := presencePrefix(g.self.Zone, g.self.Role)
	got, err = g.store.Range(ctx, store.Range{Key: prefix, End: store.PrefixEnd(prefix)})
	if err != nil {
		return r, eris.Wrap(err, "read member keys")
	}
	for _, p := range got.Pairs {
		m, err := DecodePresence(p)
		if err != nil {
			return r, err
		}
		r.presences[m.ID] = presence{member: m, lease: p.Lease, revision: p.ModRevision}
	}
	return r, nil
}

// applyStoreState records what was read: the table, the missing presence keys, and whether this process is in the
// table. The last check detects a join whose answer was lost.
func (g *Group) applyStoreState(r storeState, lease int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.adoptTable(r.table)
	for id, p := range g.peers {
		_, present := r.presences[id]
		switch {
		case present:
			p.keyMissingSince = time.Time{}
		case p.keyMissingSince.IsZero():
			p.keyMissingSince = time.Now()
		}
	}
	if own := r.presences[g.self.ID]; own.lease == lease && r.table.contains(g.self) {
		g.recordJoined(r.table, lease)
	}
}

// recordJoined records that the table holds this process and that its presence key is bound to a lease.
func (g *Group) recordJoined(t Table, lease int64) {
	if !g.table.contains(g.self) {
		return // A newer table without this process is already known.
	}
	if g.joinedVersion == 0 {
		g.joinedVersion, g.joinedAt = t.Version, time.Now()
		g.log.Info("member: joined the member table", zap.Int64("version", t.Version))
	}
	own, _ := t.Find(g.self.ID)
	g.self.State, g.presenceLease, g.wasUnlisted = own.State, lease, false
}

func (g *Group) newPlanInput(r storeState, lease int64) *planInput {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &planInput{
		now: time.Now(), self: g.self, lease: lease, joined: g.joinedVersion != 0, joinedAt: g.joinedAt,
		removalGrace: g.opts.TTL + g.opts.ClockDrift + g.opts.ListLag, electsOwner: g.opts.ElectsOwner,
		promiseDuration: g.opts.PromiseDuration, table: r.table, presences: r.presences,
		peers: make(map[string]peerState, len(g.peers)), allPeersKnowSelf: g.allPeersKnowSelf(),
	}
	for id, p := range g.peers {
		switch listed := !g.isUnlisted(p.member.VM); {
		case listed:
			p.unlistedSince = time.Time{}
		case p.unlistedSince.IsZero():
			p.unlistedSince = s.now
		}
		s.peers[id] = peerState{
			keyMissingSince: p.keyMissingSince, promiseGivenUntil: p.promiseGivenUntil, unlistedSince: p.unlistedSince,
			knowsSelfSince: p.knowsSelfSince,
		}
	}
	return s
}

func (g *Group) allPeersKnowSelf() bool {
	for _, p := range g.peers {
		if p.knowsSelfSince.IsZero() {
			return false
		}
	}
	return true
}

// markRemovals marks members as being removed, after which they get no promise. It fails if one of them got a promise
// after the removals were planned.
func (g *Group) markRemovals(removed []string, version int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, id := range removed {
		if p := g.peers[id]; p != nil && now.Before(p.promiseGivenUntil) {
			return false
		}
	}
	for _, id := range removed {
		if p := g.peers[id]; p != nil {
			p.removalVersion = version
		}
	}
	return true
}

// clearRemovals clears the marks if the removal was definitely not applied. If the answer was lost, the transaction may
// still apply until the table's version has moved past the one it compares.
func (g *Group) clearRemovals(removed []string, res store.TxnResult, err error) {
	if notApplied := store.NotApplied(err) || err == nil && !res.Succeeded; !notApplied {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range removed {
		if p := g.peers[id]; p != nil {
			p.removalVersion = 0
		}
	}
}

func (g *Group) recordChange(s *planInput, c *change, revision int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := c.resultTable(revision)
	g.adoptTable(t)
	g.recordJoined(t, s.lease)
	g.metrics.removed.Inc(int64(len(c.removed)))
	if c.writeEpoch {
		g.log.Info("member: owns the zone", zap.Int64("epoch", t.Epoch))
	}
}
