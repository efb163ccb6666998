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

// acceptsTrial reports whether a stage may start a trial run on this worker.
func (h *health) acceptsTrial(s *stage, now time.Time) bool {
	failures := max(s.failures, s.mostFailures)
	return h.trial == nil && h.AcceptsTrial(quarantine.Candidate{
		Work:        s.entry.work.ID,
		Failed:      failures > 0 || len(s.failuresByWorker) > 0,
		LastAttempt: !s.spec.Service && failures+1 >= s.entry.queue.MaxAttempts,
		Gang:        s.spec.Gang,
	}, now)
}

// endTrials ends the trials whose run has been at work for long enough: a service never ends as done, and others may last.
func (t *term) endTrials(now time.Time) {
	for _, n := range t.nodes {
		if r := n.trial; r != nil && n.EndTrial(r.timeAtWork(now)) {
			n.trial = nil
			t.passNeeded = true
			t.o.Metrics.Counter("dispatch.trialsPassed").Inc(1)
			t.log.Info("dispatch: worker is used again", zap.String("worker", n.id), zap.String("id", r.stage.entry.work.ID),
				zap.Int("step", r.stage.index), zap.Int("task", r.index), zap.Int64("run", r.number), zap.Duration("atWork", r.timeAtWork(now)))
		}
	}
}

// timeAtWork returns for how long a run is known to have been at work. The members of a gang work from when all are there.
func (r *run) timeAtWork(now time.Time) time.Duration {
	members := []task{{run: r}}
	if r.stage.gang != nil {
		members = r.stage.tasks
	}
	since := r.confirmedAt
	for i := range members {
		m := members[i].run
		if m == nil || !m.Confirmed {
			return 0
		}
		if m.confirmedAt.After(since) {
			since = m.confirmedAt
		}
	}
	return elapsed(since, now)
}

// recordEnding updates the health of a worker after the end of a run.
func (t *term) recordEnding(r *run, ending worker.RunOutcome) {
	n := r.node
	if n.trial == r {
		n.trial = nil
	}
	switch ending {
	case worker.OutcomeDone:
		if n.IsOnTrial() {
			t.o.Metrics.Counter("dispatch.trialsPassed").Inc(1)
			t.log.Info("dispatch: worker is used again", zap.String("worker", n.id), zap.String("id", r.stage.entry.work.ID),
				zap.Int("step", r.stage.index), zap.Int("task", r.index), zap.Int64("run", r.number))
		}
		n.AddSuccess()
	case worker.OutcomeFailed:
		now := time.Now()
		if rest := n.AddFailure(r.stage.entry.work.ID, r.timeAtWork(now), now, t.canQuarantine); rest > 0 {
			t.o.Metrics.Counter("dispatch.quarantines").Inc(1)
			t.log.Info("dispatch: worker rests", zap.String("worker", n.id), zap.String("id", r.stage.entry.work.ID), zap.Int64("run", r.number),
				zap.Int("failedInARow", n.FailedInARow), zap.Duration("atWork", r.timeAtWork(now)), zap.Duration("rest", rest))
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
