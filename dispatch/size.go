package dispatch

import (
	"time"

	"go.uber.org/zap"

	"turmericgap/job"
	"turmericgap/tally"
)

// countOutcome counts an outcome of a work, by queue for the log and by class alone for the metrics.
func (t *term) countOutcome(e *entry, outcome tally.Outcome) {
	t.tallies.Count(tally.Class{Queue: e.work.Queue.Name, Size: e.class}, outcome)
	t.o.Metrics.Counter("dispatch.works." + e.class.String() + "." + string(outcome)).Inc(1)
}

// recordSize records the size and class of a work that is new to the term.
func (t *term) recordSize(e *entry) {
	name := e.work.Queue.Name
	t.sizes.Observe(name, e.size)
	e.class = t.sizes.Class(name, e.size)
	t.countOutcome(e, tally.Taken)
	t.log.Info("dispatch: work taken", zap.String("id", e.work.ID), zap.String("queue", name), zap.String("zone", e.work.Zone), zap.String("account", e.work.Account),
		zap.Bool("surplus", e.surplus), zap.Int64("version", t.configVersion()),
		zap.Float64("coreSeconds", e.size), zap.Stringer("class", e.class), zap.Int("steps", len(e.work.Steps)), zap.Int("tasks", e.work.NumTasks()),
		zap.Duration("objective", e.objective), zap.Duration("age", time.Since(e.work.Accepted)))
}

// countOutcomeOnce counts the outcome of a work unless one was counted before.
func (t *term) countOutcomeOnce(e *entry, outcome tally.Outcome) {
	if e.outcomeCounted {
		return
	}
	e.outcomeCounted = true
	t.countOutcome(e, outcome)
}

// countEnded counts the outcome of a work that has ended.
func (t *term) countEnded(e *entry, now time.Time) {
	switch {
	case e.state == job.WorkCancelled:
		t.countOutcomeOnce(e, tally.Cancelled)
	case e.state == job.WorkFailed:
		t.countOutcomeOnce(e, tally.Failed)
	case now.After(e.lastDue()):
		t.countOutcomeOnce(e, tally.Late)
	default:
		t.countOutcomeOnce(e, tally.InTime)
	}
}

// countExpired counts the works that have expired as lost.
func (t *term) countExpired(now time.Time) {
	for _, e := range t.entries {
		if !e.outcomeCounted && e.work.Occurrences == 0 && !e.state.Final() &&
			now.After(e.work.DueAt(0).Add(expiryFactor*e.objective)) {
			t.log.Info("dispatch: work is worth nothing any more", zap.String("id", e.work.ID),
				zap.Stringer("class", e.class), zap.Bool("started", e.started))
			t.countOutcomeOnce(e, tally.Lost)
		}
	}
}
