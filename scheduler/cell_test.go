package scheduler

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"turmericgap/history"
	"turmericgap/job"
	"turmericgap/record"
	"turmericgap/rpc"
	standin "turmericgap/standin/worker"
	"turmericgap/store"
	"turmericgap/store/memory"
	"turmericgap/worker"
)

const testZone = "kochi-hall"

// cell is an in-memory zone: a store, workers, and schedulers, one of which owns the zone.
type cell struct {
	t        *testing.T
	kv       *memory.Service
	workers  []*standin.Worker
	checker  *history.Checker
	mu       sync.Mutex
	owner    *node
	nodes    []*node
	reported map[string]bool
	listed   func() []worker.Info
}

// node is a scheduler with its own injected faults.
type node struct {
	c        *cell
	store    *memory.Faults
	sched    *Scheduler
	epoch    int64
	revision int64
	// invalid is set while the node's lease is not valid.
	invalid bool
	// holdStart blocks every start between the ownership check and the send, like a pause of the process there.
	holdStart  chan struct{}
	heldStarts chan struct{}
}

func newCell(t *testing.T, workers int, opts ...standin.Option) *cell {
	c := &cell{t: t, kv: memory.New(), reported: make(map[string]bool)}
	parent := func(s string) string { return s[:strings.LastIndexByte(s, '/')] }
	c.checker = history.New(history.Names(parent, func(task string) string { return parent(task) }))
	opts = append([]standin.Option{standin.Record(c.checker.Record), standin.TaskOf(parent), standin.RunTime(2 * time.Second)}, opts...)
	for i := range workers {
		info := worker.Info{
			ID: fmt.Sprintf("worker-%d", i), Address: fmt.Sprint(i), Zone: testZone, Rack: fmt.Sprint("rack-", i%2),
			Has: job.Resources{Millicores: 4000, MemoryMB: 16000, Accelerators: 1},
		}
		c.workers = append(c.workers, standin.New(info, opts...))
	}
	c.listed = func() []worker.Info {
		var out []worker.Info
		for _, w := range c.workers {
			out = append(out, w.Info())
		}
		return out
	}
	return c
}

// add starts a scheduler that does not own the zone yet.
func (c *cell) add(extra ...Option) *node {
	n := &node{c: c, store: &memory.Faults{}, heldStarts: make(chan struct{}, 1024)}
	opts := append([]Option{
		Zone(testZone), Store(c.kv.Client(n.store)), Owns(n.owns), Dial(n.dial),
		Workers(func() []worker.Info { return c.listed() }),
		Journal(record.Rate(100, 10)),
	}, extra...)
	n.sched = New(opts...)
	c.nodes = append(c.nodes, n)
	return n
}

func (n *node) owns() (int64, int64, bool) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.epoch, n.revision, n.epoch > 0 && !n.invalid && n.c.owner == n
}

// makeOwner makes n the owner. It writes the epoch key, so that the former owner can no longer commit.
func (c *cell) makeOwner(n *node) {
	var epoch int64 = 1
	if c.owner != nil {
		epoch = c.owner.epoch + 1
	}
	res, err := c.kv.Store().Txn(context.Background(), store.Txn{Then: []store.Op{{Key: epochKey(testZone), Value: fmt.Append(nil, epoch)}}})
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	n.epoch, n.revision, c.owner = epoch, res.Revision, n
	c.mu.Unlock()
}

// dial returns a client for a worker. Starts can be blocked after the ownership check.
func (n *node) dial(info worker.Info, valid func() bool) *worker.Client {
	var i int
	_, _ = fmt.Sscan(info.Address, &i)
	inner := n.c.workers[i].Client()
	return &worker.Client{
		Heartbeat: inner.Heartbeat,
		Act: func(ctx context.Context, a *worker.Act) (*worker.Report, error) {
			if !valid() {
				return nil, worker.ErrNotSent
			}
			return inner.Act(ctx, a)
		},
		Start: func(ctx context.Context, s *worker.Start) (*worker.Report, error) {
			if !valid() {
				return nil, worker.ErrNotSent
			}
			n.c.mu.Lock()
			hold := n.holdStart
			n.c.mu.Unlock()
			if hold != nil {
				n.heldStarts <- struct{}{}
				<-hold
				ctx = context.Background()
			}
			return inner.Start(ctx, s)
		},
	}
}

func (n *node) holdStarts() (release func()) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	hold := make(chan struct{})
	n.holdStart = hold
	return sync.OnceFunc(func() { close(hold) })
}

func (n *node) setInvalid(on bool) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	n.invalid = on
}

// spec returns a batch job whose tasks need one core each.
func spec(key string, tasks int, change ...func(*job.Submission)) *job.Submission {
	s := &job.Submission{
		Key: key, Team: "team", Class: "roster", Kind: job.Batch, Tasks: tasks, Repeatable: true,
		TaskResources: job.Resources{Millicores: 1000, MemoryMB: 1000},
	}
	for _, f := range change {
		f(s)
	}
	return s
}

func notRepeatable(s *job.Submission) { s.Repeatable, s.Class = false, "certificate" }

func gang(s *job.Submission) { s.Gang, s.Class = true, "matching" }

// long sets a run time that is longer than the detection of any fault.
func long(s *job.Submission) { s.RunSeconds = 25 }

// submit retries until a scheduler accepts the job, as a caller with a key may, and records the acceptance with the
// checker.
func (c *cell) submit(s *job.Submission) string {
	for {
		c.mu.Lock()
		n := c.owner
		c.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		st, err := n.sched.Submit(ctx, s, "")
		cancel()
		if err == nil {
			c.checker.Record(history.Event{At: time.Now(), Kind: history.Accepted, Job: st.ID, Repeatable: s.Repeatable})
			c.mu.Lock()
			c.reported[st.ID] = false
			c.mu.Unlock()
			return st.ID
		}
		if f := rpc.AsFault(err); f != nil && f.RetryAfter == 0 && f.Code == rpc.CodeRefused {
			c.t.Fatalf("submit %s: %v", s.Key, err)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// cancel retries until a scheduler has made the cancellation durable.
func (c *cell) cancel(id string) {
	for {
		c.mu.Lock()
		n := c.owner
		c.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, err := n.sched.Cancel(ctx, id, "wave")
		cancel()
		if err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// await waits up to limit for the job's end and records its outcome with the checker.
func (c *cell) await(id string, limit time.Duration) *job.Status {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		c.mu.Lock()
		n := c.owner
		c.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		st, err := n.sched.Wait(ctx, id)
		cancel()
		if err == nil && st.State == job.Final {
			c.recordOutcome(st)
			return st
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.t.Errorf("job %s is not final after %v", id, limit)
	return &job.Status{ID: id}
}

func (c *cell) recordOutcome(st *job.Status) {
	c.mu.Lock()
	reported := c.reported[st.ID]
	c.reported[st.ID] = true
	c.mu.Unlock()
	if reported {
		return
	}
	intact := true
	for _, k := range st.Tasks {
		intact = intact && (k.Answer == nil || k.Answer.IsIntact())
	}
	c.checker.Record(history.Event{At: time.Now(), Kind: history.Reported, Job: st.ID, Outcome: st.Outcome, Intact: intact})
}

// stop stops everything and returns the violations found by the checker and the workers.
func (c *cell) stop() error {
	for _, n := range c.nodes {
		n.sched.Kill()
	}
	for id, reported := range c.reported {
		if !reported {
			c.checker.Record(history.Event{At: time.Now(), Kind: history.Live, Job: id})
		}
	}
	var all []error
	for _, w := range c.workers {
		for _, v := range w.Violations() {
			all = append(all, errors.New(v))
		}
		w.Close()
	}
	return errors.Join(append(all, c.checker.Check().Err())...)
}
