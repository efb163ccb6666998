package dispatch

import (
	"time"

	"go.uber.org/zap"

	"turmericgap/quarantine"
	"turmericgap/worker"
)

// health is the state of a worker derived from the ends of its runs.
type health struct {
	quarantine.Record
	// trial is the current run that decides whether the worker leaves quarantine.
	trial *run
}

// isQuarantined reports whether the worker gets no new runs.
func (h *health) isQuarantined(now time.Time) bool {
	return h.IsActive(now) || h.IsOnTrial() && h.trial != nil
}

// acceptsTrial reports whether a stage may start a trial run on this worker. The stage must not have failed yet, so
// that the trial cannot cost its last attempt, and must not be a gang, which needs other workers too.
func (h *health) acceptsTrial(s *stage) bool {
	return h.trial == nil && !s.spec.Gang && len(s.failuresByWorker) == 0
}

// recordEnding updates the health of a worker after the end of a run.
func (t *term) recordEnding(r *run, ending worker.RunOutcome) {
	n := r.node
	if n.trial == r {
		n.trial = nil
	}
	switch ending {
	case worker.OutcomeDone:
		n.AddSuccess()
	case worker.OutcomeFailed:
		if rest := n.AddFailure(r.stage.entry.work.ID, time.Now(), t.canQuarantine); rest > 0 {
			t.log.Info("dispatch: worker rests", zap.String("worker", n.id), zap.Int("failedInARow", n.FailedInARow), zap.Duration("rest", rest))
		}
	default:
	}
}

// canQuarantine reports whether one more worker may be quarantined.
func (t *term) canQuarantine() bool {
	quarantined := 0
	for _, n := range t.nodes {
		if n.IsOnTrial() {
			quarantined++
		}
	}
	return quarantine.MayBegin(quarantined, len(t.nodes))
}
