package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"turmericgap/worker"
)

// unheard is a run of a gang that is over although one of its workers could not say how it ended there.
// The worker may list a failure when it is heard again, which counts as an attempt, unless its lease
// lapses before.
type unheard struct {
	number int64
	worker string
	// until is when the worker's lease has surely lapsed.
	until time.Time
}

// attemptsLeft reports whether another run is allowed even if all unheard ones had failed.
func (s *stage) attemptsLeft(now time.Time) bool {
	kept := s.unheard[:0]
	for _, u := range s.unheard {
		if now.Before(u.until) {
			kept = append(kept, u)
		}
	}
	s.unheard = kept
	return s.spec.Service || s.fails+s.unheardRuns() < s.e.queue.Attempts
}

// unheardRuns counts the runs that may still turn out to have failed, each once however many workers may
// tell of it.
func (s *stage) unheardRuns() int {
	n := 0
	for i, u := range s.unheard {
		if !slices.ContainsFunc(s.unheard[:i], func(o unheard) bool { return o.number == u.number }) {
			n++
		}
	}
	return n
}

// cannotHear notes that a worker cannot say how a run of the gang ended there. Any of several such workers
// may list the failure, so that each is remembered.
func (s *stage) cannotHear(number int64, n *node) {
	u := unheard{number, n.id, n.leaseEnd}
	if !slices.ContainsFunc(s.unheard, func(o unheard) bool { return o.number == number && o.worker == n.id }) {
		s.unheard = append(s.unheard, u)
	}
}

// overWithGang ends members of gangs on workers that are silent, where another member has shown that the
// run is over. A worker that crashed lists nothing, and the gang would wait for its lease to lapse
// although no member can be at work any more.
func (t *term) overWithGang() {
	for _, n := range t.nodes {
		if n.misses < extendMisses {
			continue
		}
		for _, r := range n.runs {
			g := r.s.gang
			if g == nil || !g.proved || g.number != r.number {
				continue
			}
			r.s.cannotHear(r.number, n)
			t.endRun(r, worker.EndingBroken, "")
		}
	}
}

// hear takes in an end that a worker lists of a run that was counted as over before.
func (t *term) hear(n *node, e *worker.End) {
	entry := t.entries[e.Task.Work]
	if entry == nil || entry.state.Final() {
		return
	}
	for _, o := range entry.live {
		if o.number != e.Task.Occurrence || e.Task.Step >= len(o.stages) {
			continue
		}
		s := o.stages[e.Task.Step]
		for _, u := range s.unheard {
			if u.number != e.Run || u.worker != n.id || e.How != worker.EndingFailed {
				continue
			}
			s.unheard = slices.DeleteFunc(s.unheard, func(o unheard) bool { return o.number == e.Run })
			s.fails++
			t.log.Info("dispatch: a failure was heard of late", zap.String("id", e.Task.Work), zap.Int("step", e.Task.Step),
				zap.Int64("run", e.Run), zap.String("worker", n.id), zap.Int("fails", s.fails))
			if s.fails >= entry.queue.Attempts && !s.spec.Service {
				t.fail(s)
			}
			t.settle(entry)
			t.noteEnd(n, entry)
			return
		}
	}
}
