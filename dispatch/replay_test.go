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

// replay runs a load through the decisions of an owner without store, workers or connections: commits and launches
// succeed at once. Each answer and each end has a distinct time, so the same load always leads to the same decisions.
// It runs under the test's fake clock.
type replay struct {
	term *term
	// ticker replaces the ticker of the term.
	ticker *time.Ticker
	events eventHeap
	// runTimes holds the duration of the tasks of each work.
	runTimes map[string]time.Duration
	// startedAt is the start of the load; decisions are logged relative to it.
	startedAt time.Time
	decisions bytes.Buffer
	// endedCount is the number of completed works, inTime that of those in time, by queue.
	endedCount int
	inTime     map[string]int
	// factorOf returns how many times longer tasks run on a worker; nil stands for 1. A gang runs at the pace of its
	// slowest member.
	factorOf func(worker string) float64
}

// timedEvent is an event that is due at a time.
type timedEvent struct {
	at time.Time
	do func()
}

// eventHeap orders events by time.
type eventHeap []timedEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(timedEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// newReplay returns a replay whose owner can send permit requests through that many VMs. The answer function returns
// the allowed workers and the latency of a request.
func newReplay(ctx context.Context, vms int, answer func(*permit.Request) ([]string, time.Duration), opts ...Option) *replay {
	var nodes []owner.Node
	for i := range vms {
		nodes = append(nodes, owner.Node{ID: fmt.Sprintf("vm%03d", i)})
	}
	requestPermit := func(ctx context.Context, _ owner.Node, req *permit.Request) (*permit.Response, error) {
		names, delay := answer(req)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(delay + jitter(req.Work, req.Step, req.Workers[0])):
		}
		a := &permit.Response{TicketTTL: 1500 * time.Millisecond}
		for _, id := range names {
			a.Grants = append(a.Grants, permit.Grant{Worker: id, Ticket: "t-" + id})
		}
		return a, nil
	}
	opts = append(opts, Permits(func() []owner.Node { return nodes }, requestPermit))
	tenure := &owner.Tenure{Fence: 1, Confirmed: func(time.Duration) bool { return true }}
	r := &replay{term: newTerm(ctx, newOptions(opts), tenure), runTimes: make(map[string]time.Duration), inTime: make(map[string]int), startedAt: time.Now()}
	r.term.endedLoaded = true
	r.term.speedsSavedAt = r.startedAt.Add(time.Hour) // there is no store
	return r
}

// jitter returns a duration below 1 ms that differs between events.
func jitter(parts ...any) time.Duration {
	h := fnv.New32a()
	fmt.Fprint(h, parts...)
	return time.Duration(h.Sum32()%999_983) * time.Nanosecond
}

// addWorker adds a worker that confirms all calls at once.
func (r *replay) addWorker(id, zone, rack string, has job.Resources) *node {
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

// at schedules f at a time after the start of the load.
func (r *replay) at(d time.Duration, f func()) {
	heap.Push(&r.events, timedEvent{r.startedAt.Add(d), f})
}

// submitAt schedules the submission of a work whose tasks take that long.
func (r *replay) submitAt(d time.Duration, w *job.Work, duration time.Duration) {
	r.runTimes[w.ID] = duration
	r.at(d, func() {
		w.Accepted = time.Now()
		r.term.addWork(w)
	})
}

// run simulates the load until that time after its start.
func (r *replay) run(until time.Duration) {
	r.ticker = time.NewTicker(tickInterval)
	defer r.ticker.Stop()
	r.markAnswered()
	r.at(until, func() {})
	for end := r.startedAt.Add(until); time.Now().Before(end); {
		next := time.NewTimer(time.Until(r.events[0].at))
		select {
		case f := <-r.term.events:
			f()
			r.term.drainEvents()
		case <-r.ticker.C:
			r.markAnswered()
			if r.factorOf != nil {
				r.term.refreshSpeeds(time.Now())
			}
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

// markAnswered makes all workers appear to have just answered.
func (r *replay) markAnswered() {
	for _, n := range r.term.nodes {
		n.lastAnswerAt, n.clockAt = time.Now(), time.Now()
	}
}

// commitAll makes all queued commits durable and schedules the ends of the runs that they start.
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
			r.endedCount++
			if !time.Now().After(s.entry.lastDue()) {
				r.inTime[s.entry.queue.Name]++
			}
		}
	}
}

// runTime returns how long a run takes.
func (r *replay) runTime(k *run) time.Duration {
	k.Confirmed = true
	duration := r.runTimes[k.task().Work]
	if r.factorOf == nil {
		return duration
	}
	factor := r.factorOf(k.node.id)
	for i := range k.stage.tasks {
		if member := k.stage.tasks[i].run; k.stage.spec.Gang && member != nil {
			factor = max(factor, r.factorOf(member.node.id))
		}
	}
	return time.Duration(factor * float64(duration))
}

// scheduleEnds logs the runs of a stage that have just been decided and schedules their ends.
func (r *replay) scheduleEnds(s *stage) {
	for i := range s.tasks {
		k := s.tasks[i].run
		if k == nil || k.ended || !k.sentAt.IsZero() || k.stopping {
			continue
		}
		task := k.task()
		now := time.Since(r.startedAt)
		fmt.Fprintf(&r.decisions, "%9.3f ms %s.%d.%d run %d on %s\n", float64(now.Microseconds())/1000, task.Work, task.Step, task.Index, k.number, k.node.id)
		r.at(now+r.runTime(k)+jitter(task, k.number), func() { r.term.endRun(k, worker.OutcomeDone, "") })
	}
}
