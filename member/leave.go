package member

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"turmericgap/store"
	"turmericgap/store/retry"
)

// Leave performs a planned stop: the member gives up ownership, hands the zone to a peer in one transaction, removes
// itself from the table, revokes its lease and ends. On an error the lease expires by itself.
func (g *Group) Leave(ctx context.Context, handOver bool) error {
	g.mu.Lock()
	g.leaving = true
	g.mu.Unlock()
	defer g.Stop() // Also revokes the lease.
	if !g.lockTable(ctx) {
		return ctx.Err()
	}
	defer g.unlockTable()
	b := retry.New(retry.Bounds(firstBackoff, lastBackoff))
	for {
		left, err := g.leaveStep(ctx, handOver)
		if err == nil && left {
			return nil
		}
		if err != nil {
			g.log.Warn("member: failed to leave the member table; retrying", zap.Error(err))
			if b.Wait(ctx) != nil {
				return eris.Wrap(err, "leave member table")
			}
		}
	}
}

// leaveStep makes one change to the table and reports whether the member has left it. If the answer is lost, the next
// step reads the outcome from the store.
func (g *Group) leaveStep(ctx context.Context, handOver bool) (left bool, err error) {
	r, err := g.readStore(ctx)
	if err != nil {
		return false, err
	}
	g.applyStoreState(r, g.currentPresenceLease())
	if !r.table.contains(g.self) {
		g.broadcastTable(ctx, r.table) // The last change was applied, but its answer was lost.
		return true, nil
	}
	s := g.newPlanInput(r, g.currentPresenceLease())
	c := change{table: r.table.clone(), writeTable: true}
	var t store.Txn
	if to := g.successor(r); handOver && r.table.Owner == g.self.ID && to != "" {
		c.table.setOwner(to)
		c.table.Members[c.table.index(g.self.ID)].State = Leaving
		c.writeEpoch = true
		t = s.txn(&c)
	} else {
		c.table.remove(g.self.ID)
		t = s.txn(&c)
		t.Then = append(t.Then, store.Op{Delete: true, Key: presencePrefix(g.self.Zone, g.self.Role) + g.self.ID})
	}
	res, err := g.txn(ctx, t)
	if err != nil || !res.Succeeded {
		return false, err
	}
	g.broadcastTable(ctx, c.resultTable(res.Revision))
	return !c.writeEpoch, nil
}

func (g *Group) successor(r storeState) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return pickSuccessor(&r.table, r.presences, func(id string) bool {
		p := g.peers[id]
		return p != nil && now.Sub(p.lastHeard) <= suspectHeartbeats*g.opts.HeartbeatInterval
	})
}

// broadcastTable sends the new table to all peers, so that the successor does not have to wait for its watch.
func (g *Group) broadcastTable(ctx context.Context, t Table) {
	ctx, cancel := context.WithTimeout(ctx, g.opts.HeartbeatInterval)
	defer cancel()
	g.mu.Lock()
	g.adoptTable(t)
	peers := make([]Member, 0, len(g.peers))
	for _, p := range g.peers {
		peers = append(peers, p.member)
	}
	b := &Heartbeat{From: g.self, Version: t.Version, Table: &t, Rules: g.opts.Rules()}
	g.mu.Unlock()
	var calls sync.WaitGroup
	for _, m := range peers {
		// A peer that does not get this heartbeat gets the table from its watch.
		calls.Go(func() { _, _ = g.opts.Call(ctx, m.Address, b) })
	}
	calls.Wait()
}

func (g *Group) currentPresenceLease() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.presenceLease
}
