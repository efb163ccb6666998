package owner

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"turmericgap/store"
)

// claimLoop claims the cell whenever it has no owner.
func (g *Group) claimLoop() {
	again := time.NewTicker(claimInterval)
	defer again.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-g.wake:
		case <-again.C:
		}
		g.reconcileKey()
		g.yieldToStronger()
		g.handOverIfImpaired()
		if g.vacant() {
			g.pause(g.claimDelay())
		}
		if g.vacant() && g.ctx.Err() == nil {
			g.tryClaim(0)
		}
	}
}

// yieldToStronger gives up the cell if a much stronger VM has been alive for yieldAfter. A weak VM can own the cell
// because the first VM to join a new cell owns it, or because all strong VMs were lost.
func (g *Group) yieldToStronger() {
	g.mu.Lock()
	stronger := ""
	if g.tenure != nil {
		stronger = g.strongerThanSelf()
	}
	if stronger == "" {
		g.strongerSince = time.Time{}
		g.mu.Unlock()
		return
	}
	if g.strongerSince.IsZero() {
		g.strongerSince = time.Now()
	}
	due := time.Since(g.strongerSince) > yieldAfter
	g.mu.Unlock()
	if due {
		g.endTenure("a stronger VM is there: " + stronger)
	}
}

// strongerThanSelf returns the ID of a much stronger VM, or an empty string. The caller holds mu.
func (g *Group) strongerThanSelf() string {
	for _, n := range g.members.list() {
		if n.Strength*strengthMarginDivisor > g.self.Strength*(strengthMarginDivisor+1) {
			return n.ID
		}
	}
	return ""
}

// reconcileKey handles an owner key that names this VM while no tenure runs here. Without it, a claim that the
// store carried out late, or a key whose removal failed, would leave the cell without an owner for as long as this
// VM renews its lease. After a restart, the cell would wait until the dead process's lease expires.
func (g *Group) reconcileKey() {
	g.mu.Lock()
	p, node, idle, lost, leaving := g.ownerPair, g.ownerNode, g.tenure == nil, g.lostRevision, g.leaving
	g.mu.Unlock()
	switch {
	case p == nil || !idle || node.ID != g.self.ID:
	case p.Lease != g.lease.ID():
		if !leaving && g.lease.Valid() {
			g.replaceStaleKey(p)
		}
	case p.ModRevision > lost && !leaving:
		g.beginTenure(p.ModRevision, time.Time{})
	default:
		g.releaseKey(&Tenure{Key: ownerKey, Revision: p.ModRevision})
	}
}

// replaceStaleKey takes over the key of an earlier process of this VM. The revision of the change is the new
// fencing token, so that pending commits of the earlier process are refused.
func (g *Group) replaceStaleKey(p *store.Pair) {
	g.log.Info("owner: taking over from an earlier process of this VM", zap.Int64("fence", p.ModRevision))
	g.tryClaim(p.ModRevision)
}

func (g *Group) vacant() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.synced && g.members.known() && g.ownerPair == nil && g.tenure == nil && !g.leaving && g.lease.Valid()
}

// mayClaim reports whether this VM may take the cell from another owner.
func (g *Group) mayClaim() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tenure == nil && !g.leaving && g.lease.Valid()
}

// claimDelay returns how long to wait before a claim: for all that may claim before this VM, which are stronger nodes, and
// equally strong nodes with a lower ID. A weak VM that owned a large cell could not keep up with its workers, and no work
// would start. In a large cell the candidates claim first, and the other VMs, which do not know all of each other, at random
// times.
func (g *Group) claimDelay() time.Duration {
	contenders, all := g.contenders()
	rank := 0
	for i := range contenders {
		if contenders[i].precedes(&g.self) {
			rank++
		}
	}
	delay := time.Duration(rank) * claimStagger
	if !all && !contains(contenders, g.self.ID) {
		delay = time.Duration(len(contenders))*claimStagger + rand.N(outsiderClaimSpread)
	}
	return delay
}

// tryClaim writes the owner key if its last change is at expectedRevision; zero means that the key must not exist. If
// the response is lost, the tenure begins once the store confirms that the key is bound to this VM's lease.
func (g *Group) tryClaim(expectedRevision int64) (taken bool) {
	raw, err := msgpack.Marshal(&g.self)
	if err != nil {
		g.log.Error("owner: cannot encode the entry of this VM", zap.Error(err))
		return false
	}
	ctx, cancel := context.WithTimeout(g.ctx, callTimeout)
	defer cancel()
	leaseID, sent := g.lease.ID(), time.Now()
	res, err := g.store.Txn(ctx, store.Txn{
		Compares: []store.Compare{{Key: ownerKey, Target: store.ModRevision, Revision: expectedRevision}},
		Then:     []store.Op{{Key: ownerKey, Value: raw, Lease: leaseID}},
	})
	if err != nil {
		g.log.Warn("owner: claim got no response from the store", zap.Error(err))
		g.confirmClaim(ctx, leaseID)
		return false
	}
	if res.Succeeded {
		g.beginTenure(res.Revision, sent)
	}
	return res.Succeeded
}

// confirmClaim reads the owner key after a claim whose response was lost. If the key is bound to this VM's current
// lease, the claim of this process succeeded.
func (g *Group) confirmClaim(ctx context.Context, leaseID int64) {
	sent := time.Now()
	res, err := g.store.Range(ctx, store.Range{Key: ownerKey})
	if err != nil || len(res.Pairs) == 0 {
		return
	}
	if p := res.Pairs[0]; p.Lease == leaseID {
		g.beginTenure(p.ModRevision, sent)
	}
}

// beginTenure starts a tenure and runs the RunTenure function in it. keptAt is when the call was sent that has shown the
// key to be this VM's; zero means that its age is unknown.
func (g *Group) beginTenure(revision int64, keptAt time.Time) {
	g.mu.Lock()
	if g.tenure != nil || g.leaving || revision <= g.lostRevision {
		g.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(g.ctx)
	t := &Tenure{
		Fence: revision, Key: ownerKey, Revision: revision,
		ReportLost: func() { go g.endTenure("reported lost") },
	}
	t.Confirmed = t.keptWithin
	t.RecordKept(keptAt)
	done := make(chan struct{})
	g.tenure, g.tenureSince, g.cancelTenure, g.tenureDone = t, time.Now(), cancel, done
	g.mu.Unlock()
	g.log.Info("owner: this VM owns the cell", zap.Int64("fence", revision))
	g.wg.Go(func() {
		defer close(done)
		g.runTenure(ctx, t)
	})
}

// endTenure ends the tenure, waits until its RunTenure function has returned, and removes the key.
func (g *Group) endTenure(reason string) {
	g.mu.Lock()
	t := g.tenure
	g.mu.Unlock()
	if t != nil && g.stopTenure(t, reason) {
		g.releaseKey(t)
		g.wakeClaim()
	}
}

// stopTenure ends a tenure and waits until its RunTenure function has returned. It returns false if the tenure had
// already ended.
func (g *Group) stopTenure(t *Tenure, reason string) bool {
	g.mu.Lock()
	current, cancel, done := g.tenure == t, g.cancelTenure, g.tenureDone
	g.mu.Unlock()
	if !current {
		return false
	}
	cancel()
	<-done
	g.mu.Lock()
	if g.tenure != t {
		g.mu.Unlock()
		return false
	}
	g.tenure, g.lostRevision = nil, max(g.lostRevision, t.Revision)
	g.mu.Unlock()
	g.log.Info("owner: this VM no longer owns the cell", zap.Int64("fence", t.Fence), zap.String("reason", reason))
	return true
}

// releaseKey removes the key, so that other VMs need not wait for the lease to expire.
func (g *Group) releaseKey(t *Tenure) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := g.store.Txn(ctx, store.Txn{
		Compares: []store.Compare{t.Compare()},
		Then:     []store.Op{{Delete: true, Key: ownerKey}},
	})
	if err != nil {
		g.log.Warn("owner: owner key not removed; it expires with its lease", zap.Error(err))
	}
}
