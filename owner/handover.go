package owner

import (
	"cmp"
	"context"
	"hash/crc32"
	"slices"
	"time"

	"go.uber.org/zap"

	"turmericgap/rpc"
)

const (
	// strainMost is how long the store may give this owner no answers, or its work may lag, before it looks
	// for a VM that does better: above a single slow answer, and well below the lease.
	strainMost = 250 * time.Millisecond
	// strainAgain is the pause after a search that found none.
	strainAgain = time.Second
	// takeWithin bounds the take-over by another VM: a ping and an answer of a slow store.
	takeWithin = 500 * time.Millisecond
	// paceEvery is the pause between two measurements of this VM's pace, paceWindow how many of them count.
	paceEvery  = 500 * time.Millisecond
	paceWindow = 3
	// paceBytes is the piece of work that is timed, some tens of microseconds.
	paceBytes = 256 << 10
	// paceShare says how much faster another VM must be, in one part of so many.
	paceShare = 2
	// keepLeast is how long a VM owns the cell at least before it hands it over for slowness. A new owner lags at
	// first, with all workers to meet.
	keepLeast = 3 * time.Second
)

// paces are the latest measurements of a VM's pace.
type paces struct {
	took [paceWindow]time.Duration
	next int
}

func (p *paces) add(took time.Duration) {
	p.took[p.next] = took
	p.next = (p.next + 1) % paceWindow
}

// least is the pace of the VM itself: what else runs there makes a measurement longer, and never shorter. Zero is
// not measured yet.
func (p *paces) least() time.Duration {
	least := p.took[0]
	for _, took := range p.took {
		if took > 0 {
			least = min(least, took)
		}
	}
	return least
}

// takePace measures how fast this VM works. A VM whose processor has turned slow answers pings and keeps its
// lease, but cannot keep up with the cell's work.
func (g *Group) takePace() {
	if time.Since(g.pacedAt) < paceEvery {
		return
	}
	g.pacedAt = time.Now()
	took := g.measure()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.paces.add(took)
}

// timeWork returns what times a fixed piece of work.
func timeWork() func() time.Duration {
	work := make([]byte, paceBytes)
	return func() time.Duration {
		begun := time.Now()
		crc32.ChecksumIEEE(work)
		return time.Since(begun)
	}
}

// strained tells why this owner should hand the cell over, if another VM does better.
func (g *Group) strained() (why string, slow bool) {
	if since, failing := g.failing(); failing && time.Since(since) > strainMost {
		return "the store does not answer this VM", false
	}
	if g.overloaded() {
		return "this VM cannot keep up", true
	}
	return "", false
}

// relieve hands the cell over while this owner is alive but the store declines it, or it has turned slow. The
// lease alone would keep the cell standing until it lapses in the first case, and for good in the second.
//
// A VM that lags because the cell's work is too much for any of its kind keeps the cell: each change of the owner
// costs the new one all that the old one has learned, and it lags the more.
func (g *Group) relieve() {
	why, slow := g.strained()
	g.mu.Lock()
	t, since := g.tenure, g.tenureSince
	g.mu.Unlock()
	if why == "" || t == nil || time.Since(g.searched) < strainAgain || slow && time.Since(since) < keepLeast {
		return
	}
	g.searched = time.Now()
	peers := g.better(slow)
	if len(peers) == 0 {
		return
	}
	if !g.stopTenure(t, why) {
		return
	}
	for _, n := range peers {
		if g.handTo(n, t) {
			return
		}
	}
	g.release(t)
}

// better gives the VMs that the store serves, and that are faster where this is for slowness, best first.
func (g *Group) better(faster bool) []Node {
	type found struct {
		node Node
		pace time.Duration
	}
	others := voters(slices.DeleteFunc(slices.Clone(g.Nodes()), func(n Node) bool { return n.Strength < g.self.Strength }), g.self.ID)
	replies := make(chan *found, len(others))
	for _, n := range others {
		go func() {
			client := g.client(n.Address)
			defer client.Close()
			p, err := ping(g.ctx, client, pingWithin)
			if err != nil || !p.Served {
				replies <- nil
				return
			}
			replies <- &found{n, p.Pace}
		}()
	}
	g.mu.Lock()
	own := g.paces.least()
	g.mu.Unlock()
	var list []found
	for range others {
		if f := <-replies; f != nil && (!faster || f.pace*paceShare < own) {
			list = append(list, *f)
		}
	}
	slices.SortFunc(list, func(a, b found) int { return cmp.Compare(a.pace, b.pace) })
	nodes := make([]Node, len(list))
	for i := range list {
		nodes[i] = list[i].node
	}
	return nodes
}

// handTo lets a VM take the cell.
func (g *Group) handTo(n Node, t *Tenure) bool {
	ctx, cancel := context.WithTimeout(g.ctx, takeWithin)
	defer cancel()
	client := g.client(n.Address)
	defer client.Close()
	reply, err := rpc.Call[takeRequest, takeReply](ctx, client, methodTake, &takeRequest{Fence: t.Fence})
	if err != nil || !reply.Taken {
		g.log.Info("owner: a VM did not take the cell", zap.String("by", n.ID), zap.Error(err))
		return false
	}
	g.log.Info("owner: handed the cell over", zap.String("to", n.ID), zap.Int64("fence", t.Fence))
	return true
}
