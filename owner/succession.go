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
	// pingEvery is the pause between two pings of the owner by a candidate.
	pingEvery = 100 * time.Millisecond
	// reachWithin is how long the opening of a connection may take: a hundred times the way between zones. The
	// system of a VM opens it, however busy the program there is.
	reachWithin = 100 * time.Millisecond
	// pingWithin is how long the answer to a first ping may take, twice as long after each that had none.
	pingWithin = 100 * time.Millisecond
	// pingsMost is how many pings in a row have no answer before the other VMs are asked: 0.3 s after an owner
	// that cannot be reached any more, 0.7 s after one to which connections are opened still.
	pingsMost = 3
	// voteWithin is how long the answer to the ping of a VM that is asked may take.
	voteWithin = pingWithin << (pingsMost - 1)
	// agreeWithin bounds that question: a connection and a ping by each of them, and the way there.
	agreeWithin = reachWithin + voteWithin + 50*time.Millisecond
	// askAll is up to how many VMs are all asked, votersOfZone how many of each availability zone in a larger
	// cell. If each VM of a large cell called an owner that may only be busy, that alone would keep it busy.
	askAll       = 16
	votersOfZone = 3
)

// Methods between the VMs.
const (
	methodPing  = "Owner.Ping"
	methodReach = "Owner.Reach"
	methodTake  = "Owner.Take"
)

type none struct{}

// pong is what a VM tells of itself.
type pong struct {
	// Fence is the token under which the VM owns the cell, zero if it does not.
	Fence int64 `msgpack:"f"`
	// Served says that the store answers it.
	Served bool `msgpack:"s"`
	// Pace is how long it takes for a fixed piece of work.
	Pace time.Duration `msgpack:"p"`
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

// Register lets other VMs ping this one, ask it whom it reaches, and hand the cell over to it.
func (g *Group) Register(s *rpc.Server) {
	rpc.Handle(s, methodPing, func(context.Context, *none) (*pong, error) { return g.pong(), nil })
	rpc.Handle(s, methodReach, func(ctx context.Context, in *reachRequest) (*reachReply, error) {
		client := g.client(in.Node.Address)
		defer client.Close()
		_, err := ping(ctx, client, voteWithin)
		return &reachReply{Reached: err == nil}, nil
	})
	rpc.Handle(s, methodTake, func(_ context.Context, in *takeRequest) (*takeReply, error) {
		return &takeReply{Taken: g.served() && g.mayClaim() && g.try(in.Fence)}, nil
	})
}

func (g *Group) pong() *pong {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := &pong{Served: g.served(), Pace: g.paces.least()}
	if g.tenure != nil {
		p.Fence = g.tenure.Fence
	}
	return p
}

// served reports whether the store answers this VM.
func (g *Group) served() bool {
	_, failing := g.failing()
	return !failing
}

// ping waits for an answer no longer than within, after the connection is open.
func ping(ctx context.Context, c *rpc.Client, within time.Duration) (*pong, error) {
	if err := connect(ctx, c); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	return rpc.Call[none, pong](ctx, c, methodPing, &none{})
}

func connect(ctx context.Context, c *rpc.Client) error {
	ctx, cancel := context.WithTimeout(ctx, reachWithin)
	defer cancel()
	return c.Connect(ctx)
}

// succeed takes the cell over from an owner that is dead, frozen or cut off, as soon as most VMs agree that
// it is silent. Its lease alone would keep the cell standing for 1.2 s, in which no check is in time.
// The key is replaced under the condition that it has not changed: an owner that lives after all is refused
// by the store and fenced by the workers, as after a lapse.
func (g *Group) succeed() {
	tick := time.NewTicker(pingEvery)
	defer tick.Stop()
	var watched watched
	defer watched.close()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-tick.C:
		}
		g.takePace()
		node, fence, ok := g.Owner()
		if !ok || !g.candidate(node) {
			watched.close()
			continue
		}
		if watched.pings(g, node, fence) && g.served() && g.mayClaim() && g.agreed(node) {
			g.log.Info("owner: most VMs agree that the owner is silent", zap.String("owner", node.ID), zap.Int64("fence", fence))
			g.try(fence)
			watched.close()
		}
	}
}

// watched is the owner that a candidate pings.
type watched struct {
	fence  int64
	client *rpc.Client
	misses int
}

func (w *watched) close() {
	if w.client != nil {
		w.client.Close()
	}
	*w = watched{}
}

// pings sends one ping, and reports whether the owner has been silent for long enough. Each miss gives the
// connection up, since it may be that alone which has gone silent.
//
// An owner that has hundreds of calls to make answers late. Taken for dead, it would be replaced by one that has
// the same to do and all workers to meet besides, which would be taken for dead in turn: the cell would have a new
// owner each second, and none would start anything. So each ping waits for twice as long as the one before. A VM
// that is dead or cut off opens no connection, and is told from a busy one by that.
func (w *watched) pings(g *Group, node Node, fence int64) (silent bool) {
	if w.fence != fence {
		w.close()
		w.fence = fence
	}
	if w.client == nil {
		w.client = g.client(node.Address)
	}
	_, err := ping(g.ctx, w.client, pingWithin<<min(w.misses, pingsMost-1))
	if err == nil {
		w.misses = 0
		return false
	}
	w.client.Close()
	w.client = nil
	if w.misses++; errors.Is(err, syscall.ECONNREFUSED) {
		w.misses = pingsMost // nobody listens there
	}
	return w.misses >= pingsMost
}

// candidate reports whether this VM is the one of its zone that watches an owner: the first in the order of
// claims. One for each zone is enough, and costs the owner few pings in a large cell.
func (g *Group) candidate(of Node) bool {
	if of.ID == g.self.ID {
		return false
	}
	for _, n := range g.Nodes() {
		if n.Zone == g.self.Zone && n.ID != of.ID && n.ID != g.self.ID && n.before(&g.self) {
			return false
		}
	}
	return true
}

// before reports whether a node goes before another in claims.
func (n *Node) before(o *Node) bool {
	return n.Strength > o.Strength || n.Strength == o.Strength && n.ID < o.ID
}

// voters chooses who is asked, as many of each availability zone: a zone that is cut off alone is then never half
// of them. Without without, the VMs that the question is about and by.
func voters(nodes []Node, without ...string) []Node {
	others := slices.DeleteFunc(slices.Clone(nodes), func(n Node) bool { return slices.Contains(without, n.ID) })
	if len(others) <= askAll {
		return others
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	taken := make(map[string]int)
	return slices.DeleteFunc(others, func(n Node) bool {
		taken[n.Zone]++
		return taken[n.Zone] > votersOfZone
	})
}

// agreed asks other VMs whether they reach the owner. It takes at least one, and half of them, that do not:
// a VM that is cut off from the rest would else take the cell away from an owner that serves everybody.
func (g *Group) agreed(on Node) bool {
	ctx, cancel := context.WithTimeout(g.ctx, agreeWithin)
	defer cancel()
	others := voters(g.Nodes(), on.ID, g.self.ID)
	type vote struct{ reached, known bool }
	votes := make(chan vote, len(others))
	for i := range others {
		go func() {
			client := g.client(others[i].Address)
			defer client.Close()
			reply, err := rpc.Call[reachRequest, reachReply](ctx, client, methodReach, &reachRequest{Node: on})
			votes <- vote{known: err == nil, reached: err == nil && reply.Reached}
		}()
	}
	silent := 0
	for range others {
		switch v := <-votes; {
		case v.reached:
			return false
		case v.known:
			silent++
		}
	}
	return silent > 0 && 2*silent >= len(others)
}
