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

// Leave is the planned stop: the member owns nothing from now on, hands the zone to a peer by one
// transaction, takes itself out of the table, revokes its lease and ends. On an error the lease
// lapses by itself.
func (g *Group) Leave(ctx context.Context, handOver bool) error {
	g.mu.Lock()
	g.leaving = true
	g.mu.Unlock()
	defer g.Stop() // It revokes the lease too.
	if !g.lockTable(ctx) {
		return ctx.Err()
	}
	defer g.unlockTable()
	b := retry.New(retry.Bounds(firstBackoff, lastBackoff))
	for {
		out, err := g.leaveStep(ctx, handOver)
		if err == nil && out {
			return nil
		}
		if err != nil {
			g.log.Warn("member: not left yet", zap.Error(err))
			if b.Wait(ctx) != nil {
				return eris.Wrap(err, "leave member table")
			}
		}
	}
}

// leaveStep makes one change towards the end; a lost answer shows in the next step's reading.
func (g *Group) leaveStep(ctx context.Context, handOver bool) (out bool, err error) {
	r, err := g.read(ctx)
	if err != nil {
		return false, err
	}
	g.settle(r, g.boundLease())
	if !r.table.holds(g.self) {
		g.announce(ctx, r.table) // The answer to the last change was lost.
		return true, nil
	}
	s := g.scene(r, g.boundLease())
	c := change{table: r.table.clone(), write: true}
	var t store.Txn
	if to := g.heir(r); handOver && r.table.Owner == g.self.ID && to != "" {
		c.table.own(to)
		c.table.Members[c.table.index(g.self.ID)].State = Leaving
		c.epoch = true
		t = s.txn(&c)
	} else {
		c.table.remove(g.self.ID)
		t = s.txn(&c)
		t.Then = append(t.Then, store.Op{Delete: true, Key: presentPrefix(g.self.Zone, g.self.Role) + g.self.ID})
	}
	res, err := g.txn(ctx, t)
	if err != nil || !res.Succeeded {
		return false, err
	}
	g.announce(ctx, c.done(res.Revision))
	return !c.epoch, nil
}

func (g *Group) heir(r reading) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return heir(&r.table, r.keys, func(id string) bool {
		p := g.peers[id]
		return p != nil && now.Sub(p.heard) <= suspectBeats*g.opts.HeartbeatInterval
	})
}

// announce tells the peers the new table at once, so that the heir need not wait for its watch.
func (g *Group) announce(ctx context.Context, t Table) {
	ctx, cancel := context.WithTimeout(ctx, g.opts.HeartbeatInterval)
	defer cancel()
	g.mu.Lock()
	g.adopt(t)
	peers := make([]Member, 0, len(g.peers))
	for _, p := range g.peers {
		peers = append(peers, p.member)
	}
	b := &Heartbeat{From: g.self, Version: t.Version, Table: &t, Rules: g.opts.Rules()}
	g.mu.Unlock()
	var told sync.WaitGroup
	for _, m := range peers {
		// The watch tells a peer that this misses.
		told.Go(func() { _, _ = g.opts.Call(ctx, m.Address, b) })
	}
	told.Wait()
}

func (g *Group) boundLease() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.keyLease
}
