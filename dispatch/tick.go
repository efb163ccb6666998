package dispatch

import (
	"time"

	"go.uber.org/zap"
)

// onTick does what depends on time alone.
func (t *term) onTick(now time.Time) {
	t.lapse(now)
	t.overWithGang()
	t.haltAgain(now)
	t.askOverdue(now)
	t.leaveStill(now)
	for e := range t.timed {
		t.beginDue(e, now)
	}
	t.withdrawUnsent(now)
	t.forgetEnded(now)
	t.keepUp(now)
	if now.Sub(t.reported) >= reportEvery {
		t.reported = now
		t.judgeLost(now)
		t.report(now)
	}
	t.dirty = t.dirty || len(t.stages) > 0
}

// haltAgain repeats orders to stop whose end is not listed.
func (t *term) haltAgain(now time.Time) {
	for _, n := range t.nodes {
		for _, r := range n.runs {
			if r.stopping && now.Sub(r.haltedAt) > haltAgain+t.o.StopTimeout {
				t.halt(r)
			}
		}
	}
}

const (
	// stillAfter is how long a run may stand still at least, a quarter of its estimate where that is
	// more: what is a percent of a task takes a worker that is eight times as slow a twelfth of it.
	stillAfter = 3 * time.Second
	stillShare = 4
)

// leaveStill stops runs that no longer get on, so that their tasks go on elsewhere from their checkpoints.
// A worker may answer every call while nothing on it moves: its tasks would hold it, and their callers,
// for as long as that lasts. A service is at its hundred percent for good.
func (t *term) leaveStill(now time.Time) {
	for _, n := range t.nodes {
		if n.misses > 0 || !n.heard.After(now.Add(-holdWait-holdSlack)) {
			continue
		}
		for _, r := range n.runs {
			if r.stands(now) {
				t.log.Info("dispatch: run stands still", zap.String("id", r.s.e.work.ID), zap.Int("step", r.s.index), zap.Int("task", r.index),
					zap.Int64("run", r.number), zap.String("worker", n.id), zap.Int("percent", r.percent))
				n.unwell = now.Add(stillAfter)
				r.s.failedOn(n.id)
				t.halt(r)
			}
		}
	}
}

// stands reports whether a run has stood still for too long.
func (r *run) stands(now time.Time) bool {
	spec := r.s.spec
	if !r.confirmed || r.stopping || spec.Service || spec.Gang || spec.Estimate == 0 || r.movedAt.IsZero() {
		return false
	}
	return now.Sub(r.movedAt) > max(stillAfter, spec.Estimate/stillShare)
}

// beginDue begins the occurrences of a timed work that are due.
func (t *term) beginDue(e *entry, now time.Time) {
	if e.state.Final() {
		delete(t.timed, e)
		return
	}
	for e.begun < e.work.Count() && !now.Before(e.work.Due(e.begun)) {
		t.openStages(e.begin(e.begun))
		t.save(e, nil)
	}
	if e.begun == e.work.Count() {
		delete(t.timed, e)
	}
}

// forgetEnded removes records that nobody may ask for any more.
func (t *term) forgetEnded(now time.Time) {
	for len(t.endedOrder) > 0 {
		id := t.endedOrder[0]
		if now.Sub(t.ended[id].At) < t.o.EndedRetention+endedExtra {
			return
		}
		t.endedOrder = t.endedOrder[1:]
		delete(t.ended, id)
		t.removed = append(t.removed, id)
	}
}
