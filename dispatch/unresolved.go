package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"turmericgap/worker"
)

// unresolvedRun is a run of a gang that is over although one of its workers could not say how it ended there.
// The worker may list a failure when it is heard again, which counts as an attempt, unless its lease
// lapses before.
type unresolvedRun struct {
	number int64
	worker string
	// until is when the worker's lease has surely lapsed.
	until time.Time
}

// attemptsLeft reports whether another run is allowed even if all unheard ones had failed.
func (s *stage) attemptsLeft(now time.Time) bool {
	kept := s.unresolved[:0]
	for _, u := range s.unresolved {
		if now.Before(u.until) {
			kept = append(kept, u)
		}
	}
	s.unresolved = kept
	return s.spec.Service || s.failures+s.unresolvedCount() < s.entry.queue.Attempts
}

// unresolvedCount counts the runs that may still turn out to have failed, each once however many workers may
// tell of it.
func (s *stage) unresolvedCount() int {
	n := 0
	for i, u := range s.unresolved {
		if !slices.ContainsFunc(s.unresolved[:i], func(o unresolvedRun) bool { return o.number == u.number }) {
			n++
		}
	}
	return n
}

// addUnresolved notes that a worker cannot say how a run of the gang ended there. Any of several such workers
// may list the failure, so that each is remembered.
func (s *stage) addUnresolved(number int64, n *node) {
	u := unresolvedRun{number, n.id, n.leaseEnd}
	if !slices.ContainsFunc(s.unresolved, func(o unresolvedRun) bool { return o.number == number && o.worker == n.id }) {
		s.unresolved = append(s.unresolved, u)
	}
}

// endMembersOfEndedGangs ends members of gangs on workers that are silent, where another member has shown that the
// run is over. A worker that crashed lists nothing, and the gang would wait for its lease to lapse
// although no member can be at work any more.
func (t *term) endMembersOfEndedGangs() {
	for _, n := range t.nodes {
		if n.misses < extendMissLimit {
			continue
		}
		for _, r := range n.runs {
			g := r.stage.gang
			if g == nil || !g.endProved || g.number != r.number {
				continue
			}
			r.stage.addUnresolved(r.number, n)
			t.endRun(r, worker.EndingBroken, "")
		}
	}
}

// onLateEnd takes in an end that a worker lists of a run that was counted as over before.
func (t *term) onLateEnd(n *node, e *worker.End) {
	entry := t.entries[e.Task.Work]
	if entry == nil || entry.state.Final() {
		return
	}
	for _, o := range entry.occurrences {
		if o.number != e.Task.Occurrence || e.Task.Step >= len(o.stages) {
			continue
		}
		s := o.stages[e.Task.Step]
		for _, u := range s.unresolved {
			if u.number != e.Run || u.worker != n.id || e.How != worker.EndingFailed {
				continue
			}
			s.unresolved = slices.DeleteFunc(s.unresolved, func(o unresolvedRun) bool { return o.number == e.Run })
			s.failures++
			t.log.Info("dispatch: a failure was heard of late", zap.String("id", e.Task.Work), zap.Int("step", e.Task.Step),
				zap.Int64("run", e.Run), zap.String("worker", n.id), zap.Int("fails", s.failures))
			if s.failures >= entry.queue.Attempts && !s.spec.Service {
				t.failWork(s)
			}
			t.saveUnlessEnded(entry)
			t.observeAfterSave(n, entry)
			return
		}
	}
}
