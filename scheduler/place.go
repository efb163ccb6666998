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

// place asks the planner for starts and commits their intents, one group for all of them.
func (t *term) place(now time.Time) {
	t.dirty = false
	if t.draining || !t.valid() {
		return
	}
	plan := t.planner.Next(now, startsMost)
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
	// More may be startable than one plan holds; the next event or tick goes on.
	t.dirty = len(plan.Starts) == startsMost
}

// sendIntended sends the starts whose intents have become durable. One that was cancelled meanwhile
// was never sent by this owner, which alone can send it, so that it has surely not run.
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

// preempt checkpoints and stops tasks that make room for more urgent ones.
func (t *term) preempt(list []planner.Preemption, now time.Time) {
	for _, p := range list {
		e := t.live[p.Job]
		if e == nil || e.tasks[p.Task].Phase != intended || e.tasks[p.Task].stop != "" {
			continue
		}
		t.o.Metrics.Counter("task.preempted").Inc(1)
		t.yield(e, p.Task, "preempted for "+p.ForJob, now)
	}
}

// yield checkpoints and stops a task that is to go on elsewhere.
func (t *term) yield(e *entry, i int, reason string, now time.Time) {
	e.tasks[i].stop = reason
	t.sendAct(e, i, worker.Checkpoint, now)
	t.sendAct(e, i, worker.Stop, now)
}

// drainWorkers moves what may be repeated away from workers that leave, after a time in which short
// tasks end by themselves. What may run once is left to end there.
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
		for _, r := range t.heldAt(id) {
			k := &r.e.tasks[r.task]
			if r.e.Spec.Repeatable && k.confirmed && k.stop == "" && !k.saving {
				t.yield(r.e, r.task, "its worker leaves", now)
			}
		}
	}
}

// onTick does what depends on time alone.
func (t *term) onTick(now time.Time) {
	t.syncWorkers(now)
	t.o.Rules(t.planner)
	t.repeatSends(now)
	t.drainWorkers(now)
	t.lapseWorkers(now)
	t.forgetOld(now)
	t.cutSnapshot()
	t.report(now)
	t.dirty = true
}

// repeatSends goes on with whatever a full ring, a lost message or a full journal has held up.
func (t *term) repeatSends(now time.Time) {
	for _, e := range t.live {
		if d, known := t.planner.Decision(e.id); known {
			e.decision = d // the rules may have changed
		}
		for i := range e.tasks {
			if k := &e.tasks[i]; !k.saving && k.Phase != final {
				t.repeatSend(e, i, now)
			}
		}
	}
}

func (t *term) repeatSend(e *entry, i int, now time.Time) {
	k := &e.tasks[i]
	switch {
	case k.report != nil:
		t.finish(e, i, now)
	case k.stop == "" && e.overtime(k, now):
		k.stop = stopOvertime
		t.sendAct(e, i, worker.Stop, now)
	case now.Sub(k.sentAt) < t.o.ResendInterval:
	case k.Phase == pending && e.cancel != nil:
		t.cancelTask(e, i, now)
	case k.Phase == intended && (k.stop != "" || e.cancel != nil):
		t.sendAct(e, i, worker.Stop, now)
	case k.Phase == intended && !k.confirmed && t.lacks(k):
		t.sendStart(e, i, now)
	}
}

// syncWorkers follows the VM list: new workers get a link, lost ones keep theirs while they hold tasks.
func (t *term) syncWorkers(now time.Time) {
	listed := t.listWorkers(now)
	for id, l := range t.links {
		if !listed[id] && len(t.held[id]) == 0 {
			l.cancel()
			delete(t.links, id)
			t.planner.RemoveWorker(id)
			continue
		}
		l.listed = listed[id]
		t.openWorker(now, l)
	}
}

// listWorkers opens links to new workers of the zone and gives the ids of all that are listed.
func (t *term) listWorkers(now time.Time) map[string]bool {
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

// openWorker tells the planner whether a worker may get new work, when that has changed.
func (t *term) openWorker(now time.Time, l *link) {
	a := t.fleet.Admission(now, l.info.ID)
	open := l.answered && l.listed && !l.info.Leaving && a.Decision != fleet.Deny
	probe := a.Decision == fleet.AllowProbes
	if l.told == l.info && l.open == open && l.probe == probe {
		return
	}
	if l.open && !open {
		t.o.Logger.Warn("scheduler: worker gets no new work", zap.String("worker", l.info.ID), zap.String("reason", a.Reason))
	}
	l.told, l.open, l.probe = l.info, open, probe
	t.planner.SetWorker(now, l.info, open, probe)
	t.dirty = true
}

// lacks reports whether a task's start is to be sent again: none has left, or the worker has since
// answered without knowing it. Copies sent to a silent worker would lie in its sockets and start the
// attempt whenever it wakes.
func (t *term) lacks(k *task) bool {
	l := t.links[k.Worker]
	return l != nil && (k.starts == 0 || l.answeredAt.After(k.sentAt))
}

// lapseWorkers gives up attempts at workers that are silent, when they have surely ended.
//
// A worker stops by itself what is not renewed; a message may be under way for MessageLife after it
// was sent, and the worker's clock may drift. After all three, what is known to have run has ended.
// That says nothing of a start that was sent and never reported: it may lie in a socket of a frozen
// VM. Such an attempt stays until its worker answers, or the VM list no longer shows the VM.
func (t *term) lapseWorkers(now time.Time) {
	limit := t.o.MessageLifetime + t.o.WorkerLease + t.o.WorkerDrift
	ids := make([]string, 0, len(t.held))
	for id := range t.held {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		last, listed, open := t.since, false, false
		if l := t.links[id]; l != nil {
			last, listed, open = l.mayHaveRenewed, l.listed, l.open
		}
		lapsed := now.Sub(last) > limit
		for _, r := range t.heldAt(id) {
			k := &r.e.tasks[r.task]
			switch {
			case k.starts == 0 && !open:
				t.lose(r.e, r.task, false, "its worker could not be reached", now)
			case lapsed && (k.confirmed || !listed):
				t.lose(r.e, r.task, true, "its worker was lost", now)
			}
		}
	}
}

// forgetOld drops finished jobs after their time, and bodies of answers beyond the budget.
func (t *term) forgetOld(now time.Time) {
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
			t.answers -= answerBytes(e)
			delete(t.jobs, id)
			continue
		}
		if answerBytes(e) > 0 && (oldest == nil || e.ended.Before(oldest.ended)) {
			oldest = e
		}
	}
	if oldest != nil && t.answers > t.o.AnswerBudgetBytes {
		t.answers -= answerBytes(oldest)
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

// countAnswers moves a finished job from the live ones to the remembered ones.
func (t *term) countAnswers(e *entry) {
	delete(t.live, e.id)
	t.answers += answerBytes(e)
}

func (t *term) countStart(e *entry, now time.Time) {
	t.o.Metrics.Counter("task.started").Inc(1)
	t.o.Metrics.Histogram("waiting.millis." + string(waitingClass(e))).Update(now.Sub(e.Accepted).Milliseconds())
}

// waitingClass keeps the number of metrics bounded whatever callers put into their classes.
func waitingClass(e *entry) job.Kind {
	if e.Spec.Urgent {
		return "urgent"
	}
	return e.Spec.Kind
}

func (t *term) report(now time.Time) {
	s := t.journal.Stats()
	t.o.Metrics.Gauge("job.live").Update(int64(len(t.live)))
	t.o.Metrics.Gauge("job.remembered").Update(int64(len(t.jobs)))
	t.o.Metrics.Gauge("journal.commits").Update(s.Commits)
	t.o.Metrics.Gauge("journal.records").Update(s.Records)
	p := t.planner.Stats(now)
	t.o.Metrics.Gauge("packing.permille").Update(int64(p.Packing * permille))
}

const permille = 1000
