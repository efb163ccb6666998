package dispatch_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
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
	"turmericgap/feature"
	"turmericgap/front"
	"turmericgap/job"
	"turmericgap/metric"
	"turmericgap/owner"
	"turmericgap/permit"
	"turmericgap/relay"
	"turmericgap/rpc"
	"turmericgap/standin/floor"
	"turmericgap/store"
	"turmericgap/store/health"
	"turmericgap/store/memory"
	"turmericgap/worker"
	"turmericgap/workrecord"
)

const (
	workersPrefix = "workers/"
	commitPrefix  = "turmericgap/commit/"
	pool          = "course-desk"
	maxHold       = 10 * time.Second
)

// cell is a complete cell in one process under the test's fake clock: the store, the workers, and entry VMs whose
// connections can be cut.
type cell struct {
	t       *testing.T
	kv      *memory.Service
	cluster *floor.Cluster
	config  *job.Config
	// changed replaces config while the cell runs.
	changed atomic.Pointer[job.Config]
	// permits returns the workers that the policy service allows and its latency; nil allows every worker at once.
	permits func(req *permit.Request) ([]string, time.Duration)

	// onExamined is called with the number of workers that the owner has examined, to simulate CPU time; nil uses none.
	onExamined func(examined int)
	// maxWorkBytes is what the works of VMs that start later may hold in their memory; zero means no limit.
	maxWorkBytes int64
	// directWorkers is how many workers a VM calls directly; zero means all of them, without relays.
	directWorkers int
	// cloud carries out maintenance orders; nil if the test has no maintenance.
	cloud *fakeCloud
	// features holds the operators' choices, pressure whether callers are expected to compete for too little capacity.
	features *feature.Set
	pressure bool
	// maxValueBytes makes the store reject transactions with a larger value; zero means that only its own limit applies.
	// The VMs know of it if knowsMaxValue is set.
	maxValueBytes atomic.Int64
	knowsMaxValue bool
	// log receives the logs of the VMs.
	log *zap.Logger

	mu  sync.Mutex
	vms map[string]*vm
}

// vm is an entry VM.
type vm struct {
	id         string
	store      memory.Faults
	monitor    *health.Monitor
	metrics    *metric.Registry
	group      *owner.Group
	dispatcher *dispatch.Dispatcher
	front      *front.Front
	server     *rpc.Server
	peers      *rpc.Pool
	relays     *relay.Relays
	relay      *relay.Server
	// workersCut makes the VM's calls to workers hang until they time out.
	workersCut atomic.Bool
	// peersCut refuses the VM's new connections to other VMs.
	peersCut atomic.Bool
	// relayedCalls counts the calls to workers that the VM has relayed for an owner; callDelay delays each of them.
	// repliesCut holds back the VM's answers to other VMs, and replyDelay delays them.
	relayedCalls atomic.Int64
	callDelay    atomic.Int64
	replyDelay   atomic.Int64
	repliesCut   atomic.Bool
	// workersListCut makes the VM's reads and watches of the workers' entries fail, while its other calls to the store
	// go on.
	workersListCut atomic.Bool
	// readsSilent holds back the store's answers to the VM's reads and watches, while its other calls are answered.
	// keyReadsSilent does the same with reads of single keys.
	readsSilent, keyReadsSilent atomic.Bool
	// keyReads counts the VM's reads of single keys.
	keyReads atomic.Int64
	// commitAnswersLost loses the answers to the VM's commits, which take effect, while its other calls are answered.
	// commitAnswersHeld delays them until it is reset, as in a process that stands still.
	commitAnswersLost, commitAnswersHeld atomic.Bool
	// cutFrom is the ID of a worker that the VM does not reach; nil means none.
	cutFrom atomic.Pointer[string]
	// overloaded makes the VM report overload and a CPU probe that is ten times as slow.
	overloaded atomic.Bool
	// replyDelayAsOwner delays the VM's answers to other VMs while it owns the cell.
	replyDelayAsOwner atomic.Int64
	dead              atomic.Bool
}

func newCell(t *testing.T, behave func(worker.Task, int64) floor.Behaviour, vms ...string) *cell {
	c := &cell{
		t: t, kv: memory.New(), cluster: floor.New(behave), vms: make(map[string]*vm), log: zap.NewNop(),
		config: &job.Config{Version: 1, Queues: []job.Queue{{
			Name: "roster", Pool: pool, MaxAttempts: 2, SlackFactor: 2, Objective: time.Second,
		}}},
	}
	for _, id := range vms {
		c.startVM(id)
	}
	t.Cleanup(func() {
		for _, v := range c.vms {
			c.kill(v)
		}
		time.Sleep(time.Second) // lets calls in flight between the VMs end
	})
	return c
}

// currentConfig returns the configuration in force.
func (c *cell) currentConfig() *job.Config {
	if changed := c.changed.Load(); changed != nil {
		return changed
	}
	return c.config
}

// changeConfig puts a new version in force.
func (c *cell) changeConfig(change func(next *job.Config)) {
	next := *c.currentConfig()
	next.Version++
	next.Queues = slices.Clone(next.Queues)
	change(&next)
	c.changed.Store(&next)
}

func (c *cell) startVM(id string) *vm { return c.startVMWithStrength(id, 1) }

// startVMWithStrength starts an entry VM. The strongest VM takes over the cell.
func (c *cell) startVMWithStrength(id string, strength int) *vm {
	v := &vm{id: id, server: rpc.NewServer(), metrics: metric.New()}
	monitor, kv := health.New(c.kv.Client(&v.store))
	v.monitor = monitor
	kv = c.rejectLargeValues(v.disturbCommits(v.silenceReads(v.cutWorkersList(kv))))
	dial := rpc.Dial(func(ctx context.Context, address string) (net.Conn, error) {
		if v.peersCut.Load() {
			return nil, errors.New("connection refused")
		}
		return c.dial(ctx, address)
	})
	v.peers = rpc.NewPool(dial)
	log := c.log.Named(id)
	rules := configuration.NewRules(log)
	requestPermit := func(ctx context.Context, req *permit.Request) (*permit.Response, error) {
		return c.answerPermit(ctx, req)
	}
	var waves *dispatch.Waves
	if c.cloud != nil {
		waves = c.cloud.waves(id)
	}
	agent := func(i worker.Info) *worker.Agent { return c.agent(v, i) }
	v.relay = relay.NewServer(func(i worker.Info) *worker.Agent { return c.relayAgent(v, agent(i)) })
	v.relay.Register(v.server)
	v.relays = relay.New(relay.Options{
		Self: id, Logger: log, MaxDirect: cmp.Or(c.directWorkers, math.MaxInt), DirectAgent: agent, Nodes: func() []owner.Node { return v.group.Nodes() },
		NewClient: func(address string) *rpc.Client { return rpc.NewClient(address, dial) },
	})
	v.dispatcher = dispatch.New(
		dispatch.Maintenance(waves), dispatch.OnExamined(c.onExamined), dispatch.Metrics(v.metrics),
		dispatch.Features(c.features, c.pressure), dispatch.Checkpoints(checkpointInterval, 250*time.Millisecond),
		dispatch.Store(kv), dispatch.StoreFailing(monitor.Failing), dispatch.StoreContact(monitor.Contact), dispatch.StoreAhead(monitor.Ahead), dispatch.Config(c.currentConfig), dispatch.Rules(rules.Current), dispatch.Logger(log),
		dispatch.Workers(workersPrefix, decodeWorker, v.relays.Agent),
		dispatch.Permits(func() []owner.Node { return v.group.Nodes() },
			func(ctx context.Context, from owner.Node, req *permit.Request) (*permit.Response, error) {
				if from.ID == id {
					return requestPermit(ctx, req)
				}
				return rpc.Call[permit.Request, permit.Response](ctx, v.peers.Get(from.Address), front.MethodRequestPermit, req)
			}),
		dispatch.Limits(maxHold, 200*time.Millisecond, 2*time.Minute), dispatch.MaxRecordBytes(c.knownMaxValue()), dispatch.MaxWorkBytes(c.maxWorkBytes))
	v.group = owner.New(kv, owner.Node{ID: id, Zone: "kochi-hall", Address: id, Strength: strength}, owner.Logger(log), owner.RunTenure(v.dispatcher.RunTenure), owner.Rules(rules.Apply),
		owner.StoreFailing(monitor.Failing), owner.Overloaded(v.overloaded.Load), owner.CPUProbe(v.probeCPU), owner.Dial(func(address string) *rpc.Client { return rpc.NewClient(address, dial) }))
	v.front = front.New(front.Options{
		Store: kv, Dispatcher: v.dispatcher, Group: v.group, Peers: v.peers, RequestPermit: requestPermit, EvaluateRules: rules.Decide, StoreLastAnswer: monitor.LastAnswer, StoreFailing: monitor.Failing, StoreSilent: monitor.Silent, MaxRecordBytes: c.knownMaxValue(), Logger: log,
	})
	v.front.Register(v.server)
	v.group.Register(v.server)
	c.mu.Lock()
	c.vms[id] = v
	c.mu.Unlock()
	v.group.Start()
	return v
}

var errWorkersListCut = errors.New("the workers' entries cannot be read")

// cutWorkersList returns a store whose reads and watches of the workers' entries fail while workersListCut is set.
func (v *vm) cutWorkersList(kv *store.Store) *store.Store {
	out := *kv
	out.Range = func(ctx context.Context, r store.Range) (store.RangeResult, error) {
		if r.Key == workersPrefix && v.workersListCut.Load() {
			return store.RangeResult{}, errWorkersListCut
		}
		return kv.Range(ctx, r)
	}
	out.Watch = func(ctx context.Context, prefix string, from int64, each func(store.Batch)) error {
		if prefix != workersPrefix {
			return kv.Watch(ctx, prefix, from, each)
		}
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		go func() {
			for ctx.Err() == nil && !v.workersListCut.Load() {
				time.Sleep(slowPollInterval)
			}
			cancel(errWorkersListCut)
		}()
		if err := kv.Watch(ctx, prefix, from, each); err != nil {
			return errors.Join(context.Cause(ctx), err)
		}
		return nil
	}
	return &out
}

// silenceReads returns a store whose reads and watches get no answer while readsSilent or keyReadsSilent is set.
func (v *vm) silenceReads(kv *store.Store) *store.Store {
	out := *kv
	out.Range = func(ctx context.Context, r store.Range) (store.RangeResult, error) {
		if r.End == "" {
			v.keyReads.Add(1)
		}
		if r.End == "" && v.keyReadsSilent.Load() || r.End != "" && v.readsSilent.Load() {
			<-ctx.Done()
			return store.RangeResult{}, ctx.Err()
		}
		return kv.Range(ctx, r)
	}
	out.Watch = func(ctx context.Context, prefix string, from int64, each func(store.Batch)) error {
		return kv.Watch(ctx, prefix, from, func(b store.Batch) {
			if v.readsSilent.Load() {
				<-ctx.Done()
				return
			}
			each(b)
		})
	}
	return &out
}

// disturbCommits returns a store whose answers to commits are lost or delayed while commitAnswersLost or
// commitAnswersHeld is set.
func (v *vm) disturbCommits(kv *store.Store) *store.Store {
	out := *kv
	out.Txn = func(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
		res, err := kv.Txn(ctx, txn)
		isCommit := strings.HasPrefix(txn.Then[0].Key, commitPrefix)
		for isCommit && v.commitAnswersHeld.Load() && !v.dead.Load() {
			time.Sleep(slowPollInterval)
		}
		if isCommit && v.commitAnswersLost.Load() {
			<-ctx.Done()
			return store.TxnResult{}, ctx.Err()
		}
		return res, err
	}
	return &out
}

// knownMaxValue returns what the VMs take for the size of the largest value.
func (c *cell) knownMaxValue() int {
	if c.knowsMaxValue {
		return int(c.maxValueBytes.Load())
	}
	return store.MaxValueBytes
}

// rejectLargeValues returns a store that rejects transactions with a value above maxValueBytes.
func (c *cell) rejectLargeValues(kv *store.Store) *store.Store {
	out := *kv
	out.Txn = func(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
		for i := range txn.Then {
			if n, most := len(txn.Then[i].Value), int(c.maxValueBytes.Load()); most > 0 && n > most {
				return store.TxnResult{}, fmt.Errorf("value of %d bytes: %w", n, store.ErrInvalid)
			}
		}
		return kv.Txn(ctx, txn)
	}
	return &out
}

// reaches reports whether the VM's calls arrive at a worker.
func (v *vm) reaches(id string) bool {
	cut := v.cutFrom.Load()
	return !v.workersCut.Load() && (cut == nil || *cut != id)
}

// probeCPU returns how long a fixed piece of work takes on the VM.
func (v *vm) probeCPU() time.Duration {
	if v.overloaded.Load() {
		return time.Millisecond
	}
	return 100 * time.Microsecond
}

func decodeWorker(_ string, raw []byte) (l worker.ListedWorker, err error) {
	return l, msgpack.Unmarshal(raw, &l)
}

// dial connects to an entry VM; a dead one never answers.
func (c *cell) dial(ctx context.Context, address string) (net.Conn, error) {
	c.mu.Lock()
	v := c.vms[address]
	c.mu.Unlock()
	if v == nil || v.dead.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	client, server := net.Pipe()
	go v.server.ServeConn(newSlowConn(server, v))
	return client, nil
}

// slowPollInterval is the interval at which a delayed write checks whether the delay still applies.
const slowPollInterval = 10 * time.Millisecond

// slowConn is the server side of a connection to a VM, whose answers can be delayed or held back. Writes are queued: the
// server holds a lock while it writes, and virtual time stands still while another answer waits for that lock.
type slowConn struct {
	net.Conn
	vm     *vm
	queue  chan []byte
	closed chan struct{}
	once   sync.Once
}

// slowQueue is more than the answers that one connection may hold back in a test.
const slowQueue = 1 << 14

func newSlowConn(conn net.Conn, v *vm) *slowConn {
	s := &slowConn{Conn: conn, vm: v, queue: make(chan []byte, slowQueue), closed: make(chan struct{})}
	go s.run()
	return s
}

func (s *slowConn) Write(p []byte) (int, error) {
	select {
	case <-s.closed:
		return 0, net.ErrClosed
	case s.queue <- slices.Clone(p):
		return len(p), nil
	}
}

func (s *slowConn) Close() error {
	s.once.Do(func() { close(s.closed) })
	return s.Conn.Close()
}

// run writes the queued answers, each after its delay.
func (s *slowConn) run() {
	for {
		select {
		case <-s.closed:
			return
		case p := <-s.queue:
			s.delay()
			if _, err := s.Conn.Write(p); err != nil {
				return
			}
		}
	}
}

// delay waits for as long as the VM's answers are held back.
func (s *slowConn) delay() {
	for s.vm.repliesCut.Load() && !s.vm.dead.Load() {
		time.Sleep(slowPollInterval)
	}
	time.Sleep(time.Duration(s.vm.replyDelay.Load()))
	for start := time.Now(); s.vm.dispatcher.IsOwner() && time.Since(start) < time.Duration(s.vm.replyDelayAsOwner.Load()) && !s.vm.dead.Load(); {
		time.Sleep(slowPollInterval)
	}
}

// agent returns a VM's client of a worker; its calls hang while the VM does not reach the worker.
func (c *cell) agent(v *vm, i worker.Info) *worker.Agent {
	a := c.cluster.Client(i)
	return &worker.Agent{
		Launch: func(ctx context.Context, l *worker.Launch) (time.Duration, error) {
			if !v.reaches(i.ID) {
				<-ctx.Done()
				return 0, ctx.Err()
			}
			return a.Launch(ctx, l)
		},
		Halt: func(ctx context.Context, h *worker.Halt) (time.Duration, error) {
			if !v.reaches(i.ID) {
				<-ctx.Done()
				return 0, ctx.Err()
			}
			return a.Halt(ctx, h)
		},
		Hold: func(ctx context.Context, h *worker.Hold) (*worker.HoldReply, error) {
			if !v.reaches(i.ID) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return a.Hold(ctx, h)
		},
	}
}

// relayAgent counts the calls that a VM relays for an owner and delays them by callDelay.
func (c *cell) relayAgent(v *vm, a *worker.Agent) *worker.Agent {
	countCall := func() {
		v.relayedCalls.Add(1)
		time.Sleep(time.Duration(v.callDelay.Load()))
	}
	return &worker.Agent{
		Launch: func(ctx context.Context, l *worker.Launch) (time.Duration, error) {
			countCall()
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 3*time.Second)
			defer cancel()
			return a.Launch(ctx, l)
		},
		Halt: func(ctx context.Context, h *worker.Halt) (time.Duration, error) {
			countCall()
			return a.Halt(ctx, h)
		},
		Hold: func(ctx context.Context, h *worker.Hold) (*worker.HoldReply, error) {
			v.relayedCalls.Add(1)
			return a.Hold(ctx, h)
		},
	}
}

func (c *cell) answerPermit(ctx context.Context, req *permit.Request) (*permit.Response, error) {
	names, delay := req.Workers, time.Duration(0)
	if c.permits != nil {
		names, delay = c.permits(req)
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(delay):
	}
	resp := &permit.Response{TicketTTL: 1500 * time.Millisecond}
	for _, id := range names {
		resp.Grants = append(resp.Grants, permit.Grant{Worker: id, Ticket: "t-" + id})
	}
	return resp, nil
}

// kill stops a VM at once, without releasing its lease.
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

// addWorkers registers n workers with that many cores each.
func (c *cell) addWorkers(n int, cores int64) []*floor.Worker {
	var out []*floor.Worker
	for i := range n {
		out = append(out, c.addWorker(fmt.Sprintf("w%02d", i), cores))
	}
	return out
}

func (c *cell) addWorker(id string, cores int64) *floor.Worker {
	info := worker.Info{ID: id, Address: id, Zone: "kochi-hall", Rack: "r1", Has: job.Resources{Millicores: cores * 1000, MemoryMB: 64000}}
	w := c.cluster.Add(info)
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

// waitForOwner waits until a VM owns the cell and has read its state, and returns that VM.
func (c *cell) waitForOwner() *vm {
	c.t.Helper()
	for range 600 {
		for _, v := range c.vms {
			if !v.dead.Load() && v.dispatcher.IsOwner() {
				return v
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatal("no entry VM owns the cell")
	return nil
}

// newWork returns a work of one step in the first queue. A task needs one core unless the step sets resources.
func (c *cell) newWork(id string, s job.Step) *job.Work {
	if s.TaskResources == (job.Resources{}) {
		s.TaskResources = job.Resources{Millicores: 1000, MemoryMB: 100}
	}
	return &job.Work{ID: id, Queue: c.currentConfig().Queues[0], Spec: "spec of " + id, Steps: []job.Step{s}, Accepted: time.Now()}
}

// enqueue submits a work of one step to a queue by name.
func (c *cell) enqueue(v *vm, queue, id string, s job.Step) {
	c.t.Helper()
	w := c.newWork(id, s)
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

// state asks an entry VM for the state of a work; the VM may have to read the store.
func (c *cell) state(v *vm, id string) (job.WorkState, error) { return c.stateFor(v, "", id) }

// stateFor is like state for a caller of an account.
func (c *cell) stateFor(v *vm, account, id string) (job.WorkState, error) {
	ctx, cancel := context.WithTimeout(c.t.Context(), 3*time.Second)
	defer cancel()
	return v.front.Status(ctx, id, account)
}

// waitForState fails the test unless the VM reports the state within that time.
func (c *cell) waitForState(v *vm, id string, want job.WorkState, within time.Duration) {
	c.t.Helper()
	c.waitForStateFor(v, "", id, want, within)
}

// waitForStateFor is like waitForState for a caller of an account.
func (c *cell) waitForStateFor(v *vm, account, id string, want job.WorkState, within time.Duration) {
	c.t.Helper()
	deadline := time.Now().Add(within)
	var last job.WorkState
	var err error
	for time.Now().Before(deadline) {
		if last, err = c.stateFor(v, account, id); err == nil && last == want {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("%s is in state %q (%v), want %q after %v", id, last, err, want, within)
}

// checkHistory fails the test for each violation in the history of runs.
func (c *cell) checkHistory() {
	c.t.Helper()
	for _, fault := range c.cluster.Violations() {
		c.t.Error(fault)
	}
}

// countRuns returns how often tasks of the work were started.
func (c *cell) countRuns(id string) int {
	n := 0
	for _, r := range c.cluster.History() {
		if r.Task.Work == id {
			n++
		}
	}
	return n
}

// inBubble runs a test of a cell in a synctest bubble, under a fake clock.
func inBubble(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }

// runsFor returns the behaviour of tasks that run for d and succeed.
func runsFor(d time.Duration) func(worker.Task, int64) floor.Behaviour {
	return func(worker.Task, int64) floor.Behaviour {
		return floor.Behaviour{Duration: d, Ending: worker.OutcomeDone, Resources: job.Resources{Millicores: 1000, MemoryMB: 100}}
	}
}

func isNotFound(err error) bool {
	var f *rpc.Fault
	return errors.As(err, &f) && f.Code == rpc.CodeNotFound
}

// endTimes reads from the store when each work ended.
func (c *cell) endTimes() map[string]time.Time {
	c.t.Helper()
	const prefix = "turmericgap/ended/"
	res, err := c.kv.Store().Range(c.t.Context(), store.Range{Key: prefix, End: store.PrefixEnd(prefix)})
	if err != nil {
		c.t.Fatal(err)
	}
	at := make(map[string]time.Time, len(res.Pairs))
	for i := range res.Pairs {
		var end workrecord.Ended
		if err := msgpack.Unmarshal(res.Pairs[i].Value, &end); err != nil {
			c.t.Fatal(err)
		}
		at[strings.TrimPrefix(res.Pairs[i].Key, prefix)] = end.At
	}
	return at
}
