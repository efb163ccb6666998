package dispatch

import (
	"time"

	"go.uber.org/zap"
)

// onTick performs all time-driven checks.
func (t *term) onTick(now time.Time) {
	t.observeWorkerList()
	t.endExpired(now)
	t.endMembersOfEndedGangs()
	t.clearSurvivors(now)
	t.endTrials(now)
	t.retryHalts(now)
	t.probeOverdue(now)
	if now.Sub(t.speedsRefreshedAt) >= speedsInterval {
		t.refreshSpeeds(now)
	}
	t.stopStalled(now)
	t.evacuateLeaving(now)
	for e := range t.timed {
		t.beginDue(e, now)
	}
	t.withdrawUnsent(now)
	t.forgetEnded(now)
	t.forgetRefusals(now)
	t.advanceWaves(now)
	t.observeForGate(now)
	if now.Sub(t.reportedAt) >= reportInterval {
		t.reportedAt = now
		t.countExpired(now)
		t.accounts.rates.Forget(now)
		t.report(now)
	}
	t.passNeeded = t.passNeeded || len(t.waitingStages) > 0
}

// retryHalts repeats stop orders of runs whose end has not been reported.
func (t *term) retryHalts(now time.Time) {
	for _, n := range t.nodes {
		for _, r := range n.runs {
			if r.stopping && now.Sub(r.haltedAt) > haltRetryDelay+t.o.StopTimeout {
				t.halt(r)
			}
		}
	}
}

const (
	// stallTimeout is the minimum time without progress after which a run counts as stalled; a longer estimate raises
	// it to a quarter of the estimate. On a worker that is eight times slower, one percent of a task takes a twelfth of
	// the estimate.
	stallTimeout         = 3 * time.Second
	stallEstimateDivisor = 4
)

// stopStalled stops runs without progress, so that their tasks continue elsewhere from their checkpoints. A worker may
// answer every call although nothing on it makes progress, and would delay its tasks and their callers for as long as
// that lasts. Services are exempt: they stay at 100 percent.
func (t *term) stopStalled(now time.Time) {
	for _, n := range t.nodes {
		if n.misses > 0 || !n.lastAnswerAt.After(now.Add(-holdWait-holdTimeoutSlack)) {
			continue
		}
		for _, r := range n.runs {
			if r.isStalled(now) {
				t.log.Info("dispatch: run makes no progress", zap.String("id", r.stage.entry.work.ID),
					zap.Int("step", r.stage.index), zap.Int("task", r.index),
					zap.Int64("run", r.number), zap.String("worker", n.id), zap.Int("percent", r.percent))
				n.unhealthyUntil = now.Add(stallTimeout)
				r.stage.recordFailureOn(n.id)
				t.halt(r)
			}
		}
	}
}

// isStalled reports whether a run has made no progress for too long.
func (r *run) isStalled(now time.Time) bool {
	spec := r.stage.spec
	if !r.Confirmed || r.stopping || spec.Service || spec.Gang || spec.Estimate == 0 || r.progressAt.IsZero() {
		return false
	}
	return now.Sub(r.progressAt) > max(stallTimeout, spec.Estimate/stallEstimateDivisor)
}

// beginDue opens the due occurrences of a timed work.
func (t *term) beginDue(e *entry, now time.Time) {
	if e.state.Final() {
		delete(t.timed, e)
		return
	}
	for e.occurrencesBegun < e.work.NumOccurrences() && !now.Before(e.work.DueAt(e.occurrencesBegun)) &&
		e.room.MayOpen(e.work, len(e.occurrences), t.o.MaxRecordBytes) {
		t.openStages(e.openOccurrence(e.occurrencesBegun))
		t.save(e, nil)
	}
	if e.occurrencesBegun == e.work.NumOccurrences() {
		delete(t.timed, e)
	}
}

// forgetEnded removes the records of ended work whose retention time is over.
func (t *term) forgetEnded(now time.Time) {
	for len(t.endedOrder) > 0 {
		id := t.endedOrder[0]
		if now.Sub(t.ended[id].At) < t.o.EndedRetention+endedRetentionExtra {
			return
		}
		t.endedOrder = t.endedOrder[1:]
		delete(t.ended, id)
		t.endedToRemove = append(t.endedToRemove, id)
	}
}
