package dispatch

import (
	"time"

	"go.uber.org/zap"

	"turmericgap/aging"
	"turmericgap/job"
)

// workOutcome is the outcome of a work, as written to logs and metrics.
type workOutcome string

const (
	outcomeTaken     workOutcome = "taken"
	outcomeInTime    workOutcome = "inTime"
	outcomeLate      workOutcome = "late"
	outcomeLost      workOutcome = "lost" // expired before it was done
	outcomeFailed    workOutcome = "failed"
	outcomeCancelled workOutcome = "cancelled"
)

// sizeClass identifies the works of one size class in one queue.
type sizeClass struct {
	queue string
	class aging.Class
}

// tally counts the outcomes of a class of works under this owner.
type tally struct {
	counts map[workOutcome]int
	// logged is true if all counts were logged. The queues of a cell come and go, and a line each second for every
	// queue that ever existed would fill the log.
	logged bool
}

// countOutcome counts an outcome of a work, by queue for the log and by class alone for the metrics.
func (t *term) countOutcome(e *entry, outcome workOutcome) {
	key := sizeClass{e.work.Queue.Name, e.class}
	tally := t.tallyOf(key)
	tally.counts[outcome]++
	tally.logged = false
	t.o.Metrics.Counter("dispatch.works." + e.class.String() + "." + string(outcome)).Inc(1)
}

func (t *term) tallyOf(key sizeClass) *tally {
	if t.tallies[key] == nil {
		t.tallies[key] = &tally{counts: make(map[workOutcome]int)}
	}
	return t.tallies[key]
}

// recordSize records the size and class of a work that is new to the term.
func (t *term) recordSize(e *entry) {
	name := e.work.Queue.Name
	t.sizes.Observe(name, e.size)
	e.class = t.sizes.Class(name, e.size)
	t.countOutcome(e, outcomeTaken)
	tasks := 0
	for i := range e.work.Steps {
		tasks += e.work.Steps[i].Tasks
	}
	t.log.Info("dispatch: work taken", zap.String("id", e.work.ID), zap.String("queue", name), zap.String("zone", e.work.Zone), zap.String("account", e.work.Account),
		zap.Bool("surplus", e.surplus), zap.Int64("version", t.configVersion()),
		zap.Float64("coreSeconds", e.size), zap.Stringer("class", e.class), zap.Int("steps", len(e.work.Steps)), zap.Int("tasks", tasks),
		zap.Duration("objective", e.objective), zap.Duration("age", time.Since(e.work.Accepted)))
}

// countOutcomeOnce counts the outcome of a work unless one was counted before.
func (t *term) countOutcomeOnce(e *entry, outcome workOutcome) {
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
		t.countOutcomeOnce(e, outcomeCancelled)
	case e.state == job.WorkFailed:
		t.countOutcomeOnce(e, outcomeFailed)
	case now.After(e.lastDue()):
		t.countOutcomeOnce(e, outcomeLate)
	default:
		t.countOutcomeOnce(e, outcomeInTime)
	}
}

// countExpired counts the works that have expired as lost.
func (t *term) countExpired(now time.Time) {
	for _, e := range t.entries {
		if !e.outcomeCounted && e.work.Occurrences == 0 && !e.state.Final() &&
			now.After(e.work.DueAt(0).Add(expiryFactor*e.objective)) {
			t.log.Info("dispatch: work is worth nothing any more", zap.String("id", e.work.ID),
				zap.Stringer("class", e.class), zap.Bool("started", e.started))
			t.countOutcomeOnce(e, outcomeLost)
		}
	}
}
