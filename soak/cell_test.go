package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
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

// Ports of each VM and of the stand-ins, each on an IP number of the loopback interface of its own.
const (
	portCallers = 7801 + iota
	portReady
	portPeers
	portMetrics
	portStandin
)

const (
	// mostHold is the longest lease that the workers grant: short, so that lapses are part of each run.
	mostHold = 4 * time.Second
	// lapseOfEntry is how long after a crash a worker's entry is removed.
	lapseOfEntry = 4500 * time.Millisecond
)

// Cell is a whole cell on one machine: stand-ins of the platform in this process, entry VMs as processes of
// their own, and links between them.
type Cell struct {
	o       *Options
	standin *platform.Standin
	floor   *floor.Cluster
	vms     []*vm
	workers []*slot
	closers []func()
	queues  []job.Queue

	mu    sync.Mutex
	works map[string]*job.Work
	found []string
}

// vm is an entry VM with its links to the platform.
type vm struct {
	process        *Process
	callers        string
	store, permits *Link
}

// slot is the place of a worker: one lifetime after the other at the same address.
type slot struct {
	cell    *Cell
	name    string
	link    *Link
	handler atomic.Pointer[http.Handler]

	mu   sync.Mutex
	life int
	now  *floor.Worker
}

// NewCell starts a cell.
func NewCell(o *Options) (*Cell, error) {
	c := &Cell{o: o, standin: platform.NewStandin(), works: make(map[string]*job.Work), queues: queues()}
	c.floor = floor.New(c.behave)
	c.standin.AllowWorkers = func(q *permit.Request) []string { return allowed(q.Work, q.Workers) }
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

// allowed lets a step run on two of three workers, always the same.
func allowed(step string, workers []string) []string {
	var out []string
	for _, id := range workers {
		if hash(step, id)%3 > 0 {
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
	if err := c.Configure(1); err != nil {
		return err
	}
	for i := range c.o.Workers {
		if err := c.addWorker(i); err != nil {
			return err
		}
	}
	for i := range c.o.VMs {
		if err := c.addVM(i, storeAt, permitsAt); err != nil {
			return err
		}
	}
	return nil
}

// address gives a place on the loopback interface; host 0 is that of the stand-ins.
func (c *Cell) address(host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", c.o.Net/256, c.o.Net%256, host+1, port)
}

func (c *Cell) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }() // ends with Close
	c.closers = append(c.closers, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

func (c *Cell) link(listen, target string) (*Link, error) {
	k, err := NewLink(listen, target)
	if err == nil {
		c.closers = append(c.closers, k.Close)
	}
	return k, err
}

// Configure puts a version of the configuration in force.
func (c *Cell) Configure(version int64) error {
	raw, err := platform.EncodeConfig(&job.Config{Version: version, Queues: c.queues})
	if err != nil {
		return err
	}
	return c.put(store.Op{Key: platform.ConfigKey, Value: raw})
}

func (c *Cell) put(op store.Op) error {
	_, err := c.standin.KV.Store().Txn(c.o.Context, store.Txn{Then: []store.Op{op}})
	return err
}

func (c *Cell) addWorker(i int) error {
	w := &slot{cell: c, name: fmt.Sprintf("w%02d", i)}
	none := http.NotFoundHandler()
	w.handler.Store(&none)
	at, err := c.serve(c.address(100+i, portStandin), http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		(*w.handler.Load()).ServeHTTP(rw, r)
	}))
	if err != nil {
		return err
	}
	if w.link, err = c.link(c.address(100+i, portStandin+1), at); err != nil {
		return err
	}
	c.workers = append(c.workers, w)
	return w.begin()
}

// begin starts a new lifetime of a worker.
func (w *slot) begin() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life++
	info := worker.Info{
		ID: fmt.Sprintf("%s-%d", w.name, w.life), Address: w.link.Address(), Zone: "kochi-hall", Rack: "r1",
		Has: job.Resources{Millicores: 8000, MemoryMB: 32000},
	}
	w.now = w.cell.floor.Add(info)
	h := platform.WorkerHandler(info.ID, w.cell.floor.Client(info))
	w.handler.Store(&h)
	key, raw, err := platform.EncodeWorker(&worker.ListedWorker{Info: info, Pool: "desk", Labels: []string{"a", "r1"}})
	if err != nil {
		return err
	}
	return w.cell.put(store.Op{Key: key, Value: raw})
}

// crash ends the present lifetime, and begins another one after a while.
func (w *slot) crash(after time.Duration) {
	w.mu.Lock()
	old := w.now
	w.mu.Unlock()
	old.Crash(false)
	key := platform.WorkersPrefix + old.Info().ID
	time.AfterFunc(lapseOfEntry, func() { w.cell.note(w.cell.put(store.Op{Delete: true, Key: key})) })
	time.AfterFunc(after, func() { w.cell.note(w.begin()) })
}

// worker gives the present lifetime.
func (w *slot) worker() *floor.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now
}

func (c *Cell) addVM(i int, storeAt, permitsAt string) error {
	host := i + 1
	v := &vm{callers: c.address(host, portCallers)}
	var err error
	if v.store, err = c.link(c.address(host, portStandin), storeAt); err != nil {
		return err
	}
	if v.permits, err = c.link(c.address(host, portStandin+1), permitsAt); err != nil {
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
		MostHold: mostHold, StopWithin: 200 * time.Millisecond, GangWithin: 3 * time.Second, Contact: 3 * time.Second,
		KeepEnded: 2 * time.Minute, ShutdownWithin: 6 * time.Second, Millicores: 400, LinkMbps: 1000,
	}, ip, portPeers)
	if err != nil {
		return err
	}
	settings := filepath.Join(c.o.Dir, name+".json")
	if err := os.WriteFile(settings, raw, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(c.o.Dir, name+".log"))
	if err != nil {
		return err
	}
	v.process = &Process{name: name, program: c.o.Program, settings: settings, log: log, found: c.find}
	v.process.start()
	c.vms = append(c.vms, v)
	return nil
}

// find notes something that is wrong.
func (c *Cell) find(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.found = append(c.found, what)
}

// note notes an error of the soak's own.
func (c *Cell) note(err error) {
	if err != nil && c.o.Context.Err() == nil {
		c.find("the soak itself: " + err.Error())
	}
}

// Close ends all processes that the cell has started, then the stand-ins.
func (c *Cell) Close() {
	for _, v := range c.vms {
		v.process.close()
	}
	for _, f := range c.closers {
		f()
	}
}
