package scheduler

import (
	"time"

	"turmericgap/job"
	"turmericgap/planner"
	"turmericgap/record"
	"turmericgap/worker"
)

// entry is one job of the term.
type entry struct {
	id string
	jobRecord
	cancel *cancelRecord
	// cancelling is a cancellation whose record is under way.
	cancelling *cancelRecord
	// cancelled is closed when the cancellation is durable.
	cancelled chan struct{}
	tasks     []task
	// durable says that the job's record is committed; until then no caller has heard of it.
	durable  bool
	decision planner.Decision
	// saved is closed when the record is durable; nil afterwards.
	saved chan error
	// ticket takes the record back that is under way.
	ticket  record.Ticket
	waiters []chan job.Status
	ended   time.Time
}

// task is one task: its durable record and what this owner knows besides.
type task struct {
	taskRecord
	// saving says that a record of the task is under way; it changes no further until that is durable.
	saving bool
	// next is the record under way.
	next taskRecord
	// confirmed says that the worker has reported the attempt in this term.
	confirmed bool
	// stop is why the attempt was asked to stop; empty while it was not.
	stop string
	// starts counts the messages with the attempt's start that may have left this zone's owners.
	starts int
	// doubt is why the attempt may have run and be gone, set until its worker forbids it.
	doubt string
	// sentAt is when the last start or stop was handed to the worker's sender.
	sentAt time.Time
	// report is how the attempt ended, kept until its record is durable.
	report *worker.Report
	// judged says that the fleet was told of that end.
	judged  bool
	started time.Time
}

func newEntry(id string, r jobRecord) *entry {
	return &entry{id: id, jobRecord: r, tasks: make([]task, r.Spec.Tasks), durable: true}
}

// final reports whether every task has its outcome.
func (e *entry) final() bool {
	for i := range e.tasks {
		if e.tasks[i].Phase != final {
			return false
		}
	}
	return true
}

// outcome joins the tasks' outcomes: equal ones give that one, unlike ones are unknown.
func (e *entry) outcome() (job.Outcome, string) {
	first := &e.tasks[0]
	for i := range e.tasks {
		if e.tasks[i].Outcome != first.Outcome {
			return job.Unknown, "the tasks ended in different ways; see each task"
		}
	}
	return first.Outcome, first.Reason
}

// stopOvertime is why an attempt is stopped that takes longer than its rule allows.
const stopOvertime = "it took longer than its rule allows"

func (e *entry) overtime(k *task, now time.Time) bool {
	limit := time.Duration(e.decision.TimeoutSeconds) * time.Second
	return limit > 0 && e.Spec.Kind == job.Batch && k.confirmed && now.Sub(k.started) > limit
}

// close sets the end of a job whose tasks are all final.
func (e *entry) close() {
	for i := range e.tasks {
		if e.tasks[i].Ended.After(e.ended) {
			e.ended = e.tasks[i].Ended
		}
	}
}

func (e *entry) status(zone string) job.Status {
	s := job.Status{ID: e.id, Zone: zone, Accepted: e.Accepted, Rule: e.decision.Rule, State: job.Queued}
	s.Tasks = make([]job.TaskStatus, len(e.tasks))
	for i := range e.tasks {
		s.Tasks[i] = e.tasks[i].status(i)
		if st := s.Tasks[i].State; order[st] > order[s.State] {
			s.State = st
		}
	}
	if e.final() {
		s.State, s.Ended = job.Final, e.ended
		s.Outcome, s.Reason = e.outcome()
	}
	return s
}

// order says which of its tasks' states a job shows while it has no outcome.
var order = map[job.State]int{job.Queued: 1, job.Starting: 2, job.Stopping: 3, job.Active: 4}

func (k *task) status(index int) job.TaskStatus {
	s := job.TaskStatus{
		Index: index, Outcome: k.Outcome, Reason: k.Reason, Worker: k.Worker,
		Attempt: k.Attempt, Answer: k.Answer,
	}
	switch {
	case k.Phase == final:
		s.State = job.Final
	case k.Phase == pending:
		s.State = job.Queued
	case k.stop != "":
		s.State = job.Stopping
	case k.confirmed:
		s.State = job.Active
	default:
		s.State = job.Starting
	}
	return s
}
