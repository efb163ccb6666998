package dispatch

import (
	"time"

	"go.uber.org/zap"
)

// onTick does what depends on time alone.
func (t *term) onTick(now time.Time) {
	t.endLapsed(now)
	t.endMembersOfEndedGangs()
	t.retryHalts(now)
	t.probeOverdue(now)
	t.stopStalled(now)
	for e := range t.timed {
		t.beginDue(e, now)
	}
	t.withdrawUnsent(now)
	t.forgetEnded(now)
	t.advanceWaves(now)
	if now.Sub(t.reportedAt) >= reportEvery {
		t.reportedAt = now
		t.countExpired(now)
		t.report(now)
	}
	t.passNeeded = t.passNeeded || len(t.waitingStages) > 0
}

// retryHalts repeats orders to stop whose end is not listed.
func (t *term) retryHalts(now time.Time) {
	for _, n := range t.nodes {
		for _, r := range n.runs {
			if r.stopping && now.Sub(r.haltedAt) > haltRetryPause+t.o.StopTimeout {
				t.halt(r)
			}
		}
	}
}

const (
	// stallTimeout is how long a run may stand still at least, a quarter of its estimate where that is
	// more: what is a percent of a task takes a worker that is eight times as slow a twelfth of it.
	stallTimeout         = 3 * time.Second
	stallEstimateDivisor = 4
)

// stopStalled stops runs that no longer get on, so that their tasks go on elsewhere from their checkpoints.
// A worker may answer every call while nothing on it moves: its tasks would hold it, and their callers,
// for as long as that lasts. A service is at its hundred percent for good.
func (t *term) stopStalled(now time.Time) {
	for _, n := range t.nodes {
		if n.misses > 0 || !n.heardAt.After(now.Add(-holdWait-holdTimeoutSlack)) {
			continue
		}
		for _, r := range n.runs {
			if r.isStalled(now) {
				t.log.Info("dispatch: run stands still", zap.String("id", r.stage.entry.work.ID), zap.Int("step", r.stage.index), zap.Int("task", r.index),
					zap.Int64("run", r.number), zap.String("worker", n.id), zap.Int("percent", r.percent))
				n.unwellUntil = now.Add(stallTimeout)
				r.stage.noteFailureOn(n.id)
				t.halt(r)
			}
		}
	}
}

// isStalled reports whether a run has stood still for too long.
func (r *run) isStalled(now time.Time) bool {
	spec := r.stage.spec
	if !r.confirmed || r.stopping || spec.Service || spec.Gang || spec.Estimate == 0 || r.progressAt.IsZero() {
		return false
	}
	return now.Sub(r.progressAt) > max(stallTimeout, spec.Estimate/stallEstimateDivisor)
}

// beginDue begins the occurrences of a timed work that are due.
func (t *term) beginDue(e *entry, now time.Time) {
	if e.state.Final() {
		delete(t.timed, e)
		return
	}
	for e.occurrencesBegun < e.work.Count() && !now.Before(e.work.Due(e.occurrencesBegun)) {
		t.openStages(e.openOccurrence(e.occurrencesBegun))
		t.save(e, nil)
	}
	if e.occurrencesBegun == e.work.Count() {
		delete(t.timed, e)
	}
}

// forgetEnded removes records that nobody may ask for any more.
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
