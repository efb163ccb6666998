package owner

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"turmericgap/rpc"
	"turmericgap/store"
	"turmericgap/store/follow"
)

const (
	// directoryInterval is the minimum time between two changes of the directory.
	directoryInterval = time.Second
	// peersInterval is how often a VM of a large cell asks for its peers, and peersRetry the pause after a question without
	// an answer. peersTimeout limits the question, which a candidate answers from memory.
	peersInterval = 10 * time.Second
	peersRetry    = 250 * time.Millisecond
	peersTimeout  = 300 * time.Millisecond
	// entrySeenWithin is how long after it was written a candidate has seen an entry.
	entrySeenWithin = 5 * time.Second
	// outsiderClaimSpread spreads the claims of the VMs that are no candidates, after those of the candidates.
	outsiderClaimSpread = 500 * time.Millisecond
)

// peersRequest asks a candidate for the peers of a VM.
type peersRequest struct {
	Node Node `msgpack:"n"`
}

// peersReply holds the peers of a VM. It is empty if the VM that was asked does not follow all others.
type peersReply struct {
	Peers []Node `msgpack:"p"`
	// Listed is set if the asking VM has an entry in the store.
	Listed bool `msgpack:"l"`
}

// Nodes returns the live entry VMs that this one knows, sorted by ID: all of them in a small cell, or if it is the owner or
// a candidate. The list is shared and must not be modified.
func (g *Group) Nodes() []Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.list()
}

// Peers returns the other VMs with which this one exchanges what it knows: all of them in a small cell, in a large one a few
// for each VM, so that each has as many. The list must not be modified.
func (g *Group) Peers() []Node {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.exchangePeers()
}

// IsLarge reports whether the cell is so large that most VMs know only some of the others.
func (g *Group) IsLarge() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.directory != nil
}

func (g *Group) contenders() (nodes []Node, all bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.contenders()
}

// followsMembers reports whether this VM follows the entries of all others.
func (g *Group) followsMembers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.directory == nil || g.members.inDirectory() || g.tenure != nil || g.ownerNode.ID == g.self.ID
}

func (g *Group) signalMembers() {
	select {
	case g.membersChanged <- struct{}{}:
	default:
	}
}

// membersLoop keeps what this VM knows of the others up to date. It waits until the directory is known, so that a VM that
// joins a large cell does not read the entries of all others first.
func (g *Group) membersLoop() {
	for g.ctx.Err() == nil {
		g.mu.Lock()
		synced := g.synced
		g.mu.Unlock()
		switch {
		case !synced:
			g.waitForMembersChange(g.ctx)
		case g.followsMembers():
			g.followMembers()
		default:
			g.learnPeers()
		}
	}
}

func (g *Group) waitForMembersChange(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-g.membersChanged:
	}
}

// followMembers follows the entries of all VMs for as long as this one has to.
func (g *Group) followMembers() {
	ctx, cancel := context.WithCancel(g.ctx)
	defer cancel()
	g.wg.Go(func() {
		defer cancel()
		for ctx.Err() == nil && g.followsMembers() {
			g.waitForMembersChange(ctx)
		}
	})
	f := follow.Follower{Store: g.store, Prefix: NodePrefix, OnReset: g.resetMembers, OnChange: g.changeMembers, Pause: g.memberPause, Logger: g.log}
	f.Run(ctx)
	if g.ctx.Err() == nil {
		g.mu.Lock()
		g.members.setNodes(nil)
		g.mu.Unlock()
	}
}

// memberPause returns how long to wait after changes of the VMs' entries.
func (g *Group) memberPause(int, int64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.pause()
}

func (g *Group) resetMembers(pairs []store.Pair, _ int64) {
	nodes := make(map[string]Node, len(pairs))
	for i := range pairs {
		n := g.decode(pairs[i])
		nodes[n.ID] = n
	}
	g.mu.Lock()
	g.members.setNodes(nodes)
	g.mu.Unlock()
	g.wakeClaim()
}

func (g *Group) changeMembers(events []store.Event, _ int64) {
	g.mu.Lock()
	for i := range events {
		if e := &events[i]; e.Deleted {
			g.members.remove(strings.TrimPrefix(e.Pair.Key, NodePrefix))
		} else {
			n := g.decode(e.Pair)
			g.members.add(&n)
		}
	}
	g.mu.Unlock()
	g.wakeClaim()
}

// learnPeers asks the candidates for this VM's peers until it has to follow all VMs.
func (g *Group) learnPeers() {
	pause := time.Duration(0)
	for g.ctx.Err() == nil && !g.followsMembers() {
		ctx, cancel := context.WithTimeout(g.ctx, pause)
		g.waitForMembersChange(ctx)
		cancel()
		if g.ctx.Err() != nil || g.followsMembers() {
			return
		}
		if pause = peersRetry; g.askPeers() {
			pause = peersInterval/2 + rand.N(peersInterval)
		}
	}
}

// askPeers asks one candidate for this VM's peers.
func (g *Group) askPeers() (answered bool) {
	contenders, _ := g.contenders()
	if len(contenders) == 0 {
		return false
	}
	client := g.client(contenders[rand.IntN(len(contenders))].Address)
	defer client.Close()
	ctx, cancel := context.WithTimeout(g.ctx, peersTimeout)
	defer cancel()
	reply, err := rpc.Call[peersRequest, peersReply](ctx, client, methodPeers, &peersRequest{Node: g.self})
	if err != nil || len(reply.Peers) == 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members.setPeers(reply.Peers)
	if !reply.Listed && time.Since(g.registeredAt) > entrySeenWithin {
		g.entryMissing = true
	}
	return true
}

func (g *Group) peersReply(in *peersRequest) *peersReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.members.followed {
		return &peersReply{}
	}
	_, listed := g.members.nodes[in.Node.ID]
	return &peersReply{Peers: peersOf(in.Node.Address, g.members.list(), peersPerVM), Listed: listed}
}

// registered reports whether this VM's entry is in the store as far as is known. Keys can be removed without any response
// that shows it, and the other VMs would then give this VM no work.
func (g *Group) registered() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.members.followed {
		missing := g.entryMissing
		g.entryMissing = false
		return !missing || g.leaving
	}
	_, ok := g.members.nodes[g.self.ID]
	return ok || g.leaving || time.Since(g.registeredAt) < g.renewInterval+2*g.members.pause()
}

// directoryLoop keeps the directory of a large cell up to date while this VM owns the cell.
func (g *Group) directoryLoop() {
	tick := time.NewTicker(directoryInterval)
	defer tick.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-tick.C:
		}
		g.mu.Lock()
		t, before, followed := g.tenure, g.members.directory, g.members.followed
		var next *directory
		if t != nil && followed {
			next = nextDirectory(g.members.list(), before)
		}
		g.mu.Unlock()
		if t != nil && followed && !sameCandidates(before, next) {
			g.writeDirectory(t, next)
		}
	}
}

// writeDirectory replaces the directory, or removes it if the cell is small.
func (g *Group) writeDirectory(t *Tenure, d *directory) {
	op := store.Op{Delete: true, Key: directoryKey}
	vms, candidates := 0, 0
	if d != nil {
		raw, err := msgpack.Marshal(d)
		if err != nil {
			g.log.Error("owner: cannot encode the directory of VMs", zap.Error(err))
			return
		}
		op = store.Op{Key: directoryKey, Value: raw}
		vms, candidates = d.VMs, len(d.Candidates)
	}
	ctx, cancel := context.WithTimeout(g.ctx, callTimeout)
	defer cancel()
	res, err := g.store.Txn(ctx, store.Txn{Compares: []store.Compare{t.Compare()}, Then: []store.Op{op}})
	g.log.Info("owner: directory of VMs written", zap.Int("vms", vms), zap.Int("candidates", candidates),
		zap.Bool("done", err == nil && res.Succeeded), zap.Error(err))
}

func (g *Group) decodeDirectory(p store.Pair) *directory {
	d := &directory{}
	if err := msgpack.Unmarshal(p.Value, d); err != nil {
		g.log.Error("owner: directory of VMs cannot be read", zap.Error(err))
		return nil
	}
	return d
}
