package owner

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"turmericgap/rpc"
)

const (
	// pingInterval is the pause between two pings of the owner by a candidate.
	pingInterval = 100 * time.Millisecond
	// connectTimeout bounds the opening of a connection: a hundred times the network latency between zones. The
	// operating system of the remote VM accepts the connection, however busy the process there is.
	connectTimeout = 100 * time.Millisecond
	// pingTimeout bounds the response to the first ping. It doubles with each missed ping.
	pingTimeout = 100 * time.Millisecond
	// maxMissedPings is how many consecutive pings must be missed before the other VMs are asked: 0.3 s for an
	// owner that is unreachable, 0.7 s for one that still accepts connections.
	maxMissedPings = 3
	// voteTimeout bounds the ping that a voter sends to the owner.
	voteTimeout = pingTimeout << (maxMissedPings - 1)
	// agreeTimeout bounds a vote: a connection and a ping by each voter, and the network latency to the voters.
	agreeTimeout = connectTimeout + voteTimeout + 50*time.Millisecond
	// maxVotersUnsampled is the number of VMs up to which all are asked; in a larger cell, votersPerZone VMs of
	// each availability zone are asked. If every VM of a large cell called an owner that may only be busy, the
	// calls alone would keep it busy.
	maxVotersUnsampled = 16
	votersPerZone      = 3
)

// RPC methods between the VMs.
const (
	methodPing  = "Owner.Ping"
	methodReach = "Owner.Reach"
	methodTake  = "Owner.Take"
	methodPeers = "Owner.Peers"
)

type empty struct{}

// pingReply is the state of a VM, as returned by a ping.
type pingReply struct {
	// Fence is the fencing token of the tenure, zero if the VM does not own the cell.
	Fence int64 `msgpack:"f"`
	// StoreAnswers is set if the store answers the VM.
	StoreAnswers bool `msgpack:"s"`
	// ProbeTime is the shortest recent duration of the CPU probe.
	ProbeTime time.Duration `msgpack:"p"`
}

type reachRequest struct {
	Node Node `msgpack:"n"`
}

type reachReply struct {
	Reached bool `msgpack:"r"`
}

type takeRequest struct {
	Fence int64 `msgpack:"f"`
}

type takeReply struct {
	Taken bool `msgpack:"t"`
}

// Register registers the RPC methods with which other VMs ping this VM, ask whether it reaches the owner, and hand
// the cell over to it.
func (g *Group) Register(s *rpc.Server) {
	rpc.Handle(s, methodPing, func(context.Context, *empty) (*pingReply, error) { return g.pingReply(), nil })
	rpc.Handle(s, methodReach, func(ctx context.Context, in *reachRequest) (*reachReply, error) {
		client := g.client(in.Node.Address)
		defer client.Close()
		_, err := ping(ctx, client, voteTimeout)
		return &reachReply{Reached: err == nil}, nil
	})
	rpc.Handle(s, methodPeers, func(_ context.Context, in *peersRequest) (*peersReply, error) { return g.peersReply(in), nil })
	rpc.Handle(s, methodTake, func(_ context.Context, in *takeRequest) (*takeReply, error) {
		return &takeReply{Taken: g.storeAnswers() && g.mayClaim() && g.tryClaim(in.Fence)}, nil
	})
}

func (g *Group) pingReply() *pingReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := &pingReply{StoreAnswers: g.storeAnswers(), ProbeTime: g.probeTimes.fastest()}
	if g.tenure != nil {
		p.Fence = g.tenure.Fence
	}
	return p
}

// storeAnswers reports whether the store answers this VM.
func (g *Group) storeAnswers() bool {
	_, failing := g.storeFailing()
	return !failing
}

// ping calls a VM. The response may take up to timeout after the connection is open.
func ping(ctx context.Context, c *rpc.Client, timeout time.Duration) (*pingReply, error) {
	if err := connect(ctx, c); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return rpc.Call[empty, pingReply](ctx, c, methodPing, &empty{})
}

func connect(ctx context.Context, c *rpc.Client) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return c.Connect(ctx)
}

// takeoverLoop takes the cell over from an owner that is dead, frozen or cut off, as soon as most VMs agree that it
// is silent. With the lease alone, the cell would stand still for 1.2 s, too long for any check to be in time. The
// key is replaced only if it has not changed: an owner that is alive after all is refused by the store and fenced
// by the workers, as after an expired lease.
func (g *Group) takeoverLoop() {
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	var monitor ownerMonitor
	defer monitor.close()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-tick.C:
		}
		g.probeCPU()
		node, fence, ok := g.Owner()
		if !ok || !g.isCandidate(node) {
			monitor.close()
			continue
		}
		if monitor.ownerSilent(g, node, fence) && g.storeAnswers() && g.mayClaim() && g.votersAgree(node) {
			g.log.Info("owner: most VMs agree that the owner is silent", zap.String("owner", node.ID), zap.Int64("fence", fence))
			g.tryClaim(fence)
			monitor.close()
		}
	}
}

// ownerMonitor pings the owner for a candidate.
type ownerMonitor struct {
	fence  int64
	client *rpc.Client
	misses int
}

func (w *ownerMonitor) close() {
	if w.client != nil {
		w.client.Close()
	}
	*w = ownerMonitor{}
}

// ownerSilent sends one ping and reports whether the owner has been silent for long enough. Each miss closes the
// connection, since the connection alone may be broken.
//
// An owner with hundreds of calls to make responds late. If it were considered dead, its successor would have the
// same calls to make and all workers to contact as well, and would be considered dead in turn: the cell would get a
// new owner each second, and none would start anything. So the timeout doubles with each ping. A dead or
// unreachable VM accepts no connection, which distinguishes it from a busy one.
func (w *ownerMonitor) ownerSilent(g *Group, node Node, fence int64) (silent bool) {
	if w.fence != fence {
		w.close()
		w.fence = fence
	}
	if w.client == nil {
		w.client = g.client(node.Address)
	}
	_, err := ping(g.ctx, w.client, pingTimeout<<min(w.misses, maxMissedPings-1))
	if err == nil {
		w.misses = 0
		return false
	}
	w.client.Close()
	w.client = nil
	if w.misses++; errors.Is(err, syscall.ECONNREFUSED) {
		w.misses = maxMissedPings // no process is listening
	}
	return w.misses >= maxMissedPings
}

// isCandidate reports whether this VM watches the owner for its zone: it does if it is the first of the zone in the
// order of claims. One candidate per zone is enough, and keeps the number of pings to the owner low in a large
// cell.
func (g *Group) isCandidate(of Node) bool {
	contenders, all := g.contenders()
	if of.ID == g.self.ID || !all && !contains(contenders, g.self.ID) {
		return false
	}
	for i := range contenders {
		n := &contenders[i]
		if n.Zone == g.self.Zone && n.ID != of.ID && n.ID != g.self.ID && n.precedes(&g.self) {
			return false
		}
	}
	return true
}

// precedes reports whether n claims the cell before o.
func (n *Node) precedes(o *Node) bool {
	return n.Strength > o.Strength || n.Strength == o.Strength && n.ID < o.ID
}

// selectVoters returns the VMs to ask. In a large cell it returns at most votersPerZone VMs of each availability
// zone, so that a single zone that is cut off is never half of them. The VMs in without are left out: the subject
// of the question and the VM that asks.
func selectVoters(nodes []Node, without ...string) []Node {
	others := slices.DeleteFunc(slices.Clone(nodes), func(n Node) bool { return slices.Contains(without, n.ID) })
	if len(others) <= maxVotersUnsampled {
		return others
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	taken := make(map[string]int)
	return slices.DeleteFunc(others, func(n Node) bool {
		taken[n.Zone]++
		return taken[n.Zone] > votersPerZone
	})
}

// vote is the answer of a VM that was asked whether it reaches the owner.
type vote struct {
	zone string
	// known is set if the VM answered, reached if it reaches the owner. dead is set if no process listens at its address.
	known, reached, dead bool
}

// votersAgree asks other VMs whether they reach the owner. Without this, a VM that is cut off from the others would take the
// cell from an owner that serves everybody else.
func (g *Group) votersAgree(on Node) bool {
	ctx, cancel := context.WithTimeout(g.ctx, agreeTimeout)
	defer cancel()
	others := selectVoters(g.Nodes(), on.ID, g.self.ID)
	answers := make(chan vote, len(others))
	for i := range others {
		go func() {
			client := g.client(others[i].Address)
			defer client.Close()
			reply, err := rpc.Call[reachRequest, reachReply](ctx, client, methodReach, &reachRequest{Node: on})
			answers <- vote{zone: others[i].Zone, known: err == nil, reached: err == nil && reply.Reached, dead: errors.Is(err, syscall.ECONNREFUSED)}
		}()
	}
	var votes []vote
	for range others {
		v := <-answers
		if v.reached {
			return false
		}
		votes = append(votes, v)
	}
	return agree(votes)
}

// agree reports whether the votes, of which none reaches the owner, are enough to take the cell from it: at least half of
// the VMs that were asked, or of those that are alive if VMs of two availability zones have answered.
//
// It answers a load in which most VMs are killed at the same moment, and the owner with them. The dead cannot answer, and the
// cell would stand still until the owner's lease has expired. A VM that is cut off may find all connections refused, but it
// hears from its own zone only.
func agree(votes []vote) bool {
	silent, dead := 0, 0
	zones := make(map[string]bool)
	for _, v := range votes {
		switch {
		case v.known:
			silent++
			zones[v.zone] = true
		case v.dead:
			dead++
		}
	}
	asked := len(votes)
	if len(zones) > 1 {
		asked -= dead
	}
	return silent > 0 && 2*silent >= asked
}
