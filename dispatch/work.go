package dispatch

import (
	"time"

	"go.uber.org/zap"

	"turmericgap/job"
	"turmericgap/presence"
	"turmericgap/workrecord"
)

// addWork adds an accepted work unless the term already knows it.
func (t *term) addWork(w *job.Work) {
	if e := t.entries[w.ID]; e != nil {
		// An entry VM has created the work itself, so it must not be withdrawn for lack of a commit by this owner.
		e.needsCreate, e.createdElsewhere = false, true
		return
	}
	if _, ended := t.ended[w.ID]; ended {
		return
	}
	t.addEntry(t.newEntry(w))
}

// newEntry returns the entry of a work under the newest configuration, without adding it.
func (t *term) newEntry(w *job.Work) *entry {
	e := newEntry(w)
	t.applyQueueConfig(e)
	t.applyAccount(e)
	return e
}

func (t *term) addEntry(e *entry) {
	w := e.work
	e.surplus = t.accounts.rates.Exceeds(w.Account, e.weight, w.Accepted)
	t.entries[w.ID] = e
	t.memory.Add(w.ID, workrecord.MemoryBytes(w))
	t.recordSize(e)
	if w.Occurrences > 0 {
		t.timed[e] = struct{}{}
		t.beginDue(e, time.Now())
		return
	}
	t.openStages(e.openOccurrence(0))
}

// offer adds work that an entry VM has just accepted. An offer may arrive late, after its work has run and ended under
// a former owner, and would run it again. So until the records of ended work are loaded, only the watch adds new work:
// the store orders its events after the work's end.
func (t *term) offer(works []job.Work) {
	if !t.endedLoaded {
		return
	}
	for i := range works {
		t.addWork(&works[i])
	}
}

// openStages marks the stages of an occurrence whose preceding steps are done as ready.
func (t *term) openStages(o *occurrence) {
	for _, s := range o.stages {
		if s.waiting == 0 || s.entry.state.Final() || !s.predecessorsDone() {
			continue
		}
		if !s.ready {
			s.ready, s.readySince = true, time.Now()
		}
		t.waitingStages[s] = struct{}{}
		t.passNeeded = true
	}
}

// durableStateOf returns the durable state of a work, or "" if the term does not hold it or it is not visible to the
// account.
func (t *term) durableStateOf(id, account string) job.WorkState {
	if e := t.entries[id]; e != nil {
		if !e.work.VisibleTo(account) {
			return ""
		}
		if !e.durableState.Final() && e.started {
			return job.WorkRunning
		}
		return e.durableState
	}
	end := t.ended[id]
	if !job.IsVisible(end.Account, account) {
		return ""
	}
	return end.State
}

func (t *term) countWaiting(queue string) int {
	n := 0
	for _, e := range t.entries {
		if e.work.Queue.Name == queue && !e.started && !e.state.Final() {
			n++
		}
	}
	return n
}

// cancel cancels a work for an account; done is closed once that is durable.
func (t *term) cancel(id, account string) (known bool, done chan error) {
	done = make(chan error, 1)
	e := t.entries[id]
	if e == nil {
		end, ended := t.ended[id]
		close(done)
		return ended && job.IsVisible(end.Account, account), done
	}
	if !e.work.VisibleTo(account) {
		return false, done
	}
	if e.state.Final() {
		t.save(e, func() { close(done) })
		return true, done
	}
	t.log.Info("dispatch: work cancelled", zap.String("id", id), zap.Int("running", e.activeRuns))
	t.finish(e, job.WorkCancelled)
	t.save(e, func() { close(done) })
	return true, done
}

// finish sets a final state: no new task starts, and running tasks are stopped at once. If the state does not become
// durable, a successor starts them again, and no caller has been told otherwise.
func (t *term) finish(e *entry, state job.WorkState) {
	e.state = state
	delete(t.timed, e)
	for _, o := range e.occurrences {
		for _, s := range o.stages {
			delete(t.waitingStages, s)
			t.releaseSetAside(s)
		}
	}
	t.passNeeded = true // its reservations last until the next pass
	t.save(e, nil)
	t.haltAll(e)
}

// haltAll stops all runs of a work, and ends those whose order was not sent yet.
func (t *term) haltAll(e *entry) {
	for _, o := range e.occurrences {
		for _, s := range o.stages {
			for i := range s.tasks {
				switch r := s.tasks[i].run; {
				case r == nil || r.ended:
				case r.isUnsent():
					t.onNeverStarted(r, presence.NotSent, "its work has ended")
				default:
					t.halt(r)
				}
			}
		}
	}
}
