package planner

import (
	"slices"
	"time"

	"turmericgap/job"
	"turmericgap/learn"
	"turmericgap/placement"
	"turmericgap/rule"
)

// Delays after which a caller may submit a rejected job again.
const (
	fullQueueRetryAfter = 5 * time.Second
	noWorkersRetryAfter = 2 * time.Second
)

// Admit returns the decision that Add would make for j. It does not change the planner.
func (p *Planner) Admit(_ time.Time, j *Job) Decision {
	d, effect := p.evaluateRules(j.Spec, j.Accepted)
	switch {
	case d.RefusalReason != "":
	case p.index.Len() == 0:
		d.RefusalReason, d.RetryAfter = "no worker is known yet", noWorkersRetryAfter
	case !p.index.Feasible(j.Spec.TaskResources, j.Spec.Tasks, j.Spec.Gang, j.Spec.Zone):
		d.RefusalReason, d.Infeasible = infeasibleReason(j.Spec), true
	case p.pending+j.Spec.Tasks > p.options.MaxPending:
		d.RefusalReason, d.RetryAfter = "the queue is full", fullQueueRetryAfter
	case effect.MaxPending > 0 && p.pendingUnder(d.Rule)+j.Spec.Tasks > effect.MaxPending:
		d.RefusalReason, d.RetryAfter = "the queue of rule "+d.Rule+" is full", fullQueueRetryAfter
	case j.Spec.Gang && effect.MaxRunning > 0 && j.Spec.Tasks > effect.MaxRunning:
		d.RefusalReason = "a gang of this size exceeds the limit of rule " + d.Rule
	case !p.quotaAllows(j.Spec, effect):
		d.RefusalReason = "it exceeds the quota of its pool, which may not borrow"
	}
	return d
}

func infeasibleReason(s *job.Submission) string {
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
	if t := p.ruleCounts[ruleID]; t != nil {
		return t.pending
	}
	return 0
}

// quotaAllows reports whether the job could ever start under a quota that does not allow borrowing.
func (p *Planner) quotaAllows(s *job.Submission, e *rule.Effect) bool {
	need := s.TaskResources
	if s.Gang {
		need = need.Times(s.Tasks)
	}
	return e.Quota == nil || e.Quota.Borrow || need.FitsIn(e.Quota.Limit)
}

// evaluateRules evaluates the rules for a job as of the time it was accepted.
func (p *Planner) evaluateRules(s *job.Submission, accepted time.Time) (Decision, *rule.Effect) {
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

// Add enqueues all tasks of a job whose record is durable. Adding a known job again has no effect.
func (p *Planner) Add(now time.Time, j *Job) Decision {
	p.advanceClock(now)
	if e, ok := p.jobs[j.ID]; ok {
		return e.decision
	}
	e := &entry{
		id: j.ID, spec: j.Spec, accepted: j.Accepted, classKey: learn.Key{Team: j.Spec.Team, Class: j.Spec.Class},
		running: map[int]*task{}, tasksOn: map[string]int{}, pending: make([]int, j.Spec.Tasks), waitingSince: now,
	}
	for i := range e.pending {
		e.pending[i] = i
	}
	e.item.Value = e
	p.jobs[j.ID] = e
	p.applyRules(e)
	p.addPending(e, len(e.pending))
	p.enqueue(e)
	return e.decision
}

// applyRules stores the outcome of the rules in e and joins the pool that they select.
func (p *Planner) applyRules(e *entry) {
	e.decision, e.effect = p.evaluateRules(e.spec, e.accepted)
	e.decision.RefusalReason, e.decision.RetryAfter = "", 0
	e.pool, e.strategy = e.spec.Team, e.effect.Strategy
	if q := e.effect.Quota; q != nil {
		if q.Pool != "" {
			e.pool = q.Pool
		}
		p.ledger.SetLimit(e.pool, q.Limit, q.Borrow)
	}
	p.ledger.AddMember(e.pool)
	switch {
	case e.strategy != "":
	case e.isService():
		e.strategy = placement.Spread
	default:
		e.strategy = p.options.Strategy
	}
}

// enqueue computes the charge and the late time of a job and adds it to the queue if it has pending tasks.
func (p *Planner) enqueue(e *entry) {
	if len(e.pending) == 0 {
		return
	}
	e.estimate = p.learner.Estimate(e.classKey, time.Duration(e.spec.RunSeconds)*time.Second)
	e.charge = p.charge(e)
	capacity, _ := p.index.Totals()
	// A job can expect about half of the cell, since other jobs run at the same time.
	width := placement.FitCount(capacity, e.charge, 2*len(e.pending)) / 2
	e.item.LateAt = e.lateAt(max(width, 1))
	p.queue.Push(&e.item, e.laneKey())
}

// charge returns the resources to allocate per task: the declared ones, or the learned peak if it is larger and
// still fits a worker. A gang is charged as declared, since that is the size with which it was admitted.
func (p *Planner) charge(e *entry) job.Resources {
	if !e.estimate.Learned || e.spec.Gang {
		return e.spec.TaskResources
	}
	learned := e.estimate.Charge(e.spec.TaskResources, p.index.MaxCapacity())
	if learned == e.spec.TaskResources || !p.index.Feasible(learned, 1, false, e.spec.Zone) {
		return e.spec.TaskResources
	}
	return learned
}

// requeue updates the queue after a change of the job's pending tasks.
func (p *Planner) requeue(e *entry) {
	p.queue.Remove(&e.item)
	p.enqueue(e)
}

// MarkRunning allocates resources for a task that already runs on a worker, as found during recovery.
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
	p.addPending(e, -1)
	p.allocate(e, index, workerID)
	p.requeue(e)
}

// Release frees the resources of an attempt that is known to have ended.
func (p *Planner) Release(now time.Time, jobID string, index int, end AttemptResult) {
	p.advanceClock(now)
	e, ok := p.jobs[jobID]
	if !ok {
		return
	}
	t, ok := e.running[index]
	if !ok {
		return
	}
	p.deallocate(t)
	// A recovering owner releases tasks whose run time it does not know. Learning a run time of zero would make
	// the class look instantaneous and leave no slack before its deadlines.
	if end.Completed && end.RunTime > 0 && !e.isService() {
		p.learner.Observe(e.classKey, end.RunTime, e.spec.TaskResources, end.PeakUsage.Max(t.peakUsage))
	}
	if end.Requeue && !e.final {
		e.pending = append(e.pending, index)
		p.addPending(e, 1)
		e.waitingSince = now
		p.requeue(e)
	}
	p.removeIfDone(e)
}

// DropPending removes the pending tasks of a job that has reached a final state.
func (p *Planner) DropPending(jobID string) {
	e, ok := p.jobs[jobID]
	if !ok {
		return
	}
	p.unreserve(e.reservation)
	p.queue.Remove(&e.item)
	p.addPending(e, -len(e.pending))
	e.pending, e.final = nil, true
	p.removeIfDone(e)
}

func (p *Planner) removeIfDone(e *entry) {
	if len(e.pending) == 0 && len(e.running) == 0 {
		p.unreserve(e.reservation)
		p.ledger.RemoveMember(e.pool)
		delete(p.jobs, e.id)
	}
}
