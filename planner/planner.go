package planner

import (
	"slices"
	"sort"
	"time"

	"turmericgap/job"
	"turmericgap/rule"
	"turmericgap/worker"
)

// Planner holds the pending and running tasks of the workers that its owner owns. It is not safe
// for concurrent use.
type Planner struct {
	options Options
	jobs    map[string]*entry
	order   []*entry
	workers map[string]*node
	sorted  []*node
	pending int
	running int
}

type entry struct {
	id       string
	spec     *job.Submission
	accepted time.Time
	decision Decision
	pending  []int
	running  map[int]string
	final    bool
}

type node struct {
	info  worker.Info
	free  job.Resources
	open  bool
	probe bool
	tasks int
}

// New makes a planner without workers.
func New(opts ...Option) *Planner {
	return &Planner{
		options: newOptions(opts),
		jobs:    map[string]*entry{},
		workers: map[string]*node{},
	}
}

// SetRules replaces the rules; jobs that are known keep their decision.
func (p *Planner) SetRules(l *rule.List) { p.options.Rules = l }

// SetWorker adds or changes a worker. One that is not open gets nothing new; one on probe gets one
// task at a time.
func (p *Planner) SetWorker(_ time.Time, info worker.Info, open, probe bool) {
	n, ok := p.workers[info.ID]
	if !ok {
		n = &node{}
		p.workers[info.ID] = n
		at := sort.Search(len(p.sorted), func(i int) bool { return p.sorted[i].info.ID > info.ID })
		p.sorted = slices.Insert(p.sorted, at, n)
	}
	n.free = n.free.Plus(info.Has.Minus(n.info.Has))
	n.info, n.open, n.probe = info, open && !info.Leaving, probe
}

// RemoveWorker forgets a worker; its tasks are released one by one.
func (p *Planner) RemoveWorker(id string) {
	n, ok := p.workers[id]
	if !ok {
		return
	}
	delete(p.workers, id)
	at := slices.Index(p.sorted, n)
	p.sorted = slices.Delete(p.sorted, at, at+1)
}

// Admit says whether the job would be accepted, and changes nothing.
func (p *Planner) Admit(now time.Time, j *Job) Decision {
	d := p.decide(now, j.Spec)
	switch {
	case d.Refused != "":
	case !p.possible(j.Spec):
		d.Refused = "its tasks fit no worker of the zone, even empty"
	case p.pending+j.Spec.Tasks > p.options.MostPending:
		d.Refused, d.RetryAfter = "the queue is full", time.Second
	}
	return d
}

func (p *Planner) decide(now time.Time, s *job.Submission) Decision {
	if p.options.Rules == nil {
		return Decision{}
	}
	var r rule.Request
	r.ForJob(now, s)
	e := p.options.Rules.Decide(&r)
	if e == nil {
		return Decision{}
	}
	return Decision{
		Rule: e.Rule, Priority: e.Priority, Refused: e.Refuse,
		RetryAfter:     time.Duration(e.RetryAfterSeconds) * time.Second,
		TimeoutSeconds: e.TimeoutSeconds, Retries: e.Retries,
	}
}

func (p *Planner) possible(s *job.Submission) bool {
	fit := 0
	for _, n := range p.sorted {
		if s.Zone != "" && s.Zone != n.info.Zone {
			continue
		}
		has := n.info.Has
		for s.Each.Fits(has) && fit < s.Tasks {
			has = has.Minus(s.Each)
			fit++
		}
	}
	return fit >= s.Tasks || (!s.Gang && fit > 0)
}

// Add enqueues all tasks of a job whose record is durable.
func (p *Planner) Add(now time.Time, j *Job) Decision {
	if e, ok := p.jobs[j.ID]; ok {
		return e.decision
	}
	e := &entry{
		id: j.ID, spec: j.Spec, accepted: j.Accepted, decision: p.decide(now, j.Spec),
		running: map[int]string{}, pending: make([]int, j.Spec.Tasks),
	}
	for i := range e.pending {
		e.pending[i] = i
	}
	p.jobs[j.ID] = e
	p.order = append(p.order, e)
	p.pending += len(e.pending)
	return e.decision
}

// Occupy notes that a task holds its resources on a worker already.
func (p *Planner) Occupy(jobID string, task int, workerID string) {
	e, ok := p.jobs[jobID]
	if !ok {
		return
	}
	at := slices.Index(e.pending, task)
	if at < 0 {
		return
	}
	e.pending = slices.Delete(e.pending, at, at+1)
	p.take(e, task, workerID)
}

func (p *Planner) take(e *entry, task int, workerID string) {
	e.running[task] = workerID
	p.pending--
	p.running++
	if n, ok := p.workers[workerID]; ok {
		n.free = n.free.Minus(e.spec.Each)
		n.tasks++
	}
}

// Next decides up to most starts. Their resources are taken at once; a gang starts whole or not.
func (p *Planner) Next(now time.Time, most int) Plan {
	var plan Plan
	for _, e := range p.order {
		if len(e.pending) == 0 || len(plan.Starts) >= most {
			continue
		}
		if e.spec.Gang && !p.wholeFits(e) {
			continue
		}
		for len(e.pending) > 0 && (e.spec.Gang || len(plan.Starts) < most) {
			n := p.first(e.spec)
			if n == nil {
				break
			}
			task := e.pending[0]
			e.pending = e.pending[1:]
			p.take(e, task, n.info.ID)
			plan.Starts = append(plan.Starts, Start{
				Job: e.id, Task: task, Worker: n.info.ID, Waited: now.Sub(e.accepted), Rule: e.decision.Rule,
			})
		}
	}
	return plan
}

func (n *node) fits(s *job.Submission) bool {
	return n.open && (!n.probe || n.tasks == 0) && s.Each.Fits(n.free) && (s.Zone == "" || s.Zone == n.info.Zone)
}

func (p *Planner) first(s *job.Submission) *node {
	for _, n := range p.sorted {
		if n.fits(s) {
			return n
		}
	}
	return nil
}

func (p *Planner) wholeFits(e *entry) bool {
	fit := 0
	for _, n := range p.sorted {
		if !n.fits(e.spec) {
			continue
		}
		free := n.free
		for e.spec.Each.Fits(free) && fit < len(e.pending) {
			free = free.Minus(e.spec.Each)
			fit++
			if n.probe {
				break
			}
		}
	}
	return fit >= len(e.pending)
}

// Release frees what an attempt held after it has surely ended.
func (p *Planner) Release(_ time.Time, jobID string, task int, end End) {
	e, ok := p.jobs[jobID]
	if !ok {
		return
	}
	workerID, ok := e.running[task]
	if !ok {
		return
	}
	delete(e.running, task)
	p.running--
	if n, ok := p.workers[workerID]; ok {
		n.free = n.free.Plus(e.spec.Each)
		n.tasks--
	}
	if end.Requeue && !e.final {
		e.pending = append(e.pending, task)
		p.pending++
	}
	p.forget(e)
}

// Drop forgets the pending tasks of a job that is final.
func (p *Planner) Drop(jobID string) {
	e, ok := p.jobs[jobID]
	if !ok {
		return
	}
	p.pending -= len(e.pending)
	e.pending, e.final = nil, true
	p.forget(e)
}

func (p *Planner) forget(e *entry) {
	if len(e.pending) > 0 || len(e.running) > 0 {
		return
	}
	delete(p.jobs, e.id)
	if at := slices.Index(p.order, e); at >= 0 {
		p.order = slices.Delete(p.order, at, at+1)
	}
}

// Usage notes what a running task lately used.
func (p *Planner) Usage(string, int, job.Resources) {}

// Why explains what a job waits for.
func (p *Planner) Why(_ time.Time, jobID string) Explanation {
	e, ok := p.jobs[jobID]
	if !ok {
		return Explanation{Job: jobID}
	}
	x := Explanation{Job: jobID, Known: true, Rule: e.decision.Rule, Pending: len(e.pending), Running: len(e.running)}
	if x.Pending > 0 {
		x.WaitsFor = "a worker with enough free capacity"
	}
	return x
}

// Stats sums up the planner's state.
func (p *Planner) Stats(_ time.Time) Stats {
	s := Stats{Pending: map[string]int{}, Running: p.running, Workers: len(p.sorted)}
	for _, e := range p.order {
		if len(e.pending) > 0 {
			s.Pending[e.spec.Class] += len(e.pending)
		}
	}
	for _, n := range p.sorted {
		if n.open {
			s.Open++
		}
		s.Has = s.Has.Plus(n.info.Has)
		s.Used = s.Used.Plus(n.info.Has.Minus(n.free))
	}
	s.Packing = packing(s.Used, s.Has)
	return s
}

func packing(used, has job.Resources) float64 {
	most := 0.0
	share := func(u, h int64) {
		if h > 0 {
			most = max(most, float64(u)/float64(h))
		}
	}
	share(used.Millicores, has.Millicores)
	share(used.MemoryMB, has.MemoryMB)
	share(used.Accelerators, has.Accelerators)
	return most
}
