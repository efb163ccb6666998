package dispatch

import (
	"time"

	"go.uber.org/zap"

	"turmericgap/worker"
)

const (
	// suspectFailures is the number of recent failures above which a worker is suspect, if they also outnumber its
	// successes. Up to one run in twenty fails through the fault of its work.
	suspectFailures = 2
	// endsWindow is the number of recent ends after which all counts are halved. A worker has about three ends a
	// second.
	endsWindow = 16
	// quarantineAfter is the number of consecutive failures of different works after which a worker is quarantined. If
	// one run in twenty fails through the fault of its work, three failures in a row occur by chance once in 8,000
	// runs.
	quarantineAfter = 3
	// quarantineMin and quarantineMax bound the duration of a quarantine, which doubles after each failed trial run.
	// Workers on which everything fails do so for several seconds.
	quarantineMin = time.Second
	quarantineMax = 4 * time.Second
	// quarantineDivisor limits quarantine to one worker in this many. If more of them fail, the workers are not the
	// cause, and work must not wait for a quarantine to end.
	quarantineDivisor = 4
)

// health is the state of a worker derived from the ends of its runs.
type health struct {
	// failures and successes count recent ends of runs. Both are halved when their sum exceeds endsWindow.
	failures, successes float64
	// failedInARow counts the works that have failed on the worker since the last success; lastFailedWork is the latest
	// one.
	failedInARow   int
	lastFailedWork string
	// quarantine is the duration of the latest quarantine, quarantinedUntil its end.
	quarantine       time.Duration
	quarantinedUntil time.Time
	// trial is the current run that decides whether the worker leaves quarantine.
	trial *run
}

// isSuspect reports whether other workers are to be preferred.
func (h *health) isSuspect() bool { return h.failures > suspectFailures && h.failures > h.successes }

// isOnTrial reports whether the worker gets only one run at a time until one succeeds.
func (h *health) isOnTrial() bool { return h.failedInARow >= quarantineAfter }

// isQuarantined reports whether the worker gets no new runs. A worker on which every start fails always has free
// capacity: without quarantine, the works of a full cell would go there and use up their attempts.
func (h *health) isQuarantined(now time.Time) bool {
	return h.isOnTrial() && (h.trial != nil || now.Before(h.quarantinedUntil))
}

// acceptsTrial reports whether a stage may start a trial run on this worker. The stage must not have failed yet, so
// that the trial cannot cost its last attempt, and must not be a gang, which needs other workers too.
func (h *health) acceptsTrial(s *stage) bool {
	return h.trial == nil && !s.spec.Gang && len(s.failuresByWorker) == 0
}

// recordEnding updates the health of a worker after the end of a run.
func (t *term) recordEnding(r *run, ending worker.RunOutcome) {
	h := &r.node.health
	if h.trial == r {
		h.trial = nil
	}
	switch ending {
	case worker.OutcomeDone:
		h.successes++
		h.failedInARow, h.quarantine = 0, 0
	case worker.OutcomeFailed:
		h.failures++
		t.countFailure(r)
	default:
	}
	if h.successes+h.failures > endsWindow {
		h.successes, h.failures = h.successes/2, h.failures/2
	}
}

// countFailure counts a failure, and quarantines a worker on which several works have failed in a row. Failures of the
// same work count once, as they may be the work's own fault.
func (t *term) countFailure(r *run) {
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

// canQuarantine reports whether one more worker may be quarantined.
func (t *term) canQuarantine() bool {
	quarantined := 1
	for _, n := range t.nodes {
		if n.isOnTrial() {
			quarantined++
		}
	}
	return quarantined*quarantineDivisor <= len(t.nodes)
}
