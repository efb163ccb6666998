package scheduler

import (
	"time"

	"turmericgap/job"
	"turmericgap/worker"
)

// verdict gives the task's next durable state after the end of its attempt.
func (t *term) verdict(e *entry, k *task, r *worker.Report, now time.Time) taskRecord {
	next := k.taskRecord
	switch {
	case r.State == worker.Forbidden && k.doubt != "":
		next.Ran = true
		next.Failures++
		t.settle(e, &next, k.doubt, now)
	case r.State == worker.Forbidden:
		if e.cancel != nil {
			t.endUnstarted(e, &next, now)
		} else {
			next.again("")
		}
	case r.State == worker.Stopped:
		next.stopped(k, r)
		t.settle(e, &next, stopReason(k), now)
	case r.Answer == nil || !r.Answer.Whole() || len(r.Answer.Body) > MaxAnswerBytes:
		next.Ran = true
		next.Failures++
		t.settle(e, &next, "its answer was cut or is too long", now)
	case r.Answer.Exit != 0 && e.cancel == nil && e.Spec.Repeatable && k.Failures+1 < t.attempts(e) && !t.fleet.JobFailing(e.id):
		next.Ran = true
		next.Failures++
		next.again("it failed and is run again")
	default:
		next.Ran = true
		next.end(job.Done, "", now)
		next.Answer = r.Answer
	}
	return next
}

// stopped takes in an attempt that its worker ended without an answer. One that took too long counts
// as failed, or it would be run again for ever.
func (r *taskRecord) stopped(k *task, report *worker.Report) {
	r.Ran = true
	if k.stop == stopOvertime {
		r.Failures++
	}
	if len(report.Checkpoint) > 0 {
		r.Checkpoint = report.Checkpoint
	}
}

// settle decides on an attempt that ended without a whole answer: run again only what may be.
func (t *term) settle(e *entry, next *taskRecord, reason string, now time.Time) {
	switch {
	case e.cancel != nil:
		next.end(job.Unknown, "cancelled: "+e.cancel.Reason, now)
	case e.Spec.Repeatable && next.Failures < t.attempts(e):
		next.again(reason)
	default:
		next.end(job.Unknown, reason, now)
	}
}

// endUnstarted ends a task of which no attempt is anywhere.
func (t *term) endUnstarted(e *entry, next *taskRecord, now time.Time) {
	if next.Ran {
		next.end(job.Unknown, "cancelled after an earlier attempt: "+e.cancel.Reason, now)
		return
	}
	next.end(job.NotRun, "cancelled: "+e.cancel.Reason, now)
}

func (r *taskRecord) again(reason string) {
	r.Phase, r.Worker, r.Boot, r.Reason = pending, "", "", reason
}

func (r *taskRecord) end(o job.Outcome, reason string, now time.Time) {
	r.Phase, r.Outcome, r.Reason, r.Ended, r.Checkpoint = final, o, reason, now, nil
}

func stopReason(k *task) string {
	if k.stop != "" {
		return k.stop
	}
	return "its worker stopped it"
}

func (t *term) attempts(e *entry) int {
	if e.decision.Retries > 0 {
		return 1 + e.decision.Retries
	}
	return DefaultMaxAttempts
}
