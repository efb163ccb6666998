package dispatch

import (
	"time"

	"go.uber.org/zap"

	"turmericgap/aging"
	"turmericgap/job"
)

// acceleratorCores is how many cores an accelerator counts as in the size of a work.
const acceleratorCores = 8

// size is what a work takes, in core-seconds by its caller's estimates.
func size(w *job.Work) float64 {
	sum := 0.0
	for i := range w.Steps {
		s := &w.Steps[i]
		cores := float64(s.TaskResources.Millicores)/1000 + acceleratorCores*float64(s.TaskResources.Accelerators)
		sum += cores * float64(s.Tasks) * s.Estimate.Seconds()
	}
	return sum
}

// workOutcome is what became of a work, in the words of the log.
type workOutcome string

const (
	outcomeTaken     workOutcome = "taken"
	outcomeInTime    workOutcome = "inTime"
	outcomeLate      workOutcome = "late"
	outcomeLost      workOutcome = "lost" // worth nothing any more before it was done
	outcomeFailed    workOutcome = "failed"
	outcomeCancelled workOutcome = "cancelled"
)

// sizeClass is the works of one class of sizes in one queue.
type sizeClass struct {
	queue string
	class aging.Class
}

// tally counts what became of the works of a class under this owner.
type tally struct {
	counts map[workOutcome]int
	// logged says that the log has logged of all of it: the queues of a cell come and go, and a line each second for
	// each that was ever there would fill the log.
	logged bool
}

// countOutcome counts what countOutcome of a work, for the log by queue and for the metrics by class alone.
func (t *term) countOutcome(e *entry, what workOutcome) {
	key := sizeClass{e.work.Queue.Name, e.class}
	tally := t.tallyOf(key)
	tally.counts[what]++
	tally.logged = false
	t.o.Metrics.Counter("dispatch.works." + e.class.String() + "." + string(what)).Inc(1)
}

func (t *term) tallyOf(key sizeClass) *tally {
	if t.tallies[key] == nil {
		t.tallies[key] = &tally{counts: make(map[workOutcome]int)}
	}
	return t.tallies[key]
}

// recordSize takes in how large a work is that the term did not know.
func (t *term) recordSize(e *entry) {
	name := e.work.Queue.Name
	t.sizes.Observe(name, e.size)
	e.class = t.sizes.Class(name, e.size)
	t.countOutcome(e, outcomeTaken)
	tasks := 0
	for i := range e.work.Steps {
		tasks += e.work.Steps[i].Tasks
	}
	t.log.Info("dispatch: work taken", zap.String("id", e.work.ID), zap.String("queue", name), zap.String("zone", e.work.Zone),
		zap.Float64("coreSeconds", e.size), zap.Stringer("class", e.class), zap.Int("steps", len(e.work.Steps)), zap.Int("tasks", tasks),
		zap.Duration("objective", e.objective), zap.Duration("age", time.Since(e.work.Accepted)))
}

// countOutcomeOnce tells once what became of a work.
func (t *term) countOutcomeOnce(e *entry, what workOutcome) {
	if e.outcomeCounted {
		return
	}
	e.outcomeCounted = true
	t.countOutcome(e, what)
}

// countEnded takes in how a work has ended.
func (t *term) countEnded(e *entry, now time.Time) {
	switch {
	case e.state == job.WorkCancelled:
		t.countOutcomeOnce(e, outcomeCancelled)
	case e.state == job.WorkFailed:
		t.countOutcomeOnce(e, outcomeFailed)
	case now.After(e.lastDeadline()):
		t.countOutcomeOnce(e, outcomeLate)
	default:
		t.countOutcomeOnce(e, outcomeInTime)
	}
}

// countExpired notes the works that are worth nothing any more.
func (t *term) countExpired(now time.Time) {
	for _, e := range t.entries {
		if !e.outcomeCounted && e.work.Occurrences == 0 && !e.state.Final() && now.After(e.work.DueAt(0).Add(expiryFactor*e.objective)) {
			t.log.Info("dispatch: work is worth nothing any more", zap.String("id", e.work.ID),
				zap.Stringer("class", e.class), zap.Bool("started", e.started))
			t.countOutcomeOnce(e, outcomeLost)
		}
	}
}
