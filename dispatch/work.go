package dispatch

import (
	"time"

	"go.uber.org/zap"

	"turmericgap/job"
)

// add takes an accepted work that the term does not know yet.
func (t *term) add(w *job.Work) {
	if e := t.entries[w.ID]; e != nil {
		// An entry VM has created the work itself: it must not be withdrawn for want of an own commit.
		e.unwritten, e.stored = false, true
		return
	}
	if _, over := t.ended[w.ID]; over {
		return
	}
	e := newEntry(w)
	t.adopt(e)
	t.entries[w.ID] = e
	t.noteSize(e)
	if w.Occurrences > 0 {
		t.timed[e] = struct{}{}
		t.beginDue(e, time.Now())
		return
	}
	t.openStages(e.begin(0))
}

// offer takes work that an entry VM has just accepted. An offer that was under way while its work
// ran and ended under a former owner would run it again; until the ended work is known, only the
// watch tells of new work, which the store orders after its end.
func (t *term) offer(works []job.Work) {
	if !t.endedRead {
		return
	}
	for i := range works {
		t.add(&works[i])
	}
}

// openStages makes the stages of an occurrence whose turn has come ready.
func (t *term) openStages(o *occurrence) {
	for _, s := range o.stages {
		if s.waiting == 0 || s.e.state.Final() || !s.open() {
			continue
		}
		if !s.ready {
			s.ready, s.since = true, time.Now()
		}
		t.stages[s] = struct{}{}
		t.dirty = true
	}
}

// shown gives the durable state of a work, empty where it is not held.
func (t *term) shown(id string) job.WorkState {
	if e := t.entries[id]; e != nil {
		if !e.shown.Final() && e.started {
			return job.WorkRunning
		}
		return e.shown
	}
	return t.ended[id].State
}

// current reports whether the store has lately confirmed the tenure. An owner that was replaced
// without having heard of it does not know the newest work.
func (t *term) current() bool { return t.tenure.Confirmed(countGrace) }

func (t *term) waiting(queue string) int {
	n := 0
	for _, e := range t.entries {
		if e.work.Queue.Name == queue && !e.started && !e.state.Final() {
			n++
		}
	}
	return n
}

// cancel decides that a work is cancelled; done is closed once that is durable.
func (t *term) cancel(id string) (known bool, done chan error) {
	done = make(chan error, 1)
	e := t.entries[id]
	if e == nil {
		_, over := t.ended[id]
		close(done)
		return over, done
	}
	if e.state.Final() {
		t.afterSaved(e, func() { close(done) })
		return true, done
	}
	t.log.Info("dispatch: work cancelled", zap.String("id", id), zap.Int("running", e.held))
	t.conclude(e, job.WorkCancelled)
	t.afterSaved(e, func() { close(done) })
	return true, done
}

// conclude decides a final state: nothing new starts, and what runs is stopped once that is durable.
func (t *term) conclude(e *entry, state job.WorkState) {
	e.state = state
	delete(t.timed, e)
	for _, o := range e.live {
		for _, s := range o.stages {
			delete(t.stages, s)
			t.letGo(s)
		}
	}
	t.save(e, func() { t.haltAll(e) })
}

// haltAll stops all runs of a work.
func (t *term) haltAll(e *entry) {
	for _, o := range e.live {
		for _, s := range o.stages {
			for i := range s.tasks {
				if r := s.tasks[i].run; r != nil && !r.ended {
					t.halt(r)
				}
			}
		}
	}
}
