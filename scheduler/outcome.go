package scheduler

import (
	"time"

	"turmericgap/job"
	"turmericgap/worker"
)

// nextRecord returns the task's next durable state after the end of its attempt.
func (t *term) nextRecord(e *entry, k *task, r *worker.Report, now time.Time) taskRecord {
	next := k.taskRecord
	switch {
	case r.State == worker.Forbidden && k.lossReason != "":
		next.Ran = true
		next.Failures++
		t.retryOrEnd(e, &next, k.lossReason, now)
	case r.State == worker.Forbidden:
		if e.cancel != nil {
			t.endUnstarted(e, &next, now)
		} else {
			next.requeue("")
		}
	case r.State == worker.Stopped:
		next.applyStop(k, r)
		t.retryOrEnd(e, &next, stopReason(k), now)
	case r.Answer == nil || !r.Answer.IsIntact() || len(r.Answer.Body) > MaxAnswerBytes:
		next.Ran = true
		next.Failures++
		t.retryOrEnd(e, &next, "its answer was cut or is too long", now)
	case r.Answer.Exit != 0 && e.cancel == nil && e.Spec.Repeatable && k.Failures+1 < t.maxAttempts(e) &&
		!t.fleet.JobFailing(e.id):
		next.Ran = true
		next.Failures++
		next.requeue("it failed and is run again")
	default:
		next.Ran = true
		next.end(job.Done, "", now)
		next.Answer = r.Answer
	}
	return next
}

// applyStop records an attempt that its worker stopped without an answer. An attempt that timed out counts as
// failed, because it would otherwise be retried forever.
func (r *taskRecord) applyStop(k *task, report *worker.Report) {
	r.Ran = true
	if k.stopReason == stopTimedOut {
		r.Failures++
	}
	if len(report.Checkpoint) > 0 {
		r.Checkpoint = report.Checkpoint
	}
}

// retryOrEnd handles an attempt that ended without a complete answer. Only repeatable tasks are run again.
func (t *term) retryOrEnd(e *entry, next *taskRecord, reason string, now time.Time) {
	switch {
	case e.cancel != nil:
		next.end(job.Unknown, "cancelled: "+e.cancel.Reason, now)
	case e.Spec.Repeatable && next.Failures < t.maxAttempts(e):
		next.requeue(reason)
	default:
		next.end(job.Unknown, reason, now)
	}
}

// endUnstarted ends a cancelled task that has no attempt at any worker.
func (t *term) endUnstarted(e *entry, next *taskRecord, now time.Time) {
	if next.Ran {
		next.end(job.Unknown, "cancelled after an earlier attempt: "+e.cancel.Reason, now)
		return
	}
	next.end(job.NotRun, "cancelled: "+e.cancel.Reason, now)
}

func (r *taskRecord) requeue(reason string) {
	r.Phase, r.Worker, r.Boot, r.Reason = pending, "", "", reason
}

func (r *taskRecord) end(o job.Outcome, reason string, now time.Time) {
	r.Phase, r.Outcome, r.Reason, r.Ended, r.Checkpoint = final, o, reason, now, nil
}

func stopReason(k *task) string {
	if k.stopReason != "" {
		return k.stopReason
	}
	return "its worker stopped it"
}

func (t *term) maxAttempts(e *entry) int {
	if e.decision.Retries > 0 {
		return 1 + e.decision.Retries
	}
	return DefaultMaxAttempts
}
