package owner

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"turmericgap/store"
)

// claim takes the cell whenever nobody owns it.
func (g *Group) claim() {
	again := time.NewTicker(claimAgain)
	defer again.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-g.wake:
		case <-again.C:
		}
		g.tidy()
		g.yield()
		g.relieve()
		if g.vacant() {
			g.pause(time.Duration(g.rank()) * claimStagger)
		}
		if g.vacant() && g.ctx.Err() == nil {
			g.try(0)
		}
	}
}

// yield gives the cell up to a much stronger VM that has been there for a while. At the start of a cell
// the first VM to come owns it, and after a loss of the strong ones a weak one does.
func (g *Group) yield() {
	g.mu.Lock()
	t, stronger := g.tenure, ""
	for _, n := range g.nodes {
		if n.Strength*strengthShare > g.self.Strength*(strengthShare+1) {
			stronger = n.ID
		}
	}
	if t == nil || stronger == "" {
		g.outdone = time.Time{}
		g.mu.Unlock()
		return
	}
	if g.outdone.IsZero() {
		g.outdone = time.Now()
	}
	due := time.Since(g.outdone) > yieldAfter
	g.mu.Unlock()
	if due {
		g.endTenure("a stronger VM is there: " + stronger)
	}
}

// tidy settles a key that names this VM while no tenure runs here. Without it a claim that the store
// carried out late, or a key whose removal failed, would keep the cell without an owner for as long as
// this VM renews its lease; and after a restart the cell would wait for the lease of the dead process.
func (g *Group) tidy() {
	g.mu.Lock()
	p, as, idle, lost, leaving := g.owner, g.ownerAs, g.tenure == nil, g.lost, g.leaving
	g.mu.Unlock()
	switch {
	case p == nil || !idle || as.ID != g.self.ID:
	case p.Lease != g.holder.ID():
		if !leaving && g.holder.Valid() {
			g.replace(p)
		}
	case p.ModRevision > lost && !leaving:
		g.begin(p.ModRevision)
	default:
		g.release(&Tenure{Key: ownerKey, Revision: p.ModRevision})
	}
}

// replace takes the key over from an earlier process of this VM. The revision of the change is the new
// fencing token, so that whatever the earlier process had under way is refused.
func (g *Group) replace(p *store.Pair) {
	g.log.Info("owner: taking over from an earlier process of this VM", zap.Int64("fence", p.ModRevision))
	g.try(p.ModRevision)
}

func (g *Group) vacant() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listed && g.owner == nil && g.tenure == nil && !g.leaving && g.holder.Valid()
}

// mayClaim reports whether this VM may take the cell from another owner.
func (g *Group) mayClaim() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tenure == nil && !g.leaving && g.holder.Valid()
}

// rank counts the nodes that go before this one: stronger ones, and of equal strength those of lower
// ID. A weak VM that owned a large cell could not keep up with its workers, and no work would start.
func (g *Group) rank() int {
	rank := 0
	for _, n := range g.Nodes() {
		if n.before(&g.self) {
			rank++
		}
	}
	return rank
}

// try writes the owner's key, whose last change must be the given one, zero for none. An answer that is lost is no failure: the watch then shows the key
// as ours, and the tenure begins with what the store says of it.
func (g *Group) try(last int64) (taken bool) {
	raw, err := msgpack.Marshal(&g.self)
	if err != nil {
		g.log.Error("owner: entry cannot be encoded", zap.Error(err))
		return false
	}
	ctx, cancel := context.WithTimeout(g.ctx, callWithin)
	defer cancel()
	leaseID := g.holder.ID()
	res, err := g.store.Txn(ctx, store.Txn{
		Compares: []store.Compare{{Key: ownerKey, Target: store.ModRevision, Revision: last}},
		Then:     []store.Op{{Key: ownerKey, Value: raw, Lease: leaseID}},
	})
	if err != nil {
		g.log.Warn("owner: claim without an answer", zap.Error(err))
		g.settle(ctx, leaseID)
		return false
	}
	if res.Succeeded {
		g.begin(res.Revision)
	}
	return res.Succeeded
}

// settle reads the owner's key after a claim whose answer was lost. A key under this VM's present
// lease is a claim of this process that went through.
func (g *Group) settle(ctx context.Context, leaseID int64) {
	res, err := g.store.Range(ctx, store.Range{Key: ownerKey})
	if err != nil || len(res.Pairs) == 0 {
		return
	}
	if p := res.Pairs[0]; p.Lease == leaseID {
		g.begin(p.ModRevision)
	}
}

// begin starts a tenure.
func (g *Group) begin(revision int64) {
	g.mu.Lock()
	if g.tenure != nil || g.leaving || revision <= g.lost {
		g.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(g.ctx)
	t := &Tenure{
		Fence: revision, Key: ownerKey, Revision: revision, Confirmed: g.holder.ValidWithGrace,
		ReportLost: func() { go g.endTenure("reported lost") },
	}
	done := make(chan struct{})
	g.tenure, g.tenureSince, g.endTerm, g.termDone = t, time.Now(), cancel, done
	g.mu.Unlock()
	g.log.Info("owner: this VM owns the cell", zap.Int64("fence", revision))
	g.wg.Go(func() {
		defer close(done)
		g.lead(ctx, t)
	})
}

// endTenure ends the tenure, waits for what runs in it, and gives up the key.
func (g *Group) endTenure(why string) {
	g.mu.Lock()
	t := g.tenure
	g.mu.Unlock()
	if t != nil && g.stopTenure(t, why) {
		g.release(t)
		g.poke()
	}
}

// stopTenure ends a tenure and waits for what runs in it; false means that it had ended before.
func (g *Group) stopTenure(t *Tenure, why string) bool {
	g.mu.Lock()
	current, cancel, done := g.tenure == t, g.endTerm, g.termDone
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
	g.tenure, g.lost = nil, max(g.lost, t.Revision)
	g.mu.Unlock()
	g.log.Info("owner: this VM no longer owns the cell", zap.Int64("fence", t.Fence), zap.String("reason", why))
	return true
}

// release removes the key so that another VM need not wait for the lease to lapse.
func (g *Group) release(t *Tenure) {
	ctx, cancel := context.WithTimeout(context.Background(), callWithin)
	defer cancel()
	_, err := g.store.Txn(ctx, store.Txn{
		Compares: []store.Compare{t.Compare()},
		Then:     []store.Op{{Delete: true, Key: ownerKey}},
	})
	if err != nil {
		g.log.Warn("owner: the key lapses with its lease", zap.Error(err))
	}
}
