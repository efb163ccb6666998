package dispatch

import (
	"time"

	"go.uber.org/zap"

	"turmericgap/job"
	"turmericgap/worker"
)

// endRun takes in that a run has surely ended.
func (t *term) endRun(r *run, how worker.Ending, checkpoint string) {
	if r.ended {
		return
	}
	t.free(r)
	e := r.s.e
	if how == worker.EndingDone || how == worker.EndingFailed {
		e.started = true
	}
	if checkpoint != "" {
		r.s.keepCheckpoint(r.index, checkpoint)
	}
	t.judge(r, how)
	t.log.Info("dispatch: run ended", zap.String("id", e.work.ID), zap.Int("occurrence", r.s.occ.number),
		zap.Int("step", r.s.index), zap.Int("task", r.index), zap.Int64("run", r.number), zap.String("worker", r.n.id),
		zap.String("how", string(how)), zap.Duration("after", time.Since(r.begun)),
		zap.Duration("recorded", between(r.decided, r.begun)), zap.Duration("ordered", between(r.begun, r.confirmedAt)))
	switch {
	case r.s.gang != nil && r.s.gang.number == r.number:
		t.endMember(r, how)
	case r.s.tasks[r.index].run == r:
		t.endTask(r, how)
	}
	t.settle(e)
}

// between is the time from one moment to another, zero where one of them is not known.
func between(from, to time.Time) time.Duration {
	if from.IsZero() || to.IsZero() {
		return 0
	}
	return to.Sub(from)
}

// neverRan takes in that a run surely has not begun and never will.
func (t *term) neverRan(r *run, reason string) {
	if r.ended {
		return
	}
	t.log.Info("dispatch: run never began", zap.String("id", r.s.e.work.ID), zap.Int("step", r.s.index), zap.Int("task", r.index),
		zap.Int64("run", r.number), zap.String("worker", r.n.id), zap.String("reason", reason))
	t.endRun(r, worker.EndingStopped, "")
}

// free gives back what a run held.
func (t *term) free(r *run) {
	r.ended = true
	r.n.give(r)
	r.s.e.held--
	t.dirty = true
	if len(r.n.runs) == 0 {
		t.retire(r.n)
	}
}

// settle saves an entry, and removes its record when it has ended and nothing of it runs.
func (t *term) settle(e *entry) {
	if !e.settled {
		t.save(e, nil)
	}
}

// endTask takes in the end of a task that is not of a gang.
func (t *term) endTask(r *run, how worker.Ending) {
	s, k := r.s, &r.s.tasks[r.index]
	k.run = nil
	switch {
	case how == worker.EndingDone && !s.spec.Service:
		k.phase = phaseDone
		s.done++
		t.taskDone(s, 1)
		return
	case how == worker.EndingFailed && !s.spec.Service:
		k.fails++
		s.failedOn(r.n.id)
		if k.fails >= s.e.queue.Attempts {
			t.fail(s)
		}
	}
	k.phase = phaseWaiting
	s.waiting++
	t.again(s)
}

// endMember takes in the end of a member of a gang. The members end as done together, so that one such
// end stands for all of them; any other end breaks the run, and all go on together once the last
// member has ended.
func (t *term) endMember(r *run, how worker.Ending) {
	s, g := r.s, r.s.gang
	g.members--
	switch how {
	case worker.EndingDone:
		if !g.done {
			g.done = true
			t.gangDone(s)
		}
	case worker.EndingFailed:
		g.failed = true
		s.failedOn(r.n.id)
	default:
	}
	if !g.done && !g.broken {
		g.proved = how == worker.EndingBroken
		t.breakGang(s)
	}
	if g.members > 0 {
		return
	}
	s.gang = nil
	if g.done {
		return
	}
	if g.failed {
		if s.fails++; s.fails >= s.e.queue.Attempts && !s.spec.Service {
			t.fail(s)
		}
	}
	for i := range s.tasks {
		s.tasks[i].phase, s.tasks[i].run = phaseWaiting, nil
	}
	s.waiting = len(s.tasks)
	t.again(s)
}

// breakGang stops the members of a gang's run that cannot get on together. Without it those that
// have started would hold their workers until they give up waiting for the others.
func (t *term) breakGang(s *stage) {
	s.gang.broken = true
	for i := range s.tasks {
		if r := s.tasks[i].run; r != nil && !r.ended {
			t.halt(r)
		}
	}
}

func (t *term) gangDone(s *stage) {
	for i := range s.tasks {
		s.tasks[i].phase = phaseDone
	}
	s.done = len(s.tasks)
	t.taskDone(s, len(s.tasks))
}

// taskDone goes on after n tasks of a stage were done: with the next steps, or with the work's end.
func (t *term) taskDone(s *stage, n int) {
	e, o := s.e, s.occ
	o.left -= n
	if o.left > 0 {
		if s.done == len(s.tasks) {
			t.openStages(o)
		}
		return
	}
	e.drop(o)
	if !e.state.Final() && len(e.live) == 0 && e.begun == e.work.Count() {
		e.state = job.WorkCompleted
	}
}

// fail ends a work of which a task has used up its attempts.
func (t *term) fail(s *stage) {
	e := s.e
	if e.state.Final() {
		return
	}
	t.log.Info("dispatch: work failed", zap.String("id", e.work.ID), zap.Int("step", s.index), zap.Int("attempts", e.queue.Attempts))
	t.conclude(e, job.WorkFailed)
}

// again makes a stage with waiting tasks ready.
func (t *term) again(s *stage) {
	if s.e.state.Final() {
		return
	}
	if !s.ready {
		s.ready, s.since = true, time.Now()
	}
	t.stages[s] = struct{}{}
	t.dirty = true
}

func (s *stage) failedOn(workerID string) {
	if s.avoid == nil {
		s.avoid = make(map[string]int)
	}
	s.avoid[workerID]++
}

// keepCheckpoint notes progress. That of any member of a gang holds for all of them.
func (s *stage) keepCheckpoint(index int, checkpoint string) {
	if !s.spec.Gang {
		s.tasks[index].checkpoint = checkpoint
		return
	}
	for i := range s.tasks {
		s.tasks[i].checkpoint = checkpoint
	}
}
