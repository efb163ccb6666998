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

// onBeat takes the outcome of a heartbeat.
func (t *term) onBeat(l *link, b beat) {
	now := time.Now()
	if b.err != nil {
		if b.renews && !errors.Is(b.err, worker.ErrNotSent) {
			l.mayHaveRenewed = now
		}
		if t.valid() {
			t.fleet.RecordMissedHeartbeat(now, l.info.ID)
		}
		t.openWorker(now, l)
		return
	}
	l.mayHaveRenewed, l.answered, l.answeredAt, l.boot = now, true, b.began, b.reply.Boot
	t.fleet.RecordHeartbeat(now, l.info.ID)
	t.openWorker(now, l)
	for i := range b.reply.Reports {
		t.onListed(l, &b.reply.Reports[i], now)
	}
	if b.reply.Whole {
		t.onWhole(l, b.reply, now)
	}
}

// onWhole compares a full list of a worker's attempts with what is held to be there.
func (t *term) onWhole(l *link, reply *worker.HeartbeatReply, now time.Time) {
	there := make(map[string]bool, len(reply.Reports))
	for i := range reply.Reports {
		there[reply.Reports[i].Attempt] = true
	}
	for _, r := range t.heldAt(l.info.ID) {
		e, i := r.e, r.task
		k := &e.tasks[i]
		if there[attemptID(e.id, i, k.Attempt)] || k.saving {
			continue
		}
		switch {
		case k.doubt != "":
		case k.confirmed || (k.Boot != "" && k.Boot != reply.Boot):
			// The worker has lost its memory: what ran before its restart has ended with it. A copy of
			// the start may still arrive and would run again, so the attempt is forbidden first.
			k.doubt, k.stop = "its worker restarted", "its worker restarted"
			t.sendAct(e, i, worker.Stop, now)
		case k.starts == 0:
			t.sendStart(e, i, now)
		}
	}
}

// onListed takes a report out of a heartbeat, which alone tells the worker's boot. Forbidden means
// that the attempt has not run in this boot; what was sent to an earlier one may have run there.
func (t *term) onListed(l *link, r *worker.Report, now time.Time) {
	_, _, k := t.find(l, r.Attempt)
	if k != nil && r.State == worker.Forbidden && k.Boot != l.boot && k.doubt == "" {
		k.doubt = "its worker restarted"
	}
	t.onReport(l, r, now)
}

// onReport takes what a worker says of one attempt.
func (t *term) onReport(l *link, r *worker.Report, now time.Time) {
	e, i, k := t.find(l, r.Attempt)
	if k == nil {
		t.onStray(l, r)
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

// find gives the task whose current attempt, at this worker, has that name.
func (t *term) find(l *link, attempt string) (*entry, int, *task) {
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

// onStray deals with an attempt that is not, or no longer, held to be at this worker. One that runs
// is a late start of an earlier owner; left alone it would use capacity that is promised elsewhere.
func (t *term) onStray(l *link, r *worker.Report) {
	if r.State != worker.Running {
		l.giveForget([]string{r.Attempt})
		return
	}
	t.o.Logger.Warn("scheduler: stop a stray attempt", zap.String("worker", l.info.ID), zap.String("attempt", r.Attempt))
	a := &worker.Act{Attempt: r.Attempt, Verb: worker.Stop, Epoch: t.epoch}
	l.send(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, t.o.CallTimeout)
		defer cancel()
		_, _ = l.client.Act(ctx, a)
	})
}

// finish records how an attempt ended, and releases its worker once that is durable.
func (t *term) finish(e *entry, i int, now time.Time) {
	k := &e.tasks[i]
	report, at := k.report, k.Worker
	t.judgeWorker(e, k, report, now)
	next := t.verdict(e, k, report, now)
	t.save([]change{{e, i, next}}, func() {
		k.report = nil
		if l := t.links[at]; l != nil {
			l.giveForget([]string{report.Attempt})
		}
		t.release(e, i, now)
	})
}

// judgeWorker tells the fleet what an end says of its worker; a stop that was asked for says nothing.
func (t *term) judgeWorker(e *entry, k *task, r *worker.Report, now time.Time) {
	if k.judged || r.State != worker.Ended {
		return
	}
	k.judged = true
	id := e.id
	if len(e.tasks) == 1 && !e.Spec.Repeatable {
		id = ""
	}
	t.fleet.RecordOutcome(now, k.Worker, id, e.Spec.Class, r.Answer != nil && r.Answer.Whole() && r.Answer.Exit == 0)
	if l := t.links[k.Worker]; l != nil {
		t.openWorker(now, l)
	}
}

// lose records that an attempt has surely ended without an answer, or has surely not begun.
func (t *term) lose(e *entry, i int, began bool, reason string, now time.Time) {
	k := &e.tasks[i]
	if k.saving {
		return
	}
	next := k.taskRecord
	switch {
	case began:
		next.Ran = true
		next.Failures++
		t.settle(e, &next, reason, now)
	case e.cancel != nil:
		t.endUnstarted(e, &next, now)
	default:
		next.again(reason)
	}
	t.save([]change{{e, i, next}}, func() { t.release(e, i, now) })
}

// release frees the worker's resources after a durable end, and ends the job with its last task.
func (t *term) release(e *entry, i int, now time.Time) {
	k := &e.tasks[i]
	end := planner.AttemptResult{Requeue: k.Phase == pending && e.cancel == nil, Completed: k.Outcome == job.Done && k.Answer.Exit == 0}
	if !k.started.IsZero() {
		end.RunTime = now.Sub(k.started)
	}
	*k = task{taskRecord: k.taskRecord}
	t.planner.Release(now, e.id, i, end)
	t.dirty = true
	if e.cancel != nil && k.Phase == pending {
		t.cancelTask(e, i, now)
		return
	}
	t.closeJob(e)
}

// closeJob tells the waiters of a job whose last task is final.
func (t *term) closeJob(e *entry) {
	if !e.final() || !e.ended.IsZero() {
		return
	}
	e.close()
	t.planner.DropPending(e.id)
	t.fleet.ForgetJob(e.id)
	t.countAnswers(e)
	s := e.status(t.o.Zone)
	for _, w := range e.waiters {
		w <- s
	}
	e.waiters = nil
}
