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
	// impairedFor is how long the store may not answer, or this owner's work may lag, before the owner looks for a
	// better VM: longer than a single slow response, and well below the lease.
	impairedFor = 250 * time.Millisecond
	// searchInterval is the pause after a search that found no better VM.
	searchInterval = time.Second
	// takeTimeout bounds the takeover by another VM: a ping and a slow response of the store.
	takeTimeout = 500 * time.Millisecond
	// probeInterval is the pause between two CPU probes of this VM, probeWindow the number of probes that count.
	probeInterval = 500 * time.Millisecond
	probeWindow   = 3
	// probeBytes is the amount of data that a probe checksums, which takes some tens of microseconds.
	probeBytes = 256 << 10
	// minSpeedup is how many times faster another VM must be to get the cell.
	minSpeedup = 2
	// minTenure is how long a VM owns the cell before it may hand it over for slowness. A new owner lags at first,
	// because it has to contact all workers.
	minTenure = 3 * time.Second
)

// probeTimes are the durations of the latest CPU probes of a VM.
type probeTimes struct {
	times [probeWindow]time.Duration
	next  int
}

func (p *probeTimes) add(took time.Duration) {
	p.times[p.next] = took
	p.next = (p.next + 1) % probeWindow
}

// fastest returns the shortest duration, which measures the VM itself: other load only makes a probe longer. Zero
// means not measured yet.
func (p *probeTimes) fastest() time.Duration {
	fastest := p.times[0]
	for _, took := range p.times {
		if took > 0 {
			fastest = min(fastest, took)
		}
	}
	return fastest
}

// probeCPU measures the speed of this VM. A VM whose CPU has become slow still answers pings and keeps its lease,
// but cannot keep up with the cell's work.
func (g *Group) probeCPU() {
	if time.Since(g.probedAt) < probeInterval {
		return
	}
	g.probedAt = time.Now()
	took := g.cpuProbe()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.probeTimes.add(took)
}

// newCPUProbe returns a function that times a fixed amount of CPU work.
func newCPUProbe() func() time.Duration {
	work := make([]byte, probeBytes)
	return func() time.Duration {
		start := time.Now()
		crc32.ChecksumIEEE(work)
		return time.Since(start)
	}
}

// handoverReason returns why this owner should hand the cell over to a better VM, or the empty string. It sets slow
// if the reason is that this VM is too slow.
func (g *Group) handoverReason() (reason string, slow bool) {
	if since, failing := g.storeFailing(); failing && time.Since(since) > impairedFor {
		return "the store does not answer this VM", false
	}
	if g.overloaded() {
		return "this VM cannot keep up", true
	}
	return "", false
}

// handOverIfImpaired hands the cell over if this owner is alive but the store does not answer it, or it has become
// slow. With the lease alone, the cell would stand still until the lease expires in the first case, and permanently
// in the second.
//
// A VM that lags because the cell's work is too much for any VM of its kind keeps the cell: a new owner would lose
// what this one has learned, and lag even more.
func (g *Group) handOverIfImpaired() {
	reason, slow := g.handoverReason()
	g.mu.Lock()
	t, since := g.tenure, g.tenureSince
	g.mu.Unlock()
	if reason == "" || t == nil || time.Since(g.searchedAt) < searchInterval || slow && time.Since(since) < minTenure {
		return
	}
	g.searchedAt = time.Now()
	peers := g.handoverCandidates(slow)
	if len(peers) == 0 {
		return
	}
	if !g.stopTenure(t, reason) {
		return
	}
	for _, n := range peers {
		if g.handOverTo(n, t) {
			return
		}
	}
	g.releaseKey(t)
}

// handoverCandidates returns the VMs that may get the cell, fastest first: those that are at least as strong as this
// one and that the store answers. If faster is set, they are also faster than this one by minSpeedup. In a large cell
// only a sample of the VMs is considered.
func (g *Group) handoverCandidates(faster bool) []Node {
	type candidate struct {
		node      Node
		probeTime time.Duration
	}
	others := selectVoters(slices.DeleteFunc(slices.Clone(g.Nodes()), func(n Node) bool { return n.Strength < g.self.Strength }), g.self.ID)
	replies := make(chan *candidate, len(others))
	for _, n := range others {
		go func() {
			client := g.client(n.Address)
			defer client.Close()
			p, err := ping(g.ctx, client, pingTimeout)
			if err != nil || !p.StoreAnswers {
				replies <- nil
				return
			}
			replies <- &candidate{n, p.ProbeTime}
		}()
	}
	g.mu.Lock()
	own := g.probeTimes.fastest()
	g.mu.Unlock()
	var list []candidate
	for range others {
		if f := <-replies; f != nil && (!faster || f.probeTime*minSpeedup < own) {
			list = append(list, *f)
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.probeTime, b.probeTime) })
	nodes := make([]Node, len(list))
	for i := range list {
		nodes[i] = list[i].node
	}
	return nodes
}

// handOverTo asks a VM to take the cell and reports whether it did.
func (g *Group) handOverTo(n Node, t *Tenure) bool {
	ctx, cancel := context.WithTimeout(g.ctx, takeTimeout)
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
