package view

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/member"
	"turmericgap/rpc"
	"turmericgap/store/memory"
)

var errCut = errors.New("cut")

var zones = []string{"kochi-hall", "alappuzha-hall", "kollam-hall"}

// cell is entry VMs over all zones, each with a scheduler and a gate, on a store in memory.
type cell struct {
	*is.I
	svc *memory.Service
	vms []*vm
	// pool calls the processes over pipes.
	pool *rpc.Pool

	mu   sync.Mutex
	at   map[string]*process // by address
	cut  map[[2]string]bool  // by addresses
	list VMList
}

// vm is one entry VM.
type vm struct {
	scheduler, gate *process
	keeper          *Keeper
	follower        *Follower
}

// process is one process and its way to the store.
type process struct {
	group  *member.Group
	faults memory.Faults
	server *rpc.Server
	view   func() *View
	dead   bool
	close  func()
}

func run(t *testing.T, vms int, f func(c *cell)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cell{
			I: is.New(t), svc: memory.New(), at: map[string]*process{}, cut: map[[2]string]bool{},
			list: VMList{Version: 1, Entries: map[string]bool{}},
		}
		c.pool = rpc.NewPool(rpc.Dial(c.dial))
		for i := range vms {
			c.list.Entries[fmt.Sprint(i)] = true
		}
		for i := range vms {
			c.vms = append(c.vms, c.start(i))
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		defer time.Sleep(2 * followWait) // Calls that wait at a Keeper end.
		defer c.pool.Close()
		defer c.each(c.kill)
		f(c)
	})
}

func (c *cell) dial(_ context.Context, address string) (net.Conn, error) {
	near, far := net.Pipe()
	c.mu.Lock()
	defer c.mu.Unlock()
	go c.at[address].server.ServeConn(far)
	return near, nil
}

func (c *cell) start(i int) *vm {
	v := &vm{scheduler: &process{server: rpc.NewServer()}, gate: &process{server: rpc.NewServer()}}
	self := member.Member{Zone: zones[i%len(zones)], VM: fmt.Sprint(i), ID: fmt.Sprint(i)}
	self.Role, self.Address = member.RoleScheduler, fmt.Sprintf("10.0.0.%d:1", i)
	v.keeper = New(c.svc.Client(&v.scheduler.faults), append(c.wire(v.scheduler, self, func(m member.Member, n int64) { v.keeper.NotifyNewerRules(m, n) }),
		List(func(context.Context) (VMList, error) { c.mu.Lock(); defer c.mu.Unlock(); return c.list, nil }))...)
	v.scheduler.view = v.keeper.View
	v.keeper.Register(v.scheduler.server)
	beside := self.Address
	self.Role, self.Address = member.RoleGate, fmt.Sprintf("10.0.0.%d:2", i)
	v.follower = NewFollower(beside, c.wire(v.gate, self, func(m member.Member, n int64) { v.follower.NotifyNewerRules(m, n) })...)
	v.gate.view = v.follower.View
	v.follower.Register(v.gate.server)
	v.scheduler.close = func() { v.keeper.Close(); v.scheduler.group.Stop() }
	v.gate.close = func() { v.follower.Close(); v.gate.group.Stop() }
	c.mu.Lock()
	c.at[beside], c.at[self.Address] = v.scheduler, v.gate
	c.mu.Unlock()
	v.keeper.Start(context.Background())
	v.follower.Start(context.Background())
	_ = v.scheduler.group.Start(context.Background())
	_ = v.gate.group.Start(context.Background())
	return v
}

// wire makes the group of a process, and gives the options of its view.
func (c *cell) wire(p *process, self member.Member, heard func(member.Member, int64)) []Option {
	p.group = member.New(c.svc.Client(&p.faults), self,
		member.ListedVMs(func() (map[string]bool, bool) { return p.view().ListedVMs() }),
		member.Rules(func() int64 { return p.view().Rules.Version }, heard),
		member.Call(func(ctx context.Context, to string, b *member.Heartbeat) (*member.HeartbeatReply, error) {
			return call[member.Heartbeat, member.HeartbeatReply](ctx, c, [2]string{self.Address, to}, member.HeartbeatMethod, b)
		}))
	rpc.Handle(p.server, member.HeartbeatMethod, p.group.HandleHeartbeat)
	return []Option{
		Self(self), Groups(p.group),
		CallRules(func(ctx context.Context, to string, q *RulesRequest) (*RulesReply, error) {
			return call[RulesRequest, RulesReply](ctx, c, [2]string{self.Address, to}, RulesMethod, q)
		}),
		CallNext(func(ctx context.Context, to string, q *NextRequest) (*NextReply, error) {
			return call[NextRequest, NextReply](ctx, c, [2]string{self.Address, to}, NextMethod, q)
		}),
	}
}

func (c *cell) kill(p *process) {
	c.mu.Lock()
	was := p.dead
	p.dead = true
	c.mu.Unlock()
	if !was {
		p.faults.Down(true)
		p.close()
	}
}

// call goes by rpc over a pipe, a millisecond each way, unless the way is cut.
func call[Req, Resp any](ctx context.Context, c *cell, way [2]string, method string, q *Req) (*Resp, error) {
	c.mu.Lock()
	p, cut := c.at[way[1]], c.cut[way] || c.cut[[2]string{way[1], way[0]}]
	dead := p == nil || p.dead
	c.mu.Unlock()
	if dead {
		return nil, errCut
	}
	if cut {
		<-ctx.Done()
		return nil, errCut
	}
	time.Sleep(time.Millisecond)
	r, err := rpc.Call[Req, Resp](ctx, c.pool.Get(way[1]), method, q)
	time.Sleep(time.Millisecond)
	return r, err
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

// inForce says that every live process has rules of a version, or newer ones.
func (c *cell) inForce(version int64) func() bool {
	return func() bool {
		for _, p := range c.at {
			if !p.dead && p.view().Rules.Version < version {
				return false
			}
		}
		return true
	}
}

func (c *cell) each(f func(p *process)) {
	for _, p := range c.at {
		f(p)
	}
}

// isolate cuts or heals all ways of a process but those to the others named.
func (c *cell) isolate(address string, on bool, but ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other := range c.at {
		if !slices.Contains(but, other) {
			c.cut[[2]string{address, other}] = on
		}
	}
}

func (c *cell) edit(base int64, raw string) (int64, error) {
	return SetRules(context.Background(), c.svc.Store(), Edit{BaseVersion: base, Raw: []byte(raw), Editor: "asha"})
}
