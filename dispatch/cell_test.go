package dispatch_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"turmericgap/configuration"
	"turmericgap/dispatch"
	"turmericgap/front"
	"turmericgap/job"
	"turmericgap/owner"
	"turmericgap/permit"
	"turmericgap/relay"
	"turmericgap/rpc"
	"turmericgap/standin/floor"
	"turmericgap/store"
	"turmericgap/store/health"
	"turmericgap/store/memory"
	"turmericgap/worker"
)

const (
	workersPrefix = "workers/"
	pool          = "course-desk"
	mostHold      = 10 * time.Second
)

// cell is a whole cell in one process, under the test's clock: the store, workers, and entry VMs whose
// links can be cut.
type cell struct {
	t      *testing.T
	kv     *memory.Service
	floor  *floor.Cluster
	config *job.Config
	// permits gives the answer of the policy service; nil allows every worker at once.
	permits func(q *permit.Request) ([]string, time.Duration)

	// onExamined lets what the owner looks at take time; nil takes none.
	onExamined func(looks int)
	// directWorkers is how many workers a VM reaches by itself; zero stands for all, without relays.
	directWorkers int
	// cloud carries out upkeep, if there is one.
	cloud *cloud

	mu  sync.Mutex
	vms map[string]*vm
}

// vm is an entry VM.
type vm struct {
	id     string
	store  memory.Faults
	group  *owner.Group
	disp   *dispatch.Dispatcher
	front  *front.Front
	server *rpc.Server
	peers  *rpc.Pool
	relays *relay.Relays
	relay  *relay.Server
	// workersCut cuts its connections to workers.
	workersCut atomic.Bool
	// peersCut cuts its new connections to other VMs.
	peersCut atomic.Bool
	// relayedCalls counts the calls that it has made for an owner, callDelay is how late it makes them. repliesCut cuts its
	// connections to other VMs, replyDelay is how late it answers on them.
	relayedCalls atomic.Int64
	callDelay    atomic.Int64
	replyDelay   atomic.Int64
	repliesCut   atomic.Bool
	// overloaded makes its work take ten times as long, so that it cannot keep up.
	overloaded atomic.Bool
	// replyDelayAsOwner is how late it answers other VMs while it owns the cell.
	replyDelayAsOwner atomic.Int64
	dead              atomic.Bool
}

func newCell(t *testing.T, behave func(worker.Task, int64) floor.Behaviour, vms ...string) *cell {
	c := &cell{
		t: t, kv: memory.New(), floor: floor.New(behave), vms: make(map[string]*vm),
		config: &job.Config{Version: 1, Queues: []job.Queue{{
			Name: "roster", Pool: pool, MaxAttempts: 2, SlackFactor: 2, TargetDuration: time.Second,
		}}},
	}
	for _, id := range vms {
		c.boot(id)
	}
	t.Cleanup(func() {
		for _, v := range c.vms {
			c.kill(v)
		}
		time.Sleep(time.Second) // calls between the VMs that were under way
	})
	return c
}

func (c *cell) boot(id string) *vm { return c.bootStrong(id, 1) }

// bootStrong starts a VM of some strength.
func (c *cell) bootStrong(id string, strength int) *vm {
	v := &vm{id: id, server: rpc.NewServer()}
	monitor, kv := health.New(c.kv.Client(&v.store))
	dial := rpc.Dial(func(ctx context.Context, address string) (net.Conn, error) {
		if v.peersCut.Load() {
			return nil, errors.New("connection refused")
		}
		return c.dial(ctx, address)
	})
	v.peers = rpc.NewPool(dial)
	log := zap.NewNop()
	rules := configuration.NewRules(log)
	ask := func(ctx context.Context, q *permit.Request) (*permit.Response, error) { return c.answer(ctx, q) }
	var waves *dispatch.Waves
	if c.cloud != nil {
		waves = c.cloud.waves(id)
	}
	agent := func(i worker.Info) *worker.Agent { return c.agent(v, i) }
	v.relay = relay.NewServer(func(i worker.Info) *worker.Agent { return c.relayAgent(v, agent(i)) })
	v.relay.Register(v.server)
	v.relays = relay.New(relay.Options{
		Self: id, MaxDirect: cmp.Or(c.directWorkers, math.MaxInt), DirectAgent: agent, Nodes: func() []owner.Node { return v.group.Nodes() },
		NewClient: func(address string) *rpc.Client { return rpc.NewClient(address, dial) },
	})
	v.disp = dispatch.New(
		dispatch.Upkeep(waves), dispatch.OnExamined(c.onExamined),
		dispatch.Store(kv), dispatch.StoreFailing(monitor.Failing), dispatch.Config(func() *job.Config { return c.config }), dispatch.Rules(rules.Current), dispatch.Logger(log),
		dispatch.Workers(workersPrefix, decodeWorker, v.relays.Agent),
		dispatch.Permits(func() []owner.Node { return v.group.Nodes() },
			func(ctx context.Context, from owner.Node, q *permit.Request) (*permit.Response, error) {
				if from.ID == id {
					return ask(ctx, q)
				}
				return rpc.Call[permit.Request, permit.Response](ctx, v.peers.Get(from.Address), front.MethodAskPermit, q)
			}),
		dispatch.Limits(mostHold, 200*time.Millisecond, 2*time.Minute))
	v.group = owner.New(kv, owner.Node{ID: id, Zone: "kochi-hall", Address: id, Strength: strength}, owner.Logger(log), owner.Lead(v.disp.Lead), owner.Rules(rules.Apply),
		owner.StoreFailing(monitor.Failing), owner.Overloaded(v.overloaded.Load), owner.CPUProbe(v.pace), owner.Dial(func(address string) *rpc.Client { return rpc.NewClient(address, dial) }))
	v.front = front.New(front.Options{
		Store: kv, Dispatcher: v.disp, Group: v.group, Peers: v.peers, AskPermit: ask, EvaluateRules: rules.Decide, StoreLastAnswer: monitor.LastAnswer, StoreFailing: monitor.Failing, StoreSilent: monitor.Silent, Logger: log,
	})
	v.front.Register(v.server)
	v.group.Register(v.server)
	c.mu.Lock()
	c.vms[id] = v
	c.mu.Unlock()
	v.group.Start()
	return v
}

// pace is how long a fixed piece of work takes on the VM.
func (v *vm) pace() time.Duration {
	if v.overloaded.Load() {
		return time.Millisecond
	}
	return 100 * time.Microsecond
}

func decodeWorker(_ string, raw []byte) (l worker.ListedWorker, err error) {
	return l, msgpack.Unmarshal(raw, &l)
}

// dial connects entry VMs; one that is dead does not answer.
func (c *cell) dial(ctx context.Context, address string) (net.Conn, error) {
	c.mu.Lock()
	v := c.vms[address]
	c.mu.Unlock()
	if v == nil || v.dead.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	go v.server.ServeConn(&busyConn{far, v})
	return near, nil
}

// busyStep is how often a busy VM looks whether it still is.
const busyStep = 10 * time.Millisecond

// busyConn is a connection to a VM that may be too busy to answer at once.
type busyConn struct {
	net.Conn
	vm *vm
}

func (b *busyConn) Write(p []byte) (int, error) {
	for b.vm.repliesCut.Load() && !b.vm.dead.Load() {
		time.Sleep(busyStep)
	}
	time.Sleep(time.Duration(b.vm.replyDelay.Load()))
	for asked := time.Now(); b.vm.disp.IsOwner() && time.Since(asked) < time.Duration(b.vm.replyDelayAsOwner.Load()) && !b.vm.dead.Load(); {
		time.Sleep(busyStep)
	}
	return b.Conn.Write(p)
}

// agent gives a VM's calls to a worker; a VM that is deaf towards workers gets no answers.
func (c *cell) agent(v *vm, i worker.Info) *worker.Agent {
	a := c.floor.Client(i)
	return &worker.Agent{
		Launch: func(ctx context.Context, l *worker.Launch) (time.Duration, error) {
			if v.workersCut.Load() {
				<-ctx.Done()
				return 0, ctx.Err()
			}
			return a.Launch(ctx, l)
		},
		Halt: func(ctx context.Context, h *worker.Halt) (time.Duration, error) {
			if v.workersCut.Load() {
				<-ctx.Done()
				return 0, ctx.Err()
			}
			return a.Halt(ctx, h)
		},
		Hold: func(ctx context.Context, h *worker.Hold) (*worker.HoldReply, error) {
			if v.workersCut.Load() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return a.Hold(ctx, h)
		},
	}
}

// relayAgent counts the calls that a VM makes for an owner, and makes them late if it is to.
func (c *cell) relayAgent(v *vm, a *worker.Agent) *worker.Agent {
	note := func() {
		v.relayedCalls.Add(1)
		time.Sleep(time.Duration(v.callDelay.Load()))
	}
	return &worker.Agent{
		Launch: func(ctx context.Context, l *worker.Launch) (time.Duration, error) {
			note()
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 3*time.Second)
			defer cancel()
			return a.Launch(ctx, l)
		},
		Halt: func(ctx context.Context, h *worker.Halt) (time.Duration, error) {
			note()
			return a.Halt(ctx, h)
		},
		Hold: func(ctx context.Context, h *worker.Hold) (*worker.HoldReply, error) {
			v.relayedCalls.Add(1)
			return a.Hold(ctx, h)
		},
	}
}

func (c *cell) answer(ctx context.Context, q *permit.Request) (*permit.Response, error) {
	names, takes := q.Workers, time.Duration(0)
	if c.permits != nil {
		names, takes = c.permits(q)
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(takes):
	}
	a := &permit.Response{TicketTTL: 1500 * time.Millisecond}
	for _, id := range names {
		a.Grants = append(a.Grants, permit.Grant{Worker: id, Ticket: "t-" + id})
	}
	return a, nil
}

// kill ends a VM at once; its lease lapses.
func (c *cell) kill(v *vm) {
	if v.dead.Load() {
		return
	}
	v.dead.Store(true)
	v.store.Down(true)
	v.group.Kill()
	v.front.Close()
	v.peers.Close()
	v.relays.Close()
	v.relay.Close()
	v.server.Close()
}

// workers lists n workers of so many cores.
func (c *cell) workers(n int, cores int64) []*floor.Worker {
	var out []*floor.Worker
	for i := range n {
		out = append(out, c.worker(fmt.Sprintf("w%02d", i), cores))
	}
	return out
}

func (c *cell) worker(id string, cores int64) *floor.Worker {
	info := worker.Info{ID: id, Address: id, Zone: "kochi-hall", Rack: "r1", Has: job.Resources{Millicores: cores * 1000, MemoryMB: 64000}}
	w := c.floor.Add(info)
	c.register(worker.ListedWorker{Info: info, Pool: pool, Labels: []string{"a", "r1"}})
	return w
}

func (c *cell) register(l worker.ListedWorker) {
	raw, err := msgpack.Marshal(&l)
	if err != nil {
		c.t.Fatal(err)
	}
	c.put(store.Op{Key: workersPrefix + l.ID, Value: raw})
}

func (c *cell) put(op store.Op) {
	if _, err := c.kv.Store().Txn(c.t.Context(), store.Txn{Then: []store.Op{op}}); err != nil {
		c.t.Fatal(err)
	}
}

// owner waits for a VM that owns the cell and has read its state.
func (c *cell) owner() *vm {
	c.t.Helper()
	for range 600 {
		for _, v := range c.vms {
			if !v.dead.Load() && v.disp.IsOwner() {
				return v
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatal("no entry VM owns the cell")
	return nil
}

// work is one step of equal tasks in the queue of rosters.
func (c *cell) work(id string, s job.Step) *job.Work {
	if s.TaskResources == (job.Resources{}) {
		s.TaskResources = job.Resources{Millicores: 1000, MemoryMB: 100}
	}
	return &job.Work{ID: id, Queue: c.config.Queues[0], Spec: "spec of " + id, Steps: []job.Step{s}, Accepted: time.Now()}
}

// submitTo submits a work of one step to the queue of that name.
func (c *cell) submitTo(v *vm, queue, id string, s job.Step) {
	c.t.Helper()
	w := c.work(id, s)
	w.Queue = *c.config.QueueByName(queue)
	c.submit(v, w)
}

func (c *cell) submit(v *vm, w *job.Work) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), 3*time.Second)
	defer cancel()
	if err := v.front.Submit(ctx, w); err != nil {
		c.t.Fatalf("submit %s: %v", w.ID, err)
	}
}

// state asks an entry VM, which may have to ask the store.
func (c *cell) state(v *vm, id string) (job.WorkState, error) {
	ctx, cancel := context.WithTimeout(c.t.Context(), 3*time.Second)
	defer cancel()
	return v.front.Status(ctx, id)
}

// waitForState waits for a state that some VM shows.
func (c *cell) waitForState(v *vm, id string, want job.WorkState, within time.Duration) {
	c.t.Helper()
	deadline := time.Now().Add(within)
	var last job.WorkState
	var err error
	for time.Now().Before(deadline) {
		if last, err = c.state(v, id); err == nil && last == want {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("%s is shown as %q (%v), not %q, after %v", id, last, err, want, within)
}

// checkHistory fails the test for whatever the history shows to be wrong.
func (c *cell) checkHistory() {
	c.t.Helper()
	for _, fault := range c.floor.Violations() {
		c.t.Error(fault)
	}
}

func (c *cell) runs(id string) int {
	n := 0
	for _, r := range c.floor.History() {
		if r.Task.Work == id {
			n++
		}
	}
	return n
}

// inBubble runs a test of a cell under the test's clock.
func inBubble(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }

func runsFor(d time.Duration) func(worker.Task, int64) floor.Behaviour {
	return func(worker.Task, int64) floor.Behaviour {
		return floor.Behaviour{Duration: d, Ending: worker.OutcomeDone, Resources: job.Resources{Millicores: 1000, MemoryMB: 100}}
	}
}

func isNotFound(err error) bool {
	var f *rpc.Fault
	return errors.As(err, &f) && f.Code == rpc.CodeNotFound
}

// endedAt reads when each work ended.
func (c *cell) endedAt() map[string]time.Time {
	c.t.Helper()
	const prefix = "turmericgap/ended/"
	res, err := c.kv.Store().Range(c.t.Context(), store.Range{Key: prefix, End: store.PrefixEnd(prefix)})
	if err != nil {
		c.t.Fatal(err)
	}
	at := make(map[string]time.Time, len(res.Pairs))
	for i := range res.Pairs {
		var end dispatch.Ended
		if err := msgpack.Unmarshal(res.Pairs[i].Value, &end); err != nil {
			c.t.Fatal(err)
		}
		at[strings.TrimPrefix(res.Pairs[i].Key, prefix)] = end.At
	}
	return at
}
