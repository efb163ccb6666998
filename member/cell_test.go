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

var errCut = errors.New("cut")

// cell is one zone's schedulers on a store in memory and a network with faults.
type cell struct {
	*is.I
	svc   *memory.Service
	nodes map[string]*node // by ID

	mu  sync.Mutex
	cut map[[2]string]bool // from, to
	// lie makes every peer seem to promise what it has not heard of; a planted fault.
	lie bool
	// lag is what the answers to heartbeats take.
	lag  time.Duration
	vms  map[string]bool
	opts []Option
	wg   sync.WaitGroup
}

// node is one process: its group, its way to the store, and whether it is frozen.
type node struct {
	*Group
	faults memory.Faults
	mu     sync.Mutex
	thaw   chan struct{}
	dead   bool
	before func()
}

func run(t *testing.T, f func(c *cell)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		defer c.end()
		f(c)
	})
}

func newCell(t *testing.T) *cell {
	return &cell{
		I: is.New(t), svc: memory.New(), nodes: map[string]*node{}, cut: map[[2]string]bool{},
		vms: map[string]bool{},
	}
}

func (c *cell) end() {
	for _, n := range c.nodes {
		n.freeze(false)
		n.Stop()
	}
	c.wg.Wait()
}

// start runs a process; one of the same ID takes the address of the one before.
func (c *cell) start(id string, opts ...Option) *node {
	n := &node{before: func() {}}
	self := Member{ID: id, Role: RoleScheduler, Zone: testZone, Address: "10.0.0." + id, VM: "vm-" + id}
	c.list(true, id)
	all := append([]Option{Call(func(ctx context.Context, to string, b *Heartbeat) (*HeartbeatReply, error) {
		return c.carry(ctx, n, to[len("10.0.0."):], b)
	}), ListedVMs(c.listed)}, append(c.opts, opts...)...)
	n.Group = New(n.through(c.svc.Client(&n.faults)), self, all...)
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
	for vm, there := range c.vms {
		out[vm] = there
	}
	return out, true
}

func (c *cell) carry(ctx context.Context, from *node, to string, b *Heartbeat) (*HeartbeatReply, error) {
	from.awake(context.Background())
	c.mu.Lock()
	n, there, back := c.nodes[to], !c.cut[[2]string{from.self.ID, to}], !c.cut[[2]string{to, from.self.ID}]
	lie, lag := c.lie, c.lag
	c.mu.Unlock()
	if n == nil || n.isDead() || !there {
		<-ctx.Done()
		return nil, errCut
	}
	time.Sleep(time.Millisecond)
	n.awake(ctx)
	sent := *b
	if lie {
		sent.Ask = 0
	}
	if ctx.Err() != nil {
		return nil, errCut
	}
	r, err := n.HandleHeartbeat(ctx, &sent)
	time.Sleep(time.Millisecond + lag)
	if !back || n.isDead() || ctx.Err() != nil {
		<-ctx.Done()
		return nil, errCut
	}
	from.awake(context.Background())
	if err == nil && lie && b.Ask > 0 {
		r.Promised = true
	}
	return r, err
}

// list shows or drops processes' VMs in the VM list.
func (c *cell) list(shown bool, ids ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.vms["vm-"+id] = shown
	}
}

// cutFromStore cuts processes off from the store until they go on by promises.
func (c *cell) cutFromStore(ids ...string) {
	for _, id := range ids {
		c.nodes[id].faults.Cut(true)
	}
	time.Sleep(10 * time.Second)
}

// cutWay cuts or heals the way from one process to another, partition both ways.
func (c *cell) cutWay(from, to string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[[2]string{from, to}] = on
}

func (c *cell) partition(a, b string, on bool) {
	c.cutWay(a, b, on)
	c.cutWay(b, a, on)
}

// kill ends a process at once: nothing of it reaches anything any more.
func (c *cell) kill(id string) {
	n := c.nodes[id]
	n.mu.Lock()
	n.dead = true
	n.mu.Unlock()
	n.faults.Down(true)
	n.freeze(false)
	n.Stop()
}

func (c *cell) slow(lag time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lag = lag
}

func (n *node) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

// freeze holds back all that goes out of the process and comes in.
func (n *node) freeze(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case on && n.thaw == nil:
		n.thaw = make(chan struct{})
	case !on && n.thaw != nil:
		close(n.thaw)
		n.thaw = nil
	}
}

// awake waits while the process is frozen; a frozen callee's caller may give up.
func (n *node) awake(ctx context.Context) {
	n.mu.Lock()
	thaw := n.thaw
	n.mu.Unlock()
	if thaw != nil {
		select {
		case <-thaw:
		case <-ctx.Done():
		}
	}
}

// hold sets what runs once, before a transaction that removes a member, and gives what was set.
func (n *node) hold(f func()) func() {
	n.mu.Lock()
	defer n.mu.Unlock()
	was := n.before
	n.before = f
	return was
}

func (n *node) frozen() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.thaw != nil
}

// through makes a frozen process's store calls wait on both ways.
func (n *node) through(s *store.Store) *store.Store {
	out := *s
	out.Range = func(ctx context.Context, r store.Range) (store.RangeResult, error) {
		n.awake(context.Background())
		defer n.awake(context.Background())
		return s.Range(ctx, r)
	}
	out.Txn = func(ctx context.Context, t store.Txn) (store.TxnResult, error) {
		n.awake(context.Background())
		defer n.awake(context.Background())
		if len(t.Compares) > 2 {
			n.hold(func() {})()
		}
		return s.Txn(ctx, t)
	}
	out.KeepAlive = func(ctx context.Context, id int64) (time.Duration, error) {
		n.awake(context.Background())
		defer n.awake(context.Background())
		return s.KeepAlive(ctx, id)
	}
	return &out
}

func (n *node) owns() bool {
	_, _, ok := n.Owns()
	return ok
}

// until waits in virtual time for something to become true, and gives how long that took.
func (c *cell) until(most time.Duration, what func() bool) time.Duration {
	from := time.Now()
	for !what() {
		if time.Since(from) > most {
			c.Fail()
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(from)
}

// always looks every few milliseconds, for a time, that something stays true.
func (c *cell) always(d time.Duration, what func() bool) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		c.True(what())
	}
}

// owners counts the processes that would act as owner now; a frozen one cannot act.
func (c *cell) owners() int {
	count := 0
	for _, n := range c.nodes {
		if !n.frozen() && !n.isDead() && n.owns() {
			count++
		}
	}
	return count
}

// settle starts processes and waits until all are ready and know it.
func (c *cell) settle(ids ...string) {
	for _, id := range ids {
		c.start(id)
		time.Sleep(100 * time.Millisecond)
	}
	c.until(20*time.Second, func() bool { return c.ready(len(ids)) })
	time.Sleep(2 * time.Second)
}

func (c *cell) ready(count int) bool {
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

// epochKey gives the revision of the zone's epoch key, which the journal's commits compare.
func (c *cell) epochKey() int64 {
	got, err := c.svc.Store().Range(context.Background(), store.Range{Key: EpochKey(testZone)})
	c.NoErr(err)
	return got.Pairs[0].ModRevision
}
