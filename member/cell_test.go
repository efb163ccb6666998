package member

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/store"
	"turmericgap/store/memory"
)

const testZone = "kochi-hall"

var errUnreachable = errors.New("peer unreachable")

// cell runs the schedulers of one zone on an in-memory store and a network with injected faults.
type cell struct {
	*is.I
	svc   *memory.Service
	nodes map[string]*node // by ID

	mu      sync.Mutex
	blocked map[[2]string]bool // by sender and receiver
	// fakePromises is an injected fault: every reply contains a promise that the peer was not asked for.
	fakePromises bool
	// replyDelay delays the replies to heartbeats.
	replyDelay time.Duration
	listedVMs  map[string]bool
	opts       []Option
	wg         sync.WaitGroup
}

// node is one process: its group, its store faults, and whether it is frozen.
type node struct {
	*Group
	faults        memory.Faults
	mu            sync.Mutex
	thawed        chan struct{}
	dead          bool
	beforeRemoval func()
}

func runCell(t *testing.T, f func(c *cell)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		defer c.close()
		f(c)
	})
}

func newCell(t *testing.T) *cell {
	return &cell{
		I: is.New(t), svc: memory.New(), nodes: map[string]*node{}, blocked: map[[2]string]bool{},
		listedVMs: map[string]bool{},
	}
}

func (c *cell) close() {
	for _, n := range c.nodes {
		n.freeze(false)
		n.Stop()
	}
	c.wg.Wait()
}

// start runs a process; it takes over the address of an earlier process with the same ID.
func (c *cell) start(id string, opts ...Option) *node {
	n := &node{beforeRemoval: func() {}}
	self := Member{ID: id, Role: RoleScheduler, Zone: testZone, Address: "10.0.0." + id, VM: "vm-" + id}
	c.setListed(true, id)
	all := append([]Option{Call(func(ctx context.Context, to string, b *Heartbeat) (*HeartbeatReply, error) {
		return c.deliver(ctx, n, to[len("10.0.0."):], b)
	}), ListedVMs(c.listed)}, append(c.opts, opts...)...)
	n.Group = New(n.wrapStore(c.svc.Client(&n.faults)), self, all...)
	c.mu.Lock()
	c.nodes[id] = n
	c.mu.Unlock()
	_ = n.Start(context.Background())
	return n
}

func (c *cell) listed() (map[string]bool, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]bool{}
	for vm, shown := range c.listedVMs {
		out[vm] = shown
	}
	return out, true
}

func (c *cell) deliver(ctx context.Context, from *node, to string, b *Heartbeat) (*HeartbeatReply, error) {
	from.waitThawed(context.Background())
	c.mu.Lock()
	n, canSend, canReply := c.nodes[to], !c.blocked[[2]string{from.self.ID, to}], !c.blocked[[2]string{to, from.self.ID}]
	fake, delay := c.fakePromises, c.replyDelay
	c.mu.Unlock()
	if n == nil || n.isDead() || !canSend {
		<-ctx.Done()
		return nil, errUnreachable
	}
	time.Sleep(time.Millisecond)
	n.waitThawed(ctx)
	sent := *b
	if fake {
		sent.Ask = 0
	}
	if ctx.Err() != nil {
		return nil, errUnreachable
	}
	r, err := n.HandleHeartbeat(ctx, &sent)
	time.Sleep(time.Millisecond + delay)
	if !canReply || n.isDead() || ctx.Err() != nil {
		<-ctx.Done()
		return nil, errUnreachable
	}
	from.waitThawed(context.Background())
	if err == nil && fake && b.Ask > 0 {
		r.Promised = true
	}
	return r, err
}

// setListed shows or hides the VMs of processes in the VM list.
func (c *cell) setListed(shown bool, ids ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.listedVMs["vm-"+id] = shown
	}
}

// cutFromStore disconnects processes from the store and waits until they act by promises.
func (c *cell) cutFromStore(ids ...string) {
	for _, id := range ids {
		c.nodes[id].faults.Cut(true)
	}
	time.Sleep(10 * time.Second)
}

// setBlocked blocks or restores the network from one process to another; partition does so in both directions.
func (c *cell) setBlocked(from, to string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked[[2]string{from, to}] = on
}

func (c *cell) partition(a, b string, on bool) {
	c.setBlocked(a, b, on)
	c.setBlocked(b, a, on)
}

// kill ends a process at once; it sends and receives nothing from then on.
func (c *cell) kill(id string) {
	n := c.nodes[id]
	n.mu.Lock()
	n.dead = true
	n.mu.Unlock()
	n.faults.Down(true)
	n.freeze(false)
	n.Stop()
}

func (c *cell) setReplyDelay(delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replyDelay = delay
}

func (n *node) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

// freeze blocks everything that the process sends and receives.
func (n *node) freeze(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case on && n.thawed == nil:
		n.thawed = make(chan struct{})
	case !on && n.thawed != nil:
		close(n.thawed)
		n.thawed = nil
	}
}

// waitThawed waits while the process is frozen; the caller of a frozen process may give up.
func (n *node) waitThawed(ctx context.Context) {
	n.mu.Lock()
	thawed := n.thawed
	n.mu.Unlock()
	if thawed != nil {
		select {
		case <-thawed:
		case <-ctx.Done():
		}
	}
}

// setBeforeRemoval sets a function to run once before a transaction that removes a member, and returns the previous
// one.
func (n *node) setBeforeRemoval(f func()) func() {
	n.mu.Lock()
	defer n.mu.Unlock()
	previous := n.beforeRemoval
	n.beforeRemoval = f
	return previous
}

func (n *node) frozen() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.thawed != nil
}

// wrapStore returns a store whose calls wait while the process is frozen, both before and after the call.
func (n *node) wrapStore(s *store.Store) *store.Store {
	out := *s
	out.Range = func(ctx context.Context, r store.Range) (store.RangeResult, error) {
		n.waitThawed(context.Background())
		defer n.waitThawed(context.Background())
		return s.Range(ctx, r)
	}
	out.Txn = func(ctx context.Context, t store.Txn) (store.TxnResult, error) {
		n.waitThawed(context.Background())
		defer n.waitThawed(context.Background())
		if len(t.Compares) > 2 {
			n.setBeforeRemoval(func() {})()
		}
		return s.Txn(ctx, t)
	}
	out.KeepAlive = func(ctx context.Context, id int64) (time.Duration, error) {
		n.waitThawed(context.Background())
		defer n.waitThawed(context.Background())
		return s.KeepAlive(ctx, id)
	}
	return &out
}

func (n *node) isOwner() bool {
	_, _, ok := n.Owns()
	return ok
}

// waitUntil waits in virtual time until a condition is true, and returns how long that took.
func (c *cell) waitUntil(timeout time.Duration, condition func() bool) time.Duration {
	start := time.Now()
	for !condition() {
		if time.Since(start) > timeout {
			c.Fail()
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// checkFor checks every few milliseconds for a period that a condition stays true.
func (c *cell) checkFor(d time.Duration, condition func() bool) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		c.True(condition())
	}
}

// ownerCount counts the processes that would act as owner now; a frozen one cannot act.
func (c *cell) ownerCount() int {
	count := 0
	for _, n := range c.nodes {
		if !n.frozen() && !n.isDead() && n.isOwner() {
			count++
		}
	}
	return count
}

// startAll starts processes and waits until all are ready and know it.
func (c *cell) startAll(ids ...string) {
	for _, id := range ids {
		c.start(id)
		time.Sleep(100 * time.Millisecond)
	}
	c.waitUntil(20*time.Second, func() bool { return c.allReady(len(ids)) })
	time.Sleep(2 * time.Second)
}

func (c *cell) allReady(count int) bool {
	for _, n := range c.nodes {
		if n.isDead() {
			continue
		}
		t := n.Table()
		if len(t.Members) != count || !n.Valid() {
			return false
		}
		for _, m := range t.Members {
			if m.State != Ready {
				return false
			}
		}
	}
	return true
}

// epochKey returns the revision of the zone's epoch key, which the journal's commits compare.
func (c *cell) epochKey() int64 {
	got, err := c.svc.Store().Range(context.Background(), store.Range{Key: EpochKey(testZone)})
	c.NoErr(err)
	return got.Pairs[0].ModRevision
}
