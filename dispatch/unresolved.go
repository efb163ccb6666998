package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"turmericgap/worker"
)

// unresolvedRun is a run of a gang that is over although one of its workers could not report how it ended there. The
// worker may still report a failure once it is reachable again, which counts as an attempt, unless its lease expires
// first.
type unresolvedRun struct {
	number int64
	node   *node
	// until is when the worker's lease has certainly expired.
	until time.Time
}

// attemptsLeft reports whether another run is allowed even if all unresolved runs turn out to have failed.
func (s *stage) attemptsLeft(now time.Time) bool {
	remaining := s.unresolved[:0]
	for _, u := range s.unresolved {
		if now.Before(u.until) && !u.node.replaced {
			remaining = append(remaining, u)
		}
	}
	s.unresolved = remaining
	return s.spec.Service || s.failures+s.unresolvedCount() < s.entry.queue.MaxAttempts
}

// unresolvedCount counts the runs that may still turn out to have failed, each once even if several workers may report
// it.
func (s *stage) unresolvedCount() int {
	n := 0
	for i, u := range s.unresolved {
		if !slices.ContainsFunc(s.unresolved[:i], func(o unresolvedRun) bool { return o.number == u.number }) {
			n++
		}
	}
	return n
}

// addUnresolved records that a worker could not report how a run of the gang ended. Several workers may be in this
// state, and any of them may report the failure, so each is recorded.
func (s *stage) addUnresolved(number int64, n *node) {
	if !slices.ContainsFunc(s.unresolved, func(o unresolvedRun) bool { return o.number == number && o.node.id == n.id }) {
		s.unresolved = append(s.unresolved, unresolvedRun{number, n, n.leaseEnd})
	}
}

// resolve forgets that workers may still report a run as failed, once it counts as failed.
func (s *stage) resolve(number int64) {
	s.unresolved = slices.DeleteFunc(s.unresolved, func(u unresolvedRun) bool { return u.number == number })
}

// endMembersOfEndedGangs ends gang members on silent workers if another member has proved that the run is over. A
// worker that crashed reports nothing; without this the gang would wait until its lease expires although no member can
// still be running. A gang with a suspect waits for the worker's fate: a member that crashes its workers would otherwise be
// started several times before its first crash is known. A start that was sent to an earlier instance of a worker may be
// carried out again.
func (t *term) endMembersOfEndedGangs() {
	for _, n := range t.nodes {
		if n.misses < extendMissLimit {
			continue
		}
		for _, r := range n.runs {
			g := r.stage.gang
			if g == nil || g.number != r.number || len(r.stage.suspects) > 0 || r.Born != n.born {
				continue
			}
			if proof, ok := g.Ended(); ok {
				t.breakMember(r, proof)
			}
		}
	}
}

// onLateEnd handles the reported end of a run that was already counted as over.
func (t *term) onLateEnd(n *node, e *worker.EndedRun) {
	entry := t.entries[e.Task.Work]
	if entry == nil {
		return
	}
	t.log.Info("dispatch: end of a run that was over", zap.String("id", e.Task.Work), zap.Int("occurrence", e.Task.Occurrence),
		zap.Int("step", e.Task.Step), zap.Int("task", e.Task.Index), zap.Int64("run", e.Run), zap.String("worker", n.id),
		zap.String("how", string(e.Outcome)))
	for _, o := range entry.occurrences {
		if o.number == e.Task.Occurrence && e.Task.Step < len(o.stages) && e.Outcome == worker.OutcomeFailed && !entry.state.Final() {
			t.countLateFailure(n, o.stages[e.Task.Step], e.Run)
		}
	}
	// What was decided meanwhile may not be durable, and the work may continue under another owner.
	t.observeAfterSave(n, entry)
}

// countLateFailure counts the failure of an unresolved run.
func (t *term) countLateFailure(n *node, s *stage, number int64) {
	if !slices.ContainsFunc(s.unresolved, func(u unresolvedRun) bool { return u.number == number && u.node.id == n.id }) {
		return
	}
	s.resolve(number)
	if g := s.gang; g != nil && g.number == number {
		g.failed = true // counted once its last member has ended
	} else {
		s.failures++
	}
	t.log.Info("dispatch: a failure was heard of late", zap.String("id", s.entry.work.ID), zap.Int("step", s.index),
		zap.Int64("run", number), zap.String("worker", n.id), zap.Int("fails", s.failures))
	if s.failures >= s.entry.queue.MaxAttempts && !s.spec.Service {
		t.failWork(s)
	}
	t.saveUnlessEnded(s.entry)
}
