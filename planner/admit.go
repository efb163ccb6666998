package planner

import (
	"slices"
	"time"

	"turmericgap/job"
	"turmericgap/learn"
	"turmericgap/placement"
	"turmericgap/rule"
)

// When a refused job may be offered again.
const (
	retryFullQueue = 5 * time.Second
	retryNoWorkers = 2 * time.Second
)

// Admit says whether the job would be accepted, and changes nothing.
func (p *Planner) Admit(_ time.Time, j *Job) Decision {
	d, effect := p.ask(j.Spec, j.Accepted)
	switch {
	case d.RefusalReason != "":
	case p.index.Len() == 0:
		d.RefusalReason, d.RetryAfter = "no worker is known yet", retryNoWorkers
	case !p.index.Feasible(j.Spec.Each, j.Spec.Tasks, j.Spec.Gang, j.Spec.Zone):
		d.RefusalReason, d.Infeasible = hopeless(j.Spec), true
	case p.pending+j.Spec.Tasks > p.options.MaxPending:
		d.RefusalReason, d.RetryAfter = "the queue is full", retryFullQueue
	case effect.MostPending > 0 && p.pendingUnder(d.Rule)+j.Spec.Tasks > effect.MostPending:
		d.RefusalReason, d.RetryAfter = "the queue of rule "+d.Rule+" is full", retryFullQueue
	case j.Spec.Gang && effect.MostRunning > 0 && j.Spec.Tasks > effect.MostRunning:
		d.RefusalReason = "a gang of this size exceeds the limit of rule " + d.Rule
	case !p.quotaAllows(j.Spec, effect):
		d.RefusalReason = "it exceeds the quota of its pool, which may not borrow"
	}
	return d
}

func hopeless(s *job.Submission) string {
	where := "the zone"
	if s.Zone != "" {
		where = "zone " + s.Zone
	}
	if s.Gang {
		return "the whole gang does not fit into " + where + ", even if empty"
	}
	return "a task does not fit into any worker of " + where + ", even if empty"
}

func (p *Planner) pendingUnder(ruleID string) int {
	if t := p.rules[ruleID]; t != nil {
		return t.pending
	}
	return 0
}

// quotaAllows refuses what could never start under a quota without borrowing.
func (p *Planner) quotaAllows(s *job.Submission, e *rule.Effect) bool {
	need := s.Each
	if s.Gang {
		need = need.Times(s.Tasks)
	}
	return e.Quota == nil || e.Quota.Borrow || need.Fits(e.Quota.Most)
}

// ask puts the job to the rules as it stood when it was accepted.
func (p *Planner) ask(s *job.Submission, accepted time.Time) (Decision, *rule.Effect) {
	if p.options.Rules == nil {
		return Decision{}, noEffect
	}
	var r rule.Request
	r.ForJob(accepted, s)
	e := p.options.Rules.Decide(&r)
	if e == nil {
		return Decision{}, noEffect
	}
	return Decision{
		Rule: e.Rule, Priority: e.Priority, RefusalReason: e.Refuse,
		RetryAfter:     time.Duration(e.RetryAfterSeconds) * time.Second,
		TimeoutSeconds: e.TimeoutSeconds, Retries: e.Retries,
	}, e
}

// Add enqueues all tasks of a job whose record is durable; a job that is known stays as it is.
func (p *Planner) Add(now time.Time, j *Job) Decision {
	p.tick(now)
	if e, ok := p.jobs[j.ID]; ok {
		return e.decision
	}
	e := &entry{
		id: j.ID, spec: j.Spec, accepted: j.Accepted, kind: learn.Key{Team: j.Spec.Team, Class: j.Spec.Class},
		running: map[int]*task{}, on: map[string]int{}, pending: make([]int, j.Spec.Tasks), waitsSince: now,
	}
	for i := range e.pending {
		e.pending[i] = i
	}
	e.item.Value = e
	p.jobs[j.ID] = e
	p.decide(e)
	p.countPending(e, len(e.pending))
	p.enqueue(e)
	return e.decision
}

// decide fills in what the rules say of a job.
func (p *Planner) decide(e *entry) {
	e.decision, e.effect = p.ask(e.spec, e.accepted)
	e.decision.RefusalReason, e.decision.RetryAfter = "", 0
	e.pool, e.strategy = e.spec.Team, e.effect.Strategy
	if q := e.effect.Quota; q != nil {
		if q.Pool != "" {
			e.pool = q.Pool
		}
		p.ledger.SetLimit(e.pool, q.Most, q.Borrow)
	}
	p.ledger.AddMember(e.pool)
	switch {
	case e.strategy != "":
	case e.service():
		e.strategy = placement.Spread
	default:
		e.strategy = p.options.Strategy
	}
}

// enqueue puts a job with pending tasks where it belongs now.
func (p *Planner) enqueue(e *entry) {
	if len(e.pending) == 0 {
		return
	}
	e.estimate = p.learner.Estimate(e.kind, time.Duration(e.spec.RunSeconds)*time.Second)
	e.charge = p.charge(e)
	has, _ := p.index.Totals()
	// Half of the cell is what a job can count on beside others.
	width := placement.FitCount(has, e.charge, 2*len(e.pending)) / 2
	e.item.LateAt = e.lateAt(max(width, 1))
	p.queue.Push(&e.item, e.key())
}

// charge is what was declared, or the learned peak where that is more and still fits a worker. A
// gang is charged as declared, since it was admitted as a whole by that.
func (p *Planner) charge(e *entry) job.Resources {
	if !e.estimate.Learned || e.spec.Gang {
		return e.spec.Each
	}
	want := e.estimate.Charge(e.spec.Each, p.index.MaxCapacity())
	if want == e.spec.Each || !p.index.Feasible(want, 1, false, e.spec.Zone) {
		return e.spec.Each
	}
	return want
}

// requeue puts the job back in its place after its pending tasks have changed.
func (p *Planner) requeue(e *entry) {
	p.queue.Remove(&e.item)
	p.enqueue(e)
}

// MarkRunning notes that a task holds its resources on a worker already.
func (p *Planner) MarkRunning(jobID string, index int, workerID string) {
	e, ok := p.jobs[jobID]
	if !ok {
		return
	}
	at := slices.Index(e.pending, index)
	if at < 0 {
		return
	}
	e.pending = slices.Delete(e.pending, at, at+1)
	p.countPending(e, -1)
	p.take(e, index, workerID)
	p.requeue(e)
}

// Release frees what an attempt held after it has surely ended.
func (p *Planner) Release(now time.Time, jobID string, index int, end AttemptResult) {
	p.tick(now)
	e, ok := p.jobs[jobID]
	if !ok {
		return
	}
	t, ok := e.running[index]
	if !ok {
		return
	}
	p.drop(t)
	// An owner that recovers releases tasks whose run it has not seen; learned as zero, they would
	// make their class look instant and spoil the slack of its deadlines.
	if end.Completed && end.RunTime > 0 && !e.service() {
		p.learner.Observe(e.kind, end.RunTime, e.spec.Each, end.PeakUsage.Max(t.peak))
	}
	if end.Requeue && !e.final {
		e.pending = append(e.pending, index)
		p.countPending(e, 1)
		e.waitsSince = now
		p.requeue(e)
	}
	p.forget(e)
}

// DropPending forgets the pending tasks of a job that is final.
func (p *Planner) DropPending(jobID string) {
	e, ok := p.jobs[jobID]
	if !ok {
		return
	}
	p.unreserve(e.reservation)
	p.queue.Remove(&e.item)
	p.countPending(e, -len(e.pending))
	e.pending, e.final = nil, true
	p.forget(e)
}

func (p *Planner) forget(e *entry) {
	if len(e.pending) == 0 && len(e.running) == 0 {
		p.unreserve(e.reservation)
		p.ledger.RemoveMember(e.pool)
		delete(p.jobs, e.id)
	}
}
