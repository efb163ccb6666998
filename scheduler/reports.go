package scheduler

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"turmericgap/job"
	"turmericgap/planner"
	"turmericgap/worker"
)

const serviceKind = job.Service

// onHeartbeat handles the result of a heartbeat.
func (t *term) onHeartbeat(l *link, b heartbeatResult) {
	now := time.Now()
	if b.err != nil {
		if b.renews && !errors.Is(b.err, worker.ErrNotSent) {
			l.lastPossibleRenewal = now
		}
		if t.ownsZone() {
			t.fleet.RecordMissedHeartbeat(now, l.info.ID)
		}
		t.updateWorker(now, l)
		return
	}
	l.lastPossibleRenewal, l.answered, l.ackedSentAt, l.boot = now, true, b.sentAt, b.reply.Boot
	t.fleet.RecordHeartbeat(now, l.info.ID)
	t.updateWorker(now, l)
	for i := range b.reply.Reports {
		t.onHeartbeatReport(l, &b.reply.Reports[i], now)
	}
	if b.reply.Full {
		t.onFullReport(l, b.reply, now)
	}
}

// onFullReport compares a worker's full list of attempts with the tasks assigned to it.
func (t *term) onFullReport(l *link, reply *worker.HeartbeatReply, now time.Time) {
	reported := make(map[string]bool, len(reply.Reports))
	for i := range reply.Reports {
		reported[reply.Reports[i].Attempt] = true
	}
	for _, r := range t.tasksAt(l.info.ID) {
		e, i := r.e, r.task
		k := &e.tasks[i]
		if reported[attemptID(e.id, i, k.Attempt)] || k.saving {
			continue
		}
		switch {
		case k.lossReason != "":
		case k.confirmed || (k.Boot != "" && k.Boot != reply.Boot):
			// The worker has restarted and lost its state, so the attempt is no longer running. A duplicate start
			// message may still arrive and run it again, so the attempt is forbidden first.
			k.lossReason, k.stopReason = "its worker restarted", "its worker restarted"
			t.sendAct(e, i, worker.Stop, now)
		case k.startsSent == 0:
			t.sendStart(e, i, now)
		}
	}
}

// onHeartbeatReport handles a report from a heartbeat, the only message that carries the worker's boot. Forbidden
// proves that the attempt has not run in this boot; if its start was sent to an earlier boot, it may have run
// there.
func (t *term) onHeartbeatReport(l *link, r *worker.Report, now time.Time) {
	_, _, k := t.findTask(l, r.Attempt)
	if k != nil && r.State == worker.Forbidden && k.Boot != l.boot && k.lossReason == "" {
		k.lossReason = "its worker restarted"
	}
	t.onReport(l, r, now)
}

// onReport handles a worker's report about an attempt.
func (t *term) onReport(l *link, r *worker.Report, now time.Time) {
	e, i, k := t.findTask(l, r.Attempt)
	if k == nil {
		t.onOrphan(l, r)
		return
	}
	if k.saving {
		if r.State != worker.Running {
			k.report = r
		}
		return
	}
	if r.State == worker.Running {
		if !k.confirmed {
			k.confirmed = true
			k.started = now
			t.countStart(e, now)
		}
		t.planner.ObserveUsage(e.id, i, r.Usage)
		return
	}
	k.report = r
	t.finish(e, i, now)
}

// findTask returns the task whose current attempt at this worker has the given ID.
func (t *term) findTask(l *link, attempt string) (*entry, int, *task) {
	id, i, n, err := splitAttemptID(attempt)
	if err != nil {
		return nil, 0, nil
	}
	e := t.jobs[id]
	if e == nil || i < 0 || i >= len(e.tasks) {
		return nil, 0, nil
	}
	k := &e.tasks[i]
	if k.Phase != intended || k.Attempt != n || k.Worker != l.info.ID {
		return nil, 0, nil
	}
	return e, i, k
}

// onOrphan handles an attempt that is not, or no longer, assigned to this worker. If it is running, it was started by a
// late message of an earlier owner. It is stopped, because the capacity that it uses may be allocated to other tasks.
func (t *term) onOrphan(l *link, r *worker.Report) {
	if r.State != worker.Running {
		l.queueForget([]string{r.Attempt})
		return
	}
	t.o.Logger.Warn("scheduler: stopping an orphaned attempt",
		zap.String("worker", l.info.ID), zap.String("attempt", r.Attempt))
	a := &worker.Act{Attempt: r.Attempt, Verb: worker.Stop, Epoch: t.epoch}
	l.send(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, t.o.CallTimeout)
		defer cancel()
		_, _ = l.client.Act(ctx, a)
	})
}

// finish records the end of an attempt, and releases the resources at its worker once the record is durable.
func (t *term) finish(e *entry, i int, now time.Time) {
	k := &e.tasks[i]
	report, at := k.report, k.Worker
	t.reportOutcome(e, k, report, now)
	next := t.nextRecord(e, k, report, now)
	t.save([]change{{e, i, next}}, func() {
		k.report = nil
		if l := t.links[at]; l != nil {
			l.queueForget([]string{report.Attempt})
		}
		t.release(e, i, now)
	})
}

// reportOutcome passes an attempt's outcome to the fleet. Requested stops are not reported, since they say nothing
// about the worker.
func (t *term) reportOutcome(e *entry, k *task, r *worker.Report, now time.Time) {
	if k.outcomeReported || r.State != worker.Ended {
		return
	}
	k.outcomeReported = true
	id := e.id
	if len(e.tasks) == 1 && !e.Spec.Repeatable {
		id = ""
	}
	t.fleet.RecordOutcome(now, k.Worker, id, e.Spec.Class, r.Answer != nil && r.Answer.IsIntact() && r.Answer.Exit == 0)
	if l := t.links[k.Worker]; l != nil {
		t.updateWorker(now, l)
	}
}

// recordLoss records an attempt that has definitely ended without an answer (began is true) or has definitely not
// started.
func (t *term) recordLoss(e *entry, i int, began bool, reason string, now time.Time) {
	k := &e.tasks[i]
	if k.saving {
		return
	}
	next := k.taskRecord
	switch {
	case began:
		next.Ran = true
		next.Failures++
		t.retryOrEnd(e, &next, reason, now)
	case e.cancel != nil:
		t.endUnstarted(e, &next, now)
	default:
		next.requeue(reason)
	}
	t.save([]change{{e, i, next}}, func() { t.release(e, i, now) })
}

// release frees the worker's resources after a durable end, and closes the job if it was the last task.
func (t *term) release(e *entry, i int, now time.Time) {
	k := &e.tasks[i]
	end := planner.AttemptResult{Requeue: k.Phase == pending && e.cancel == nil, Completed: k.Outcome == job.Done && k.Answer.Exit == 0}
	if !k.started.IsZero() {
		end.RunTime = now.Sub(k.started)
	}
	*k = task{taskRecord: k.taskRecord}
	t.planner.Release(now, e.id, i, end)
	t.needsPlacement = true
	if e.cancel != nil && k.Phase == pending {
		t.cancelTask(e, i, now)
		return
	}
	t.closeJob(e)
}

// closeJob closes a job whose tasks are all final, and notifies its waiters.
func (t *term) closeJob(e *entry) {
	if !e.final() || !e.ended.IsZero() {
		return
	}
	e.close()
	t.planner.DropPending(e.id)
	t.fleet.ForgetJob(e.id)
	t.retire(e)
	s := e.status(t.o.Zone)
	for _, w := range e.waiters {
		w <- s
	}
	e.waiters = nil
}
