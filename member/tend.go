package member

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"turmericgap/store"
	"turmericgap/store/retry"
)

// errStale means that the store answered from before a change that is known here: a copy that lags,
// or a store that was restored. Deciding by it could bring back an owner that was replaced.
var errStale = eris.New("store is older than the known member table")

// reading is the table and the present keys as the store had them.
type reading struct {
	table Table
	keys  map[string]present
}

const (
	firstBackoff = 200 * time.Millisecond
	lastBackoff  = 4 * time.Second
)

// tend joins the table and keeps it true: it wakes on changes, on suspicion and at long intervals.
func (g *Group) tend(ctx context.Context) {
	failures := retry.New(retry.Bounds(firstBackoff, lastBackoff))
	looks := retry.New(retry.Bounds(firstBackoff, g.opts.PollInterval))
	for wait := time.Duration(0); g.pause(ctx, wait); {
		again, err := g.step(ctx)
		if err != nil {
			g.log.Warn("member: table not tended", zap.Error(err))
			if failures.Wait(ctx) != nil {
				return
			}
			wait = time.Millisecond
			continue
		}
		failures.Reset()
		wait = g.nextLook(looks, again)
	}
}

// pause waits for a nudge, or for d; it says whether ctx still goes on.
func (g *Group) pause(ctx context.Context, d time.Duration) bool {
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

// nextLook gives the time until the next step: soon if a decision is open, later and later while
// a peer stays suspect, else long.
func (g *Group) nextLook(looks *retry.Backoff, again time.Duration) time.Duration {
	if again > 0 {
		return again
	}
	if g.suspects() {
		return looks.Next()
	}
	looks.Reset()
	return retry.Jitter(g.opts.PollInterval)
}

// step reads the store, plans and applies one change.
func (g *Group) step(ctx context.Context) (again time.Duration, err error) {
	// While the store is out of reach the lease's holder is the one that goes on asking it.
	id, err := g.lease.Wait(ctx)
	if err != nil || !g.lockTable(ctx) {
		return 0, err
	}
	defer g.unlockTable()
	r, err := g.read(ctx)
	if err != nil {
		return 0, err
	}
	g.settle(r, id)
	s := g.scene(r, id)
	c, err := plan(s)
	if err != nil || c.empty() {
		return c.again, err
	}
	if !g.claim(c.gone, r.table.Version) {
		return soon, nil
	}
	res, err := g.txn(ctx, s.txn(&c))
	g.resolve(c.gone, res, err)
	if err != nil {
		return 0, err
	}
	if !res.Succeeded {
		return retry.Jitter(stagger), nil
	}
	g.applied(s, &c, res.Revision)
	return max(c.again, time.Millisecond), nil
}

func (g *Group) lockTable(ctx context.Context) bool {
	select {
	case g.writing <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (g *Group) unlockTable() { <-g.writing }

func (g *Group) txn(ctx context.Context, t store.Txn) (store.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, StoreCallTimeout)
	defer cancel()
	return g.store.Txn(ctx, t)
}

func (g *Group) read(ctx context.Context) (reading, error) {
	ctx, cancel := context.WithTimeout(ctx, StoreCallTimeout)
	defer cancel()
	r := reading{table: Table{Zone: g.self.Zone, Role: g.self.Role}, keys: make(map[string]present)}
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
	prefix := presentPrefix(g.self.Zone, g.self.Role)
	got, err = g.store.Range(ctx, store.Range{Key: prefix, End: store.PrefixEnd(prefix)})
	if err != nil {
		return r, eris.Wrap(err, "read member keys")
	}
	for _, p := range got.Pairs {
		m, err := DecodePresence(p)
		if err != nil {
			return r, err
		}
		r.keys[m.ID] = present{member: m, lease: p.Lease, revision: p.ModRevision}
	}
	return r, nil
}

// settle takes in what was read: the table, which keys are absent, and whether this process is
// in. The last finds a join whose answer was lost.
func (g *Group) settle(r reading, lease int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.adopt(r.table)
	for id, p := range g.peers {
		_, there := r.keys[id]
		switch {
		case there:
			p.absent = time.Time{}
		case p.absent.IsZero():
			p.absent = time.Now()
		}
	}
	if own := r.keys[g.self.ID]; own.lease == lease && r.table.holds(g.self) {
		g.entered(r.table, lease)
	}
}

// entered notes that the table holds this process and that its key is bound to a lease.
func (g *Group) entered(t Table, lease int64) {
	if !g.table.holds(g.self) {
		return // A newer table is known already, without this process.
	}
	if g.joined == 0 {
		g.joined, g.since = t.Version, time.Now()
		g.log.Info("member: joined", zap.Int64("version", t.Version))
	}
	own, _ := t.Find(g.self.ID)
	g.self.State, g.keyLease, g.dropped = own.State, lease, false
}

func (g *Group) scene(r reading, lease int64) *scene {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &scene{
		now: time.Now(), self: g.self, lease: lease, joined: g.joined != 0, since: g.since,
		grace: g.opts.TTL + g.opts.ClockDrift + g.opts.ListLag, elects: g.opts.ElectsOwner, promise: g.opts.PromiseDuration, table: r.table, keys: r.keys,
		others: make(map[string]standing, len(g.peers)), confirmed: g.allConfirmed(),
	}
	for id, p := range g.peers {
		switch listed := !g.unlisted(p.member.VM); {
		case listed:
			p.unlisted = time.Time{}
		case p.unlisted.IsZero():
			p.unlisted = s.now
		}
		s.others[id] = standing{absent: p.absent, given: p.given, unlisted: p.unlisted, established: p.established}
	}
	return s
}

func (g *Group) allConfirmed() bool {
	for _, p := range g.peers {
		if p.established.IsZero() {
			return false
		}
	}
	return true
}

// claim marks the removals, from when on no promise is given to these members. It fails if one
// was given since the removals were planned.
func (g *Group) claim(gone []string, version int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, id := range gone {
		if p := g.peers[id]; p != nil && now.Before(p.given) {
			return false
		}
	}
	for _, id := range gone {
		if p := g.peers[id]; p != nil {
			p.removing = version
		}
	}
	return true
}

// resolve takes the marks back if the removal surely did not happen. If its answer was lost the
// transaction may still apply, until the table's version has moved past what it compares.
func (g *Group) resolve(gone []string, res store.TxnResult, err error) {
	if surely := store.NotApplied(err) || err == nil && !res.Succeeded; !surely {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range gone {
		if p := g.peers[id]; p != nil {
			p.removing = 0
		}
	}
}

func (g *Group) applied(s *scene, c *change, revision int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := c.done(revision)
	g.adopt(t)
	g.entered(t, s.lease)
	g.meters.removed.Inc(int64(len(c.gone)))
	if c.epoch {
		g.log.Info("member: owns the zone", zap.Int64("epoch", t.Epoch))
	}
}
