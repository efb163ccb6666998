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

// Planner holds the pending and running tasks of the workers that its owner owns. It is not safe
// for concurrent use.
type Planner struct {
	options Options
	index   *placement.Index
	queue   *queue.Queue[*entry]
	ledger  *quota.Ledger
	learner *learn.Learner
	jobs    map[string]*entry
	// running holds all tasks that hold resources, held those of each worker.
	running []*task
	held    map[string][]*task
	// rules counts the tasks under each rule, classes the waiting ones of each class.
	rules        map[string]*tally
	classes      map[string]int
	pending      int
	reservations []*reservation
	// wanting holds blocked jobs for which room may be made.
	wanting []*entry
	// reserved is when a reservation was last worked out.
	reserved time.Time
	// freed says that anything may start since the last pass; otherwise only what has a chance on
	// the workers of freedOn, or any gang or bounded job if something has ended.
	freed   bool
	freedOn []*placement.Node
	// unfit holds sizes for which there was no room since anything was freed.
	unfit []unfit
	// now is the latest time that the owner gave.
	now   time.Time
	terms queue.PoolUsage
}

// mostFreed bounds the workers that are remembered one by one.
const mostFreed = 64

type tally struct{ pending, running int }

// New makes a planner without workers.
func New(opts ...Option) *Planner {
	o := newOptions(opts)
	p := &Planner{
		options: o,
		index:   placement.New(o.Seed),
		queue:   queue.New[*entry](),
		ledger:  quota.New(),
		learner: learn.New(learn.DefaultMaxClasses),
		jobs:    map[string]*entry{},
		held:    map[string][]*task{},
		rules:   map[string]*tally{},
		classes: map[string]int{},
	}
	p.terms = queue.PoolUsage{
		Share: func(pool string) float64 {
			has, _ := p.index.Totals()
			return p.ledger.DominantShare(pool, has)
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

// SetRules replaces the rules. All jobs are decided anew, as they stood when they were accepted; one
// that was accepted is never refused afterwards, and what runs keeps its worker.
func (p *Planner) SetRules(l *rule.List) {
	p.options.Rules = l
	p.ledger.ClearLimits()
	p.setQuotas()
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		e := p.jobs[id]
		p.queue.Remove(&e.item)
		p.countPending(e, -len(e.pending))
		p.ledger.RemoveMember(e.pool)
		p.decide(e)
		p.countPending(e, len(e.pending))
		p.enqueue(e)
	}
	p.freed = true
}

// Decision gives what the rules say now of a job that the planner holds.
func (p *Planner) Decision(jobID string) (d Decision, known bool) {
	e, ok := p.jobs[jobID]
	if !ok {
		return Decision{}, false
	}
	return e.decision, true
}

// SetWorker adds or changes a worker. One that is not open gets nothing new; one on probe gets one
// task at a time.
func (p *Planner) SetWorker(now time.Time, info worker.Info, open, probe bool) {
	p.tick(now)
	known := p.index.Node(info.ID)
	p.unreserveWorker(info.ID)
	n := p.index.Set(info, open, probe)
	if known == nil {
		// What an attempt holds outlives the worker's absence from the VM list. Without this a
		// worker that comes back would look empty, and be overfilled.
		for _, t := range p.held[info.ID] {
			p.index.Allocate(n, t.charge)
			t.zone = info.Zone
		}
	}
	p.freed = true
}

// RemoveWorker forgets a worker; its tasks are released one by one.
func (p *Planner) RemoveWorker(id string) {
	p.unreserveWorker(id)
	p.index.Remove(id)
}

func (p *Planner) tick(now time.Time) {
	if now.After(p.now) {
		p.now = now
	}
}

// take charges a task to its worker and pool.
func (p *Planner) take(e *entry, index int, workerID string) *task {
	t := &task{
		entry: e, index: index, worker: workerID, charge: e.charge, pool: e.pool, rule: e.decision.Rule, started: p.now, at: len(p.running),
		end: p.now.Add(e.estimate.P90), borrowed: !p.ledger.Fits(e.pool, e.charge),
	}
	p.running = append(p.running, t)
	p.held[workerID] = append(p.held[workerID], t)
	e.running[index] = t
	e.on[workerID]++
	p.ledger.Charge(t.pool, t.charge)
	p.tally(t.rule).running++
	if n := p.index.Node(workerID); n != nil {
		t.zone = n.Info.Zone
		p.spend(n, t)
		p.index.Allocate(n, t.charge)
	}
	return t
}

// drop is the opposite of take.
func (p *Planner) drop(t *task) {
	last := len(p.running) - 1
	p.running[t.at] = p.running[last]
	p.running[t.at].at = t.at
	p.running[last] = nil
	p.running = p.running[:last]
	p.unhold(t)
	delete(t.entry.running, t.index)
	if t.leaving {
		t.entry.leaving--
	}
	if t.entry.on[t.worker]--; t.entry.on[t.worker] == 0 {
		delete(t.entry.on, t.worker)
	}
	p.ledger.Release(t.pool, t.charge)
	p.tally(t.rule).running--
	p.untally(t.rule)
	if n := p.index.Node(t.worker); n != nil {
		p.index.Release(n, t.charge)
		p.freedOn = append(p.freedOn, n)
	}
	p.freed = p.freed || len(p.freedOn) > mostFreed
}

// chance reports whether a blocked lane may start now that something was freed. Without the
// question, each end of a task would have every lane of a full cell tried in vain.
func (p *Planner) chance(k *queue.Key) bool {
	if k.GangSize > 0 || k.Limited {
		return len(p.freedOn) > 0
	}
	for _, n := range p.freedOn {
		if k.Request.Fits(n.AvailableNow()) {
			return true
		}
	}
	return false
}

func (p *Planner) unhold(t *task) {
	held := p.held[t.worker]
	for i := range held {
		if held[i] == t {
			held = append(held[:i], held[i+1:]...)
			break
		}
	}
	if p.held[t.worker] = held; len(held) == 0 {
		delete(p.held, t.worker)
	}
}

func (p *Planner) tally(ruleID string) *tally {
	t, ok := p.rules[ruleID]
	if !ok {
		t = &tally{}
		p.rules[ruleID] = t
	}
	return t
}

func (p *Planner) untally(ruleID string) {
	if t := p.rules[ruleID]; t != nil && *t == (tally{}) {
		delete(p.rules, ruleID)
	}
}

func (p *Planner) countPending(e *entry, n int) {
	p.pending += n
	p.tally(e.decision.Rule).pending += n
	p.untally(e.decision.Rule)
	if p.classes[e.spec.Class] += n; p.classes[e.spec.Class] == 0 {
		delete(p.classes, e.spec.Class)
	}
}

// ObserveUsage notes what a running task lately used.
func (p *Planner) ObserveUsage(jobID string, index int, used job.Resources) {
	if e, ok := p.jobs[jobID]; ok {
		if t, ok := e.running[index]; ok {
			t.peak = t.peak.Max(used)
		}
	}
}
