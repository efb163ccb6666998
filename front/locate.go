package front

import (
	"context"
	"sync"
	"time"

	"turmericgap/owner"
	"turmericgap/rpc"
)

const (
	// findOwnerTimeout limits the call that asks the other VMs for the owner; they answer from memory.
	findOwnerTimeout = 150 * time.Millisecond
	// ownerCacheTTL is how long their answer is reused, so that many callers share one call.
	ownerCacheTTL = 250 * time.Millisecond
)

// ownerCache holds the owner of the cell that the other VMs reported.
type ownerCache struct {
	mu        sync.Mutex
	node      owner.Node
	fence     int64
	updatedAt time.Time
}

// ownerReply is the owner of the cell that a VM knows; Fence is zero if it knows none.
type ownerReply struct {
	Node  owner.Node `msgpack:"n"`
	Fence int64      `msgpack:"f"`
}

func (f *Front) handleOwner(context.Context, *empty) (*ownerReply, error) {
	node, fence, ok := f.opts.Group.Owner()
	if !ok {
		return &ownerReply{}, nil
	}
	return &ownerReply{Node: node, Fence: fence}, nil
}

// findOwner returns the owner of the cell. While the store declines the calls of this VM, the VM does not learn of a
// new owner, and would send its callers to the former one and refuse them. It then asks the other VMs; the owner
// with the highest fence is the current one.
func (f *Front) findOwner(ctx context.Context) (owner.Node, bool) {
	node, fence, ok := f.opts.Group.Owner()
	if f.storeAnswers() {
		return node, ok
	}
	c := &f.ownerCache
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.updatedAt) > ownerCacheTTL {
		reply := f.queryOwner(ctx)
		c.node, c.fence, c.updatedAt = reply.Node, reply.Fence, time.Now()
	}
	if c.fence > fence {
		return c.node, true
	}
	return node, ok
}

// storeAnswers reports whether the store answers this VM, so that the watch of the group shows the current owner.
func (f *Front) storeAnswers() bool {
	_, failing := f.opts.StoreFailing()
	return !failing
}

// queryOwner asks this VM's peers in parallel for the owner and returns the reply with the highest fence. In a large cell
// they are a few VMs: were all asked, a third of them that the store declines would ask all others four times a second.
func (f *Front) queryOwner(ctx context.Context) *ownerReply {
	ctx, cancel := context.WithTimeout(ctx, findOwnerTimeout)
	defer cancel()
	nodes := f.opts.Group.Peers()
	replies := make(chan *ownerReply, len(nodes))
	asked := 0
	for i := range nodes {
		if nodes[i].ID == f.opts.Group.Self().ID {
			continue
		}
		asked++
		peer := f.opts.Peers.Get(nodes[i].Address)
		go func() {
			reply, err := rpc.Call[empty, ownerReply](ctx, peer, methodOwner, &empty{})
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
