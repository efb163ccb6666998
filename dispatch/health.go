package dispatch

import (
	"time"

	"go.uber.org/zap"

	"turmericgap/worker"
)

const (
	// suspectFailures is how many failures, beside fewer good ends, make a worker doubtful. Work fails by its
	// own fault in up to one run of twenty.
	suspectFailures = 2
	// endsWindow is how many ends of runs count before older ones fade; a worker sees about three a second.
	endsWindow = 16
	// quarantineAfter is how many works in a row must have failed on a worker before it rests. Where one run of
	// twenty fails by its own fault, a sound worker rests after one of 8,000.
	quarantineAfter = 3
	// quarantineMin and quarantineMax bound how long a worker rests before it is tried again, twice as long after
	// each trial that failed. Workers that fail everything do so for several seconds.
	quarantineMin = time.Second
	quarantineMax = 4 * time.Second
	// quarantineShare is the part of the workers, one of so many, that may rest at a time: where more of them
	// fail, the fault is not theirs, and work must not wait for a worker to be trusted.
	quarantineShare = 4
)

// health is what the ends of runs have shown of a worker.
type health struct {
	// failures and successes count the ends of runs lately, halved as they grow.
	failures, successes float64
	// failedInARow counts the works that have failedInARow there since one was done, lastFailedWork is the latest of them.
	failedInARow   int
	lastFailedWork string
	// quarantine is how long the latest quarantine lasts, quarantinedUntil its end.
	quarantine       time.Duration
	quarantinedUntil time.Time
	// trialRun is the one run that is to show whether the worker may be trusted again.
	trialRun *run
}

// isSuspect reports whether other workers are to be preferred.
func (u *health) isSuspect() bool { return u.failures > suspectFailures && u.failures > u.successes }

// isOnTrial reports whether the worker gets one run at a time until one is done.
func (u *health) isOnTrial() bool { return u.failedInARow >= quarantineAfter }

// isQuarantined reports whether the worker gets nothing new. A worker that fails all that it starts always has
// room: without a rest the work of a full cell would go there and use up its attempts.
func (u *health) isQuarantined(now time.Time) bool {
	return u.isOnTrial() && (u.trialRun != nil || now.Before(u.quarantinedUntil))
}

// acceptsTrial reports whether a stage may have a run on a worker that is on trial: one that has not failed yet,
// so that the trial does not cost its last attempt, and that needs no other worker beside this one.
func (u *health) acceptsTrial(s *stage) bool {
	return u.trialRun == nil && !s.spec.Gang && len(s.failuresByWorker) == 0
}

// noteEnding takes in how a run has ended.
func (t *term) noteEnding(r *run, how worker.RunOutcome) {
	u := &r.node.health
	if u.trialRun == r {
		u.trialRun = nil
	}
	switch how {
	case worker.OutcomeDone:
		u.successes++
		u.failedInARow, u.quarantine = 0, 0
	case worker.OutcomeFailed:
		u.failures++
		t.noteFailure(r)
	default:
	}
	if u.successes+u.failures > endsWindow {
		u.successes, u.failures = u.successes/2, u.failures/2
	}
}

// noteFailure counts a failure, and lets a worker rest on which several works have failed in a row. The tasks of
// one work count once, as they may fail by their own fault.
func (t *term) noteFailure(r *run) {
	n, id := r.node, r.stage.entry.work.ID
	if n.lastFailedWork == id && !n.isOnTrial() {
		return
	}
	n.lastFailedWork = id
	if !n.isOnTrial() && n.failedInARow+1 >= quarantineAfter && !t.canQuarantine() {
		return
	}
	if n.failedInARow++; !n.isOnTrial() {
		return
	}
	n.quarantine = min(max(2*n.quarantine, quarantineMin), quarantineMax)
	n.quarantinedUntil = time.Now().Add(n.quarantine)
	t.log.Info("dispatch: worker rests", zap.String("worker", n.id), zap.Int("failedInARow", n.failedInARow), zap.Duration("rest", n.quarantine))
}

// canQuarantine reports whether one more worker may rest.
func (t *term) canQuarantine() bool {
	resting := 1
	for _, n := range t.nodes {
		if n.isOnTrial() {
			resting++
		}
	}
	return resting*quarantineShare <= len(t.nodes)
}
