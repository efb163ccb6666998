package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"turmericgap/job"
	"turmericgap/permit"
	"turmericgap/platform"
	"turmericgap/standin/floor"
	"turmericgap/store"
	"turmericgap/worker"
)

// Ports of the VMs and stand-ins. Each of them has its own loopback address.
const (
	portIngress = 7801 + iota
	portReady
	portPeers
	portMetrics
	portStandin
)

const (
	// maxHold is the longest lease of the workers; it is short so that leases expire in each run.
	maxHold = 4 * time.Second
	// entryRemovalDelay is the delay between a crash of a worker and the removal of its entry from the store.
	entryRemovalDelay = 4500 * time.Millisecond
	// shrinkGrace is how long after its capacity has shrunk a worker may still be filled up to the former one: the
	// contact time and one update of its entry.
	shrinkGrace = 4500 * time.Millisecond
	// crashRestartDelay is the delay until a worker that was crashed by a task is back.
	crashRestartDelay = 1500 * time.Millisecond
	// workersPerRack is the number of workers in a rack.
	workersPerRack = 3
	// fullMillicores is the CPU of a worker, shrunkMillicores what it has while its capacity is reduced.
	fullMillicores, shrunkMillicores = 8000, 3000
)

// Cell is a cell on one machine: stand-ins of the platform run in this process, entry VMs run in processes of their
// own, and proxies connect them.
type Cell struct {
	opts    *Options
	standin *platform.Standin
	cluster *floor.Cluster
	vms     []*vm
	workers []*workerSlot
	closers []func()
	queues  []job.Queue
	// accounts holds the client accounts, callers the callers.
	accounts *accountBook
	callers  *callers
	// lags checks how late the VMs put versions of the configuration in force.
	lags lagCheck
	// firstWork is the ID of the work that shows that the cell serves.
	firstWork string

	mu       sync.Mutex
	works    map[string]*job.Work
	findings []string
}

// vm is an entry VM with its proxies to the platform.
type vm struct {
	process        *Process
	callers        string
	store, permits *Proxy
}

// workerSlot is an address that hosts successive instances of a worker.
type workerSlot struct {
	cell    *Cell
	name    string
	rack    string
	proxy   *Proxy
	handler atomic.Pointer[http.Handler]

	mu        sync.Mutex
	instances int
	current   *floor.Worker
	// leaving is true from the notice of the current instance until the start of the next one, leavesAt is when it leaves.
	leaving  bool
	leavesAt time.Time
	// down is true from the crash of the current instance until the start of the next one.
	down bool
}

// NewCell starts a cell.
func NewCell(o *Options) (*Cell, error) {
	c := &Cell{opts: o, standin: platform.NewStandin(), works: make(map[string]*job.Work), queues: append(queues(), idleQueues(o.IdleQueues)...), accounts: newAccountBook(o.Seed)}
	c.cluster = floor.New(c.behave)
	c.cluster.OnCrash, c.cluster.ShrinkGrace = c.restartCrashed, shrinkGrace
	if o.Uneven {
		c.cluster.SlownessOf = slownessOf
	}
	if o.Accounts {
		c.cluster.CapOf, c.cluster.CapOverrun = c.accounts.highestCap, capOverrun
	}
	c.standin.AllowWorkers = func(req *permit.Request) []string { return allowedWorkers(req.Work, req.Workers) }
	if err := c.build(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func queues() []job.Queue {
	cost := &job.PermitCost{Base: 50 * time.Millisecond, PerWorker: time.Millisecond, Valid: 1500 * time.Millisecond}
	return []job.Queue{
		{Name: "check", Host: "desk.example", Prefix: "/check/", Pool: "desk", MaxAttempts: 3, SlackFactor: 3, Objective: time.Second},
		{Name: "roster", Host: "desk.example", Prefix: "/roster/", Pool: "desk", Priority: 1, MaxAttempts: 3, SlackFactor: 3, Objective: time.Second, Permit: cost},
		{Name: "batch", Host: "desk.example", Prefix: "/batch/", Pool: "desk", Priority: 2, MaxAttempts: 3, SlackFactor: 4, Objective: 2 * time.Second},
	}
}

func idleQueues(n int) []job.Queue {
	var out []job.Queue
	for i := range n {
		name := fmt.Sprintf("idle-%d", i)
		out = append(out, job.Queue{Name: name, Host: "desk.example", Prefix: "/" + name + "/", Pool: "desk", Priority: 2, MaxAttempts: 3, SlackFactor: 4, Objective: 3 * time.Second})
	}
	return out
}

// allowedWorkers allows a step on about two thirds of the workers, always the same ones: a worker that comes back as
// another instance is allowed what its first one was.
func allowedWorkers(step string, workers []string) []string {
	var out []string
	for _, id := range workers {
		name, _, _ := strings.Cut(id, "-")
		if hashOf(step, name+"-1")%3 > 0 {
			out = append(out, id)
		}
	}
	return out
}

func (c *Cell) build() error {
	storeAt, err := c.serve(c.address(0, portStandin), c.standin.StoreHandler())
	if err != nil {
		return err
	}
	permitsAt, err := c.serve(c.address(0, portStandin+1), c.standin.PermitsHandler())
	if err != nil {
		return err
	}
	if err := c.reconfigure(); err != nil {
		return err
	}
	for i := range c.opts.Workers {
		if err := c.addWorker(i); err != nil {
			return err
		}
	}
	for i := range c.opts.VMs {
		if err := c.addVM(i, storeAt, permitsAt); err != nil {
			return err
		}
	}
	return nil
}

// address returns a loopback address; host 0 belongs to the stand-ins.
func (c *Cell) address(host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", c.opts.Net/256, c.opts.Net%256, host+1, port)
}

func (c *Cell) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }() // returns after Close
	c.closers = append(c.closers, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

func (c *Cell) newProxy(listen, target string) (*Proxy, error) {
	p, err := NewProxy(listen, target)
	if err == nil {
		c.closers = append(c.closers, p.Close)
	}
	return p, err
}

// reconfigure stores a new version of the configuration.
func (c *Cell) reconfigure() error {
	c.accounts.mu.Lock()
	defer c.accounts.mu.Unlock()
	config := job.Config{Version: c.accounts.version, Queues: c.queues}
	c.accounts.version++
	var keys map[string][]string
	if c.opts.Accounts {
		config.Accounts, keys = c.accounts.config()
	}
	raw, err := platform.EncodeConfig(&config, keys)
	if err != nil {
		return err
	}
	return c.put(store.Op{Key: platform.ConfigKey, Value: raw})
}

func (c *Cell) put(op store.Op) error {
	_, err := c.standin.KV.Store().Txn(c.opts.Context, store.Txn{Then: []store.Op{op}})
	return err
}

func (c *Cell) addWorker(i int) error {
	w := &workerSlot{cell: c, name: fmt.Sprintf("w%02d", i), rack: fmt.Sprint("r", i/workersPerRack)}
	notFound := http.NotFoundHandler()
	w.handler.Store(&notFound)
	address, err := c.serve(c.address(100+i, portStandin), http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		(*w.handler.Load()).ServeHTTP(rw, r)
	}))
	if err != nil {
		return err
	}
	if w.proxy, err = c.newProxy(c.address(100+i, portStandin+1), address); err != nil {
		return err
	}
	c.workers = append(c.workers, w)
	return w.startInstance()
}

// startInstance starts a new instance of the worker.
func (w *workerSlot) startInstance() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.instances++
	info := worker.Info{
		ID: fmt.Sprintf("%s-%d", w.name, w.instances), Address: w.proxy.Address(), Zone: "kochi-hall", Rack: w.rack, Has: capacity(fullMillicores),
	}
	if w.cell.opts.Uneven {
		info.Born = time.Now().UnixMilli()
	}
	w.current = w.cell.cluster.Add(info)
	h := platform.WorkerHandler(info.ID, w.cell.cluster.Client(info))
	w.handler.Store(&h)
	w.down, w.leaving = false, false
	return w.list()
}

// slownessOf makes a third of the workers fast and a third slow. A worker that comes back is as fast as before.
func slownessOf(info worker.Info) float64 {
	name, _, _ := strings.Cut(info.ID, "-")
	return []float64{0.6, 1, 1.6}[hashOf("slowness", name)%3]
}

func capacity(millicores int64) job.Resources {
	return job.Resources{Millicores: millicores, MemoryMB: 32000}
}

// list writes the entry of the current instance.
func (w *workerSlot) list() error {
	listed := worker.ListedWorker{Info: w.current.Info(), Pool: "desk", Labels: []string{"a", w.rack}, Clock: w.current.Clock()}
	if w.leaving {
		listed.Leaving, listed.TimeLeft = true, time.Until(w.leavesAt)
	}
	key, raw, err := platform.EncodeWorker(&listed)
	if err != nil {
		return err
	}
	return w.cell.put(store.Op{Key: key, Value: raw})
}

// setCapacity changes the capacity of the current instance, which its entry shows at once.
func (w *workerSlot) setCapacity(millicores int64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return nil
	}
	w.current.SetCapacity(capacity(millicores))
	return w.list()
}

// restartCrashed restarts a worker that a task has crashed.
func (c *Cell) restartCrashed(crashed *floor.Worker) {
	for _, w := range c.workers {
		if w.currentWorker() == crashed {
			w.restart(crashed, crashRestartDelay)
		}
	}
}

// crash crashes the current instance and starts another one after the delay.
func (w *workerSlot) crash(restartDelay time.Duration) {
	w.mu.Lock()
	old := w.current
	w.mu.Unlock()
	old.Crash(false)
	w.restart(old, restartDelay)
}

// leave announces that the current instance leaves after the notice, when everything that still runs on it ends, and
// starts another one after the delay.
func (w *workerSlot) leave(notice, restartDelay time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || w.leaving {
		return nil
	}
	old := w.current
	w.leaving, w.leavesAt = true, time.Now().Add(notice)
	time.AfterFunc(notice, func() {
		if w.currentWorker() == old {
			w.crash(restartDelay)
		}
	})
	return w.list()
}

// startAgain ends the current instance with all its runs, and starts another one under its ID.
func (w *workerSlot) startAgain() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || w.leaving {
		return nil
	}
	w.current = w.current.Reborn()
	return w.list()
}

// restart starts the next instance after the delay, unless that is under way.
func (w *workerSlot) restart(old *floor.Worker, restartDelay time.Duration) {
	w.mu.Lock()
	underWay := w.down
	w.down = true
	w.mu.Unlock()
	if underWay {
		return
	}
	key := platform.WorkersPrefix + old.Info().ID
	time.AfterFunc(entryRemovalDelay, func() { w.cell.addError(w.cell.put(store.Op{Delete: true, Key: key})) })
	time.AfterFunc(restartDelay, func() { w.cell.addError(w.startInstance()) })
}

// currentWorker returns the current instance.
func (w *workerSlot) currentWorker() *floor.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current
}

func (c *Cell) addVM(i int, storeAt, permitsAt string) error {
	host := i + 1
	v := &vm{callers: c.address(host, portIngress)}
	var err error
	if v.store, err = c.newProxy(c.address(host, portStandin), storeAt); err != nil {
		return err
	}
	if v.permits, err = c.newProxy(c.address(host, portStandin+1), permitsAt); err != nil {
		return err
	}
	name := fmt.Sprintf("vm%d", host)
	ip, _, err := net.SplitHostPort(v.callers)
	if err != nil {
		return err
	}
	raw, err := platform.EncodeSettings(&platform.Settings{
		ID: name, Zone: "kochi-hall", Callers: v.callers, Ready: c.address(host, portReady), Fresh: true,
		Store: v.store.Address(), Permits: v.permits.Address(), Cloud: v.store.Address(),
		MostHold: maxHold, StopWithin: 200 * time.Millisecond, GangWithin: 3 * time.Second, Contact: 3 * time.Second,
		CapOverrun: capOverrun, KeepEnded: 2 * time.Minute, ShutdownWithin: 6 * time.Second, Millicores: 400, LinkMbps: 1000,
	}, ip, portPeers)
	if err != nil {
		return err
	}
	settings := filepath.Join(c.opts.Dir, name+".json")
	if err := os.WriteFile(settings, raw, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(c.opts.Dir, name+".log"))
	if err != nil {
		return err
	}
	v.process = &Process{name: name, program: c.opts.Program, settings: settings, log: log, onFinding: c.addFinding}
	v.process.start()
	c.vms = append(c.vms, v)
	return nil
}

// addFinding records a violation.
func (c *Cell) addFinding(finding string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.findings = append(c.findings, finding)
}

// addError records an error of the soak test itself, unless the run has been canceled.
func (c *Cell) addError(err error) {
	if err != nil && c.opts.Context.Err() == nil {
		c.addFinding("error of the soak test itself: " + err.Error())
	}
}

// Close kills the processes of the cell, then closes the proxies and stand-ins.
func (c *Cell) Close() {
	for _, v := range c.vms {
		v.process.close()
	}
	for _, f := range c.closers {
		f()
	}
}
