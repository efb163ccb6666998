package scheduler

import (
	"time"

	"turmericgap/job"
	"turmericgap/planner"
	"turmericgap/record"
	"turmericgap/worker"
)

// entry is a job of the term.
type entry struct {
	id string
	jobRecord
	cancel *cancelRecord
	// pendingCancel is a cancellation that is being committed.
	pendingCancel *cancelRecord
	// cancelDone is closed when the cancellation is durable.
	cancelDone chan struct{}
	tasks      []task
	// durable is set when the job's record is committed. Until then the job is visible to no caller.
	durable  bool
	decision planner.Decision
	// committed gets an error if the commit fails, and is closed when the record is durable; nil afterwards.
	committed chan error
	// ticket withdraws the record while it is queued.
	ticket  record.Ticket
	waiters []chan job.Status
	ended   time.Time
}

// task is a task: its durable record and the in-memory state of this owner.
type task struct {
	taskRecord
	// saving is set while a record of the task is being committed. The task does not change until that is durable.
	saving bool
	// next is the record that is being committed.
	next taskRecord
	// confirmed is set when the worker has reported the attempt in this term.
	confirmed bool
	// stopReason is why the attempt was asked to stop; empty if it was not.
	stopReason string
	// startsSent counts start messages for the attempt that may have been sent, by this owner or an earlier one.
	startsSent int
	// lossReason is why the attempt may have run and been lost. It stays set until the worker forbids the attempt.
	lossReason string
	// sentAt is when the last start or stop was queued for sending.
	sentAt time.Time
	// report is the final report of the attempt, kept until its record is durable.
	report *worker.Report
	// outcomeReported is set when the fleet has received the attempt's outcome.
	outcomeReported bool
	started         time.Time
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

// outcome combines the tasks' outcomes: the common one if all are equal, unknown otherwise.
func (e *entry) outcome() (job.Outcome, string) {
	first := &e.tasks[0]
	for i := range e.tasks {
		if e.tasks[i].Outcome != first.Outcome {
			return job.Unknown, "the tasks ended in different ways; see each task"
		}
	}
	return first.Outcome, first.Reason
}

// stopTimedOut is the stop reason of an attempt that exceeds the timeout of its rule.
const stopTimedOut = "it took longer than its rule allows"

func (e *entry) timedOut(k *task, now time.Time) bool {
	limit := time.Duration(e.decision.TimeoutSeconds) * time.Second
	return limit > 0 && e.Spec.Kind == job.Batch && k.confirmed && now.Sub(k.started) > limit
}

// close sets the end time of a job whose tasks are all final.
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
		if st := s.Tasks[i].State; stateOrder[st] > stateOrder[s.State] {
			s.State = st
		}
	}
	if e.final() {
		s.State, s.Ended = job.Final, e.ended
		s.Outcome, s.Reason = e.outcome()
	}
	return s
}

// stateOrder ranks task states. A job without an outcome shows the highest ranked state of its tasks.
var stateOrder = map[job.State]int{job.Queued: 1, job.Starting: 2, job.Stopping: 3, job.Active: 4}

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
	case k.stopReason != "":
		s.State = job.Stopping
	case k.confirmed:
		s.State = job.Active
	default:
		s.State = job.Starting
	}
	return s
}
