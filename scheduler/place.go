package scheduler

import (
	"sort"
	"time"

	"go.uber.org/zap"

	"turmericgap/fleet"
	"turmericgap/job"
	"turmericgap/planner"
	"turmericgap/worker"
)

// place gets the next starts from the planner and commits all their intents in one group.
func (t *term) place(now time.Time) {
	t.needsPlacement = false
	if t.draining || !t.ownsZone() {
		return
	}
	plan := t.planner.Next(now, maxStartsPerPlan)
	t.preempt(plan.Preemptions, now)
	if len(plan.Starts) == 0 {
		return
	}
	changes := make([]change, 0, len(plan.Starts))
	for _, s := range plan.Starts {
		e := t.live[s.Job]
		if e == nil {
			continue
		}
		next := e.tasks[s.Task].taskRecord
		next.Phase, next.Worker, next.Attempt, next.Reason = intended, s.Worker, next.Attempt+1, ""
		if l := t.links[s.Worker]; l != nil {
			next.Boot = l.boot
		}
		changes = append(changes, change{e, s.Task, next})
	}
	if !t.save(changes, func() { t.sendIntended(changes) }) {
		for _, c := range changes {
			t.planner.Release(now, c.e.id, c.task, planner.AttemptResult{Requeue: true})
		}
	}
	// One plan is limited, so more tasks may be ready; the next event or tick places them.
	t.needsPlacement = len(plan.Starts) == maxStartsPerPlan
}

// sendIntended sends the starts whose intents have become durable. A task that was cancelled meanwhile has
// certainly not run, because only this owner can send its start and has not sent it.
func (t *term) sendIntended(changes []change) {
	now := time.Now()
	for _, c := range changes {
		if c.e.cancel == nil {
			t.sendStart(c.e, c.task, now)
			continue
		}
		next := c.e.tasks[c.task].taskRecord
		t.endUnstarted(c.e, &next, now)
		t.save([]change{{c.e, c.task, next}}, func() { t.release(c.e, c.task, time.Now()) })
	}
}

// preempt checkpoints and stops tasks to free capacity for more urgent ones.
func (t *term) preempt(list []planner.Preemption, now time.Time) {
	for _, p := range list {
		e := t.live[p.Job]
		if e == nil || e.tasks[p.Task].Phase != intended || e.tasks[p.Task].stopReason != "" {
			continue
		}
		t.o.Metrics.Counter("task.preempted").Inc(1)
		t.checkpointAndStop(e, p.Task, "preempted for "+p.ForJob, now)
	}
}

// checkpointAndStop checkpoints and stops a task that will continue on another worker.
func (t *term) checkpointAndStop(e *entry, i int, reason string, now time.Time) {
	e.tasks[i].stopReason = reason
	t.sendAct(e, i, worker.Checkpoint, now)
	t.sendAct(e, i, worker.Stop, now)
}

// drainWorkers moves repeatable tasks away from leaving workers after DrainAfter, in which short tasks end by
// themselves. Tasks that may run only once are left to finish there.
func (t *term) drainWorkers(now time.Time) {
	for id, l := range t.links {
		if !l.info.Leaving {
			l.leavingSince = time.Time{}
			continue
		}
		if l.leavingSince.IsZero() {
			l.leavingSince = now
		}
		if now.Sub(l.leavingSince) < t.o.DrainAfter {
			continue
		}
		for _, r := range t.tasksAt(id) {
			k := &r.e.tasks[r.task]
			if r.e.Spec.Repeatable && k.confirmed && k.stopReason == "" && !k.saving {
				t.checkpointAndStop(r.e, r.task, "its worker leaves", now)
			}
		}
	}
}

// onTick does the periodic work.
func (t *term) onTick(now time.Time) {
	t.syncWorkers(now)
	t.o.Rules(t.planner)
	t.resendAll(now)
	t.drainWorkers(now)
	t.expireWorkers(now)
	t.evictFinished(now)
	t.snapshotIfDue()
	t.updateMetrics(now)
	t.needsPlacement = true
}

// resendAll retries everything that was held up by a full send queue, a lost message or a full journal.
func (t *term) resendAll(now time.Time) {
	for _, e := range t.live {
		if d, known := t.planner.Decision(e.id); known {
			e.decision = d // the rules may have changed
		}
		for i := range e.tasks {
			if k := &e.tasks[i]; !k.saving && k.Phase != final {
				t.resend(e, i, now)
			}
		}
	}
}

func (t *term) resend(e *entry, i int, now time.Time) {
	k := &e.tasks[i]
	switch {
	case k.report != nil:
		t.finish(e, i, now)
	case k.stopReason == "" && e.timedOut(k, now):
		k.stopReason = stopTimedOut
		t.sendAct(e, i, worker.Stop, now)
	case now.Sub(k.sentAt) < t.o.ResendInterval:
	case k.Phase == pending && e.cancel != nil:
		t.cancelTask(e, i, now)
	case k.Phase == intended && (k.stopReason != "" || e.cancel != nil):
		t.sendAct(e, i, worker.Stop, now)
	case k.Phase == intended && !k.confirmed && t.needsStart(k):
		t.sendStart(e, i, now)
	}
}

// syncWorkers applies the VM list. New workers get a link; workers no longer listed keep theirs while tasks are
// assigned to them.
func (t *term) syncWorkers(now time.Time) {
	listed := t.updateLinks(now)
	for id, l := range t.links {
		if !listed[id] && len(t.byWorker[id]) == 0 {
			l.cancel()
			delete(t.links, id)
			t.planner.RemoveWorker(id)
			continue
		}
		l.listed = listed[id]
		t.updateWorker(now, l)
	}
}

// updateLinks opens links to the zone's new workers, and returns the IDs of all listed workers.
func (t *term) updateLinks(now time.Time) map[string]bool {
	listed := make(map[string]bool)
	var entries []fleet.ListEntry
	for _, info := range t.o.Workers() {
		if info.Zone != t.o.Zone {
			continue
		}
		listed[info.ID] = true
		entries = append(entries, fleet.ListEntry{ID: info.ID, Zone: info.Zone, Leaving: info.Leaving})
		if l := t.links[info.ID]; l != nil {
			l.info = info
		} else {
			t.links[info.ID] = t.openLink(info)
		}
	}
	t.fleet.UpdateList(now, entries)
	return listed
}

// updateWorker updates a worker in the planner if its VM list entry, or whether it may get new tasks, has changed.
func (t *term) updateWorker(now time.Time, l *link) {
	a := t.fleet.Admission(now, l.info.ID)
	open := l.answered && l.listed && !l.info.Leaving && a.Decision != fleet.Deny
	probe := a.Decision == fleet.AllowProbes
	if l.plannerInfo == l.info && l.open == open && l.probe == probe {
		return
	}
	if l.open && !open {
		t.o.Logger.Warn("scheduler: worker gets no new work", zap.String("worker", l.info.ID), zap.String("reason", a.Reason))
	}
	l.plannerInfo, l.open, l.probe = l.info, open, probe
	t.planner.SetWorker(now, l.info, open, probe)
	t.needsPlacement = true
}

// needsStart reports whether a task's start must be sent again: none was sent, or the worker has answered a later
// heartbeat without reporting the attempt. Copies sent to a silent worker would stay in its socket buffers and
// start the attempt when the worker resumes.
func (t *term) needsStart(k *task) bool {
	l := t.links[k.Worker]
	return l != nil && (k.startsSent == 0 || l.ackedSentAt.After(k.sentAt))
}

// expireWorkers gives up attempts at silent workers once they have certainly ended.
//
// A worker stops attempts that are not renewed. A message may be in flight for MessageLifetime after it was sent,
// and the worker's clock may drift by WorkerDrift. After the sum of the three, an attempt that is known to have run
// has ended. That does not cover a start that was sent but never reported: it may still be in a socket buffer of a
// frozen VM. Such an attempt is kept until its worker answers, or the VM is no longer on the VM list.
func (t *term) expireWorkers(now time.Time) {
	limit := t.o.MessageLifetime + t.o.WorkerLease + t.o.WorkerDrift
	ids := make([]string, 0, len(t.byWorker))
	for id := range t.byWorker {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		last, listed, open := t.startedAt, false, false
		if l := t.links[id]; l != nil {
			last, listed, open = l.lastPossibleRenewal, l.listed, l.open
		}
		expired := now.Sub(last) > limit
		for _, r := range t.tasksAt(id) {
			k := &r.e.tasks[r.task]
			switch {
			case k.startsSent == 0 && !open:
				t.recordLoss(r.e, r.task, false, "its worker could not be reached", now)
			case expired && (k.confirmed || !listed):
				t.recordLoss(r.e, r.task, true, "its worker was lost", now)
			}
		}
	}
}

// evictFinished drops finished jobs after AnswerRetention. If the answers exceed AnswerBudgetBytes, it also drops those
// of the job that ended first; each tick drops one job's answers.
func (t *term) evictFinished(now time.Time) {
	for id, m := range t.moved {
		if now.Sub(m.At) > t.o.AnswerRetention {
			delete(t.moved, id)
		}
	}
	var oldest *entry
	for id, e := range t.jobs {
		if e.ended.IsZero() {
			continue
		}
		if now.Sub(e.ended) > t.o.AnswerRetention {
			t.answerTotalBytes -= answerBytes(e)
			delete(t.jobs, id)
			continue
		}
		if answerBytes(e) > 0 && (oldest == nil || e.ended.Before(oldest.ended)) {
			oldest = e
		}
	}
	if oldest != nil && t.answerTotalBytes > t.o.AnswerBudgetBytes {
		t.answerTotalBytes -= answerBytes(oldest)
		for i := range oldest.tasks {
			oldest.tasks[i].Answer = nil
			oldest.tasks[i].Reason = "the answer was dropped: the zone's budget for answers is full"
		}
	}
}

func answerBytes(e *entry) int {
	n := 0
	for i := range e.tasks {
		if a := e.tasks[i].Answer; a != nil {
			n += len(a.Body)
		}
	}
	return n
}

// retire removes a finished job from the live jobs and counts its answers against the budget.
func (t *term) retire(e *entry) {
	delete(t.live, e.id)
	t.answerTotalBytes += answerBytes(e)
}

func (t *term) countStart(e *entry, now time.Time) {
	t.o.Metrics.Counter("task.started").Inc(1)
	t.o.Metrics.Histogram("waiting.millis." + string(waitingClass(e))).Update(now.Sub(e.Accepted).Milliseconds())
}

// waitingClass limits the number of metrics, whatever classes callers use.
func waitingClass(e *entry) job.Kind {
	if e.Spec.Urgent {
		return "urgent"
	}
	return e.Spec.Kind
}

func (t *term) updateMetrics(now time.Time) {
	s := t.journal.Stats()
	t.o.Metrics.Gauge("job.live").Update(int64(len(t.live)))
	t.o.Metrics.Gauge("job.remembered").Update(int64(len(t.jobs)))
	t.o.Metrics.Gauge("journal.commits").Update(s.Commits)
	t.o.Metrics.Gauge("journal.records").Update(s.Records)
	p := t.planner.Stats(now)
	t.o.Metrics.Gauge("packing.permille").Update(int64(p.Packing * permille))
}

const permille = 1000
