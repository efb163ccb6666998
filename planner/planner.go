package planner

import (
	"maps"
	"slices"
	"time"

	"turmericgap/job"
	"turmericgap/learn"
	"turmericgap/placement"
	"turmericgap/queue"
	"turmericgap/quota"
	"turmericgap/rule"
	"turmericgap/worker"
)

// Planner holds the pending and running tasks of a set of workers. It is not safe for concurrent use.
type Planner struct {
	options Options
	index   *placement.Index
	queue   *queue.Queue[*entry]
	ledger  *quota.Ledger
	learner *learn.Learner
	jobs    map[string]*entry
	// running holds all tasks with allocated resources; tasksByWorker holds the same tasks by worker id.
	running       []*task
	tasksByWorker map[string][]*task
	// ruleCounts counts tasks by rule id, pendingByClass waiting tasks by class.
	ruleCounts     map[string]*taskCounts
	pendingByClass map[string]int
	pending        int
	reservations   []*reservation
	// blockedJobs holds jobs that wait for capacity and may get it by preemption or a reservation.
	blockedJobs []*entry
	// lastReservation is the time at which a reservation was last computed.
	lastReservation time.Time
	// retryAll makes the next call of Next retry all blocked lanes. Otherwise it retries only lanes whose request fits
	// on one of freedNodes, and lanes of gangs and of jobs under a limit if any node is in freedNodes.
	retryAll   bool
	freedNodes []*placement.Node
	// unfitRequests caches requests that fit no worker, until capacity is freed.
	unfitRequests []unfitRequest
	// now is the latest time passed in by the caller.
	now       time.Time
	poolUsage queue.PoolUsage
}

// maxFreedNodes is the number of freed workers beyond which all lanes are retried.
const maxFreedNodes = 64

type taskCounts struct{ pending, running int }

// New returns a planner without workers.
func New(opts ...Option) *Planner {
	o := newOptions(opts)
	p := &Planner{
		options:        o,
		index:          placement.New(o.Seed),
		queue:          queue.New[*entry](),
		ledger:         quota.New(),
		learner:        learn.New(learn.DefaultMaxClasses),
		jobs:           map[string]*entry{},
		tasksByWorker:  map[string][]*task{},
		ruleCounts:     map[string]*taskCounts{},
		pendingByClass: map[string]int{},
	}
	p.poolUsage = queue.PoolUsage{
		Share: func(pool string) float64 {
			capacity, _ := p.index.Totals()
			return p.ledger.DominantShare(pool, capacity)
		},
		WithinQuota: func(k *queue.Key) bool { return p.ledger.Fits(k.Pool, k.Request.Times(max(k.GangSize, 1))) },
	}
	for team := range o.Quotas {
		p.ledger.AddMember(team)
	}
	p.setQuotas()
	return p
}

func (p *Planner) setQuotas() {
	for team, most := range p.options.Quotas {
		p.ledger.SetLimit(team, most, true)
	}
}

// SetRules replaces the rules and evaluates them again for all jobs, as of the time each was accepted. Accepted jobs
// are not refused afterwards, and running tasks keep their workers.
func (p *Planner) SetRules(l *rule.List) {
	p.options.Rules = l
	p.ledger.ClearLimits()
	p.setQuotas()
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		e := p.jobs[id]
		p.queue.Remove(&e.item)
		p.addPending(e, -len(e.pending))
		p.ledger.RemoveMember(e.pool)
		p.applyRules(e)
		p.addPending(e, len(e.pending))
		p.enqueue(e)
	}
	p.retryAll = true
}

// Decision returns the current decision for a job.
func (p *Planner) Decision(jobID string) (d Decision, known bool) {
	e, ok := p.jobs[jobID]
	if !ok {
		return Decision{}, false
	}
	return e.decision, true
}

// SetWorker adds or updates a worker. A worker that is not open gets no new tasks; one on probe gets one task at a
// time.
func (p *Planner) SetWorker(now time.Time, info worker.Info, open, probe bool) {
	p.advanceClock(now)
	known := p.index.Node(info.ID)
	p.unreserveWorker(info.ID)
	n := p.index.Set(info, open, probe)
	if known == nil {
		// Tasks keep their resources while a worker is missing from the VM list. Without this a worker that comes
		// back would look empty and be overcommitted.
		for _, t := range p.tasksByWorker[info.ID] {
			p.index.Allocate(n, t.charge)
			t.zone = info.Zone
		}
	}
	p.retryAll = true
}

// RemoveWorker removes a worker. Its tasks stay allocated until they are released.
func (p *Planner) RemoveWorker(id string) {
	p.unreserveWorker(id)
	p.index.Remove(id)
}

func (p *Planner) advanceClock(now time.Time) {
	if now.After(p.now) {
		p.now = now
	}
}

// allocate charges a task to its worker and pool.
func (p *Planner) allocate(e *entry, index int, workerID string) *task {
	t := &task{
		entry: e, index: index, worker: workerID, charge: e.charge, pool: e.pool, rule: e.decision.Rule,
		started: p.now, runningIndex: len(p.running),
		plannedEnd: p.now.Add(e.estimate.P90), borrowed: !p.ledger.Fits(e.pool, e.charge),
	}
	p.running = append(p.running, t)
	p.tasksByWorker[workerID] = append(p.tasksByWorker[workerID], t)
	e.running[index] = t
	e.tasksOn[workerID]++
	p.ledger.Charge(t.pool, t.charge)
	p.ruleTaskCounts(t.rule).running++
	if n := p.index.Node(workerID); n != nil {
		t.zone = n.Info.Zone
		p.useSpare(n, t)
		p.index.Allocate(n, t.charge)
	}
	return t
}

// deallocate reverses allocate.
func (p *Planner) deallocate(t *task) {
	last := len(p.running) - 1
	p.running[t.runningIndex] = p.running[last]
	p.running[t.runningIndex].runningIndex = t.runningIndex
	p.running[last] = nil
	p.running = p.running[:last]
	p.removeFromWorker(t)
	delete(t.entry.running, t.index)
	if t.preempting {
		t.entry.preempting--
	}
	if t.entry.tasksOn[t.worker]--; t.entry.tasksOn[t.worker] == 0 {
		delete(t.entry.tasksOn, t.worker)
	}
	p.ledger.Release(t.pool, t.charge)
	p.ruleTaskCounts(t.rule).running--
	p.pruneRuleCounts(t.rule)
	if n := p.index.Node(t.worker); n != nil {
		p.index.Release(n, t.charge)
		p.freedNodes = append(p.freedNodes, n)
	}
	p.retryAll = p.retryAll || len(p.freedNodes) > maxFreedNodes
}

// mayStart reports whether a blocked lane may start on the freed workers. Without this check every task that ends in
// a full cell would cause all lanes to be retried.
func (p *Planner) mayStart(k *queue.Key) bool {
	if k.GangSize > 0 || k.Limited {
		return len(p.freedNodes) > 0
	}
	for _, n := range p.freedNodes {
		if k.Request.FitsIn(n.AvailableNow()) {
			return true
		}
	}
	return false
}

func (p *Planner) removeFromWorker(t *task) {
	held := p.tasksByWorker[t.worker]
	for i := range held {
		if held[i] == t {
			held = append(held[:i], held[i+1:]...)
			break
		}
	}
	if p.tasksByWorker[t.worker] = held; len(held) == 0 {
		delete(p.tasksByWorker, t.worker)
	}
}

func (p *Planner) ruleTaskCounts(ruleID string) *taskCounts {
	t, ok := p.ruleCounts[ruleID]
	if !ok {
		t = &taskCounts{}
		p.ruleCounts[ruleID] = t
	}
	return t
}

func (p *Planner) pruneRuleCounts(ruleID string) {
	if t := p.ruleCounts[ruleID]; t != nil && *t == (taskCounts{}) {
		delete(p.ruleCounts, ruleID)
	}
}

func (p *Planner) addPending(e *entry, n int) {
	p.pending += n
	p.ruleTaskCounts(e.decision.Rule).pending += n
	p.pruneRuleCounts(e.decision.Rule)
	if p.pendingByClass[e.spec.Class] += n; p.pendingByClass[e.spec.Class] == 0 {
		delete(p.pendingByClass, e.spec.Class)
	}
}

// ObserveUsage records the current usage of a running task and keeps its peak.
func (p *Planner) ObserveUsage(jobID string, index int, used job.Resources) {
	if e, ok := p.jobs[jobID]; ok {
		if t, ok := e.running[index]; ok {
			t.peakUsage = t.peakUsage.Max(used)
		}
	}
}
