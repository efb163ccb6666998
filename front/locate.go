package front

import (
	"context"
	"sync"
	"time"

	"turmericgap/owner"
	"turmericgap/rpc"
)

const (
	// locateWithin bounds the question to the other VMs who owns the cell; they answer from memory.
	locateWithin = 150 * time.Millisecond
	// locatedFor is how long their answer is used, so that many callers cost one question.
	locatedFor = 250 * time.Millisecond
)

// located is what the other VMs have told of the owner.
type located struct {
	mu    sync.Mutex
	node  owner.Node
	fence int64
	at    time.Time
}

// ownerReply tells whom a VM knows as the owner of the cell; no fence says that it knows none.
type ownerReply struct {
	Node  owner.Node `msgpack:"n"`
	Fence int64      `msgpack:"f"`
}

func (f *Front) serveOwner(context.Context, *none) (*ownerReply, error) {
	node, fence, ok := f.o.Group.Owner()
	if !ok {
		return &ownerReply{}, nil
	}
	return &ownerReply{Node: node, Fence: fence}, nil
}

// locate gives the owner of the cell. A VM whose calls the store declines learns nothing of a take-over: it
// would send its callers to the former owner, and refuse them, as long as that lasts. It asks the other VMs,
// the highest fence among their answers and its own is the newest owner.
func (f *Front) locate(ctx context.Context) (owner.Node, bool) {
	node, fence, ok := f.o.Group.Owner()
	if f.follows() {
		return node, ok
	}
	l := &f.located
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.at) > locatedFor {
		told := f.askOwner(ctx)
		l.node, l.fence, l.at = told.Node, told.Fence, time.Now()
	}
	if l.fence > fence {
		return l.node, true
	}
	return node, ok
}

// follows reports whether this VM hears from the store who owns the cell.
func (f *Front) follows() bool {
	_, failing := f.o.StoreFailing()
	return !failing
}

// askOwner asks all other VMs at the same time.
func (f *Front) askOwner(ctx context.Context) *ownerReply {
	ctx, cancel := context.WithTimeout(ctx, locateWithin)
	defer cancel()
	nodes := f.o.Group.Nodes()
	replies := make(chan *ownerReply, len(nodes))
	asked := 0
	for i := range nodes {
		if nodes[i].ID == f.o.Group.Self().ID {
			continue
		}
		asked++
		peer := f.o.Peers.Get(nodes[i].Address)
		go func() {
			reply, err := rpc.Call[none, ownerReply](ctx, peer, methodOwner, &none{})
			if err != nil {
				reply = &ownerReply{}
			}
			replies <- reply
		}()
	}
	newest := &ownerReply{}
	for range asked {
		if r := <-replies; r.Fence > newest.Fence {
			newest = r
		}
	}
	return newest
}
