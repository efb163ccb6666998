package dispatch

import (
	"bytes"
	"container/heap"
	"context"
	"fmt"
	"hash/fnv"
	"time"

	"turmericgap/job"
	"turmericgap/owner"
	"turmericgap/permit"
	"turmericgap/worker"
)

// replay plays a load through the decisions of an owner, without store, workers or connections: what is durable
// and what a worker confirms happens at once. Each answer and end has a moment of its own, so that the same load
// gives the same decisions each time. It runs under the test's clock.
type replay struct {
	term *term
	// ticker stands for the term's own ticks.
	ticker *time.Ticker
	events eventHeap
	// runs gives how long a task works.
	runs map[string]time.Duration
	// began is when the load began; the decisions are listed from there.
	began     time.Time
	decisions bytes.Buffer
	// ended counts the works that are done.
	ended int
}

// timedEvent is something that happens at a time.
type timedEvent struct {
	at time.Time
	do func()
}

// eventHeap is a heap of them.
type eventHeap []timedEvent

func (m eventHeap) Len() int           { return len(m) }
func (m eventHeap) Less(i, j int) bool { return m[i].at.Before(m[j].at) }
func (m eventHeap) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *eventHeap) Push(x any)        { *m = append(*m, x.(timedEvent)) }
func (m *eventHeap) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

// newReplay has so many VMs that may ask, and the answers of a policy service.
func newReplay(ctx context.Context, vms int, answer func(*permit.Request) ([]string, time.Duration), opts ...Option) *replay {
	var nodes []owner.Node
	for i := range vms {
		nodes = append(nodes, owner.Node{ID: fmt.Sprintf("vm%03d", i)})
	}
	ask := func(ctx context.Context, _ owner.Node, q *permit.Request) (*permit.Response, error) {
		names, takes := answer(q)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(takes + jitter(q.Work, q.Step, q.Workers[0])):
		}
		a := &permit.Response{TicketTTL: 1500 * time.Millisecond}
		for _, id := range names {
			a.Grants = append(a.Grants, permit.Grant{Worker: id, Ticket: "t-" + id})
		}
		return a, nil
	}
	opts = append(opts, Permits(func() []owner.Node { return nodes }, ask))
	tenure := &owner.Tenure{Fence: 1, Confirmed: func(time.Duration) bool { return true }}
	r := &replay{term: newTerm(ctx, newOptions(opts), tenure), runs: make(map[string]time.Duration), began: time.Now()}
	r.term.endedLoaded = true
	return r
}

// jitter is a short time that differs from event to event.
func jitter(parts ...any) time.Duration {
	h := fnv.New32a()
	fmt.Fprint(h, parts...)
	return time.Duration(h.Sum32()%999_983) * time.Nanosecond
}

// worker adds a worker that answers all calls.
func (r *replay) worker(id, zone, rack string, has job.Resources) *node {
	t := r.term
	n := t.nodeFor(id)
	n.listing = worker.ListedWorker{Info: worker.Info{ID: id, Zone: zone, Rack: rack, Has: has}, Pool: "p"}
	n.listed, n.synced, n.free = true, true, has
	n.updateIndex()
	n.agent = &worker.Agent{
		Launch: func(context.Context, *worker.Launch) (time.Duration, error) { return 0, nil },
		Halt:   func(context.Context, *worker.Halt) (time.Duration, error) { return 0, nil },
	}
	return n
}

// at has f done at a time at the load began.
func (r *replay) at(d time.Duration, f func()) {
	heap.Push(&r.events, timedEvent{r.began.Add(d), f})
}

// submitAt hands in a work whose tasks work so long.
func (r *replay) submitAt(d time.Duration, w *job.Work, runs time.Duration) {
	r.runs[w.ID] = runs
	r.at(d, func() {
		w.Accepted = time.Now()
		r.term.addWork(w)
	})
}

// run runs the load until a time after it began.
func (r *replay) run(until time.Duration) {
	r.ticker = time.NewTicker(tickInterval)
	defer r.ticker.Stop()
	r.markHeard()
	r.at(until, func() {})
	for end := r.began.Add(until); time.Now().Before(end); {
		next := time.NewTimer(time.Until(r.events[0].at))
		select {
		case f := <-r.term.events:
			f()
			r.term.drainEvents()
		case <-r.ticker.C:
			r.markHeard()
			r.term.passNeeded = r.term.passNeeded || len(r.term.waitingStages) > 0
		case <-next.C:
			heap.Pop(&r.events).(timedEvent).do()
		}
		next.Stop()
		if r.term.passNeeded {
			r.term.runPassIfDue(time.Now())
		}
		r.commitAll()
	}
	r.term.close()
}

// markHeard lets all workers have answered just now.
func (r *replay) markHeard() {
	for _, n := range r.term.nodes {
		n.heardAt, n.clockAt = time.Now(), time.Now()
	}
}

// commitAll makes durable what was decided, and has the runs that began end in time.
func (r *replay) commitAll() {
	t := r.term
	for len(t.committer.queue) > 0 {
		s := t.committer.queue[0]
		t.committer.queue = t.committer.queue[1:]
		s.entry.pendingSave = nil
		for _, o := range s.entry.occurrences {
			for _, st := range o.stages {
				r.scheduleEnds(st)
			}
		}
		for _, f := range s.effects {
			f()
		}
		if s.entry.isRemovable() && !s.entry.endQueued {
			s.entry.endQueued = true
			delete(t.entries, s.entry.work.ID)
			r.ended++
		}
	}
}

// scheduleEnds has the runs of a stage that were decided just now end in time.
func (r *replay) scheduleEnds(s *stage) {
	for i := range s.tasks {
		k := s.tasks[i].run
		if k == nil || k.ended || !k.sentAt.IsZero() || k.stopping {
			continue
		}
		task := k.task()
		now := time.Since(r.began)
		fmt.Fprintf(&r.decisions, "%9.3f ms %s.%d.%d run %d on %s\n", float64(now.Microseconds())/1000, task.Work, task.Step, task.Index, k.number, k.node.id)
		r.at(now+r.runs[task.Work]+jitter(task, k.number), func() { r.term.endRun(k, worker.OutcomeDone, "") })
	}
}
