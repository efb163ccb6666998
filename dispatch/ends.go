package dispatch

import (
	"time"

	"go.uber.org/zap"

	"turmericgap/job"
	"turmericgap/logger"
	"turmericgap/presence"
	"turmericgap/worker"
	"turmericgap/workrecord"
)

// endRun handles the end of a run that has certainly ended.
func (t *term) endRun(r *run, how worker.RunOutcome, checkpoint string) {
	if r.ended {
		return
	}
	t.releaseRun(r)
	e := r.stage.entry
	if how == worker.OutcomeDone || how == worker.OutcomeFailed {
		e.started = true
	}
	t.countEvacuated(r, how, checkpoint)
	if how == worker.OutcomeDone {
		t.gate.RecordFreed(time.Now(), e.queue.Pool, r.stage.share().Cost)
	}
	if checkpoint != "" {
		r.stage.keepCheckpoint(r.index, checkpoint)
	}
	t.recordEnding(r, how)
	t.learnRunTime(r, how)
	t.log.Info("dispatch: run ended", append(logger.Fields(r.evacuation.LogFields()),
		zap.String("id", e.work.ID), zap.Int("occurrence", r.stage.occurrence.number),
		zap.Int("step", r.stage.index), zap.Int("task", r.index), zap.Int64("run", r.number),
		zap.String("worker", r.node.id),
		zap.String("how", string(how)), zap.Bool("gang", r.stage.spec.Gang), zap.Duration("after", time.Since(r.sentAt)),
		zap.Duration("recorded", elapsed(r.decidedAt, r.sentAt)),
		zap.Duration("ordered", elapsed(r.sentAt, r.confirmedAt)))...)
	switch {
	case r.stage.gang != nil && r.stage.gang.number == r.number:
		t.endMember(r, how)
	case r.stage.tasks[r.index].run == r:
		t.endTask(r, how)
	}
	t.saveUnlessEnded(e)
}

// elapsed returns the time between two moments, or zero if either is unknown.
func elapsed(from, to time.Time) time.Duration {
	if from.IsZero() || to.IsZero() {
		return 0
	}
	return to.Sub(from)
}

// onNeverStarted handles a run that has certainly not started and never will.
func (t *term) onNeverStarted(r *run, proof presence.Proof, reason string) {
	if r.ended {
		return
	}
	share := r.stage.share()
	t.accounts.shares.Undo(&share)
	t.log.Info("dispatch: run never began", append(r.evidence(proof, time.Now()), zap.String("reason", reason))...)
	t.endRun(r, worker.OutcomeStopped, "")
	t.forgetIfIdle(r.node)
}

// evidence returns the log fields of a run that ends without its worker's report.
func (r *run) evidence(proof presence.Proof, now time.Time) []zap.Field {
	n := r.node
	return []zap.Field{
		zap.String("id", r.stage.entry.work.ID), zap.Int("occurrence", r.stage.occurrence.number),
		zap.Int("step", r.stage.index), zap.Int("task", r.index), zap.Int64("run", r.number), zap.String("worker", n.id),
		zap.Inline(presence.Evidence{
			Proof: proof, Run: r.Run, LastWord: elapsed(n.lastAnswerAt, now), Misses: n.misses,
			LeaseLeft: n.leaseEnd.Sub(now), OrderLeft: r.Expires - n.clockNow(now),
		}),
	}
}

// releaseRun releases the capacity of a run.
func (t *term) releaseRun(r *run) {
	r.ended = true
	r.node.release(r)
	t.accounts.ledger.Release(r.stage.entry.work.Account, r.stage.spec.TaskResources)
	r.stage.entry.activeRuns--
	t.passNeeded = true
}

// saveUnlessEnded saves an entry, unless a commit already contains its end.
func (t *term) saveUnlessEnded(e *entry) {
	if !e.endQueued {
		t.save(e, nil)
	}
}

// endTask handles the end of a task that is not part of a gang.
func (t *term) endTask(r *run, how worker.RunOutcome) {
	s, task := r.stage, &r.stage.tasks[r.index]
	task.run = nil
	switch {
	case how == worker.OutcomeDone && !s.spec.Service:
		task.phase = workrecord.Done
		s.done++
		t.onTasksDone(s, 1)
		return
	case how == worker.OutcomeFailed && !s.spec.Service:
		task.failures++
		s.mostFailures = max(s.mostFailures, task.failures)
		s.recordFailureOn(r.node.id)
		if task.failures >= s.entry.queue.MaxAttempts {
			t.failWork(s)
		}
	}
	task.phase = workrecord.Waiting
	s.waiting++
	t.requeue(s)
}

// endMember handles the end of a gang member. Members complete together, so one completion stands for all of them. Any
// other end aborts the run, and the gang is queued again once its last member has ended.
func (t *term) endMember(r *run, how worker.RunOutcome) {
	s, g := r.stage, r.stage.gang
	g.membersLeft--
	switch how {
	case worker.OutcomeDone:
		if !g.done {
			g.done = true
			t.onGangDone(s)
		}
	case worker.OutcomeFailed:
		g.failed = true
		s.recordFailureOn(r.node.id)
	default:
	}
	if !g.done && !g.aborted {
		g.Broken = how == worker.OutcomeGangBroken
		t.abortGang(s)
	}
	if g.membersLeft > 0 {
		return
	}
	s.gang = nil
	if g.done {
		return
	}
	if g.failed {
		s.resolve(g.number)
		if s.failures++; s.failures >= s.entry.queue.MaxAttempts && !s.spec.Service {
			t.failWork(s)
		}
	}
	for i := range s.tasks {
		s.tasks[i].phase, s.tasks[i].run = workrecord.Waiting, nil
	}
	s.waiting = len(s.tasks)
	t.requeue(s)
}

// abortGang stops the members of a gang run that can no longer succeed. Otherwise those that have started would hold
// their workers until they give up waiting for the others.
func (t *term) abortGang(s *stage) {
	s.gang.aborted = true
	for i := range s.tasks {
		if r := s.tasks[i].run; r != nil && !r.ended {
			t.halt(r)
		}
	}
}

func (t *term) onGangDone(s *stage) {
	for i := range s.tasks {
		s.tasks[i].phase = workrecord.Done
	}
	s.done = len(s.tasks)
	t.onTasksDone(s, len(s.tasks))
}

// onTasksDone handles the completion of n tasks of a stage: it opens the next steps or completes the work.
func (t *term) onTasksDone(s *stage, n int) {
	e, o := s.entry, s.occurrence
	o.tasksLeft -= n
	if o.tasksLeft > 0 {
		if s.done == len(s.tasks) {
			t.openStages(o)
		}
		return
	}
	e.removeOccurrence(o)
	if !e.state.Final() && len(e.occurrences) == 0 && e.occurrencesBegun == e.work.NumOccurrences() {
		e.state = job.WorkCompleted
	}
}

// failWork fails a work whose task has used up its attempts.
func (t *term) failWork(s *stage) {
	e := s.entry
	if e.state.Final() {
		return
	}
	t.log.Info("dispatch: work failed", zap.String("id", e.work.ID), zap.Int("step", s.index),
		zap.Int("attempts", e.queue.MaxAttempts))
	e.failure = workrecord.AttemptsFailed
	t.finish(e, job.WorkFailed)
}

// requeue marks a stage with waiting tasks as ready.
func (t *term) requeue(s *stage) {
	if s.entry.state.Final() {
		return
	}
	if !s.ready {
		s.ready, s.readySince = true, time.Now()
	}
	t.waitingStages[s] = struct{}{}
	t.passNeeded = true
}

func (s *stage) recordFailureOn(workerID string) {
	if s.failuresByWorker == nil {
		s.failuresByWorker = make(map[string]int)
	}
	s.failuresByWorker[workerID]++
}

// keepCheckpoint records a checkpoint. A checkpoint of one gang member applies to all members.
func (s *stage) keepCheckpoint(index int, checkpoint string) {
	if !s.spec.Gang {
		s.tasks[index].checkpoint = checkpoint
		return
	}
	for i := range s.tasks {
		s.tasks[i].checkpoint = checkpoint
	}
}
