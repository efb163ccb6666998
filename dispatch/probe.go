package dispatch

import (
	"context"
	"time"

	"turmericgap/worker"
)

const (
	// overdueAfter is how long the end of a run may be overdue before its worker is probed while a hold is in flight:
	// several times the network delay of an answer.
	overdueAfter = 100 * time.Millisecond
	// probeInterval is the minimum interval after a probe that reported no end, so that a task that exceeds its expected
	// duration causes few of them.
	probeInterval = 400 * time.Millisecond
	// probeTimeout bounds a probe, at many times the network delay of an answer. An unanswered probe may have lost its
	// answer like the hold, and is sent again at once.
	probeTimeout = 150 * time.Millisecond
	// minPercent is the minimum progress from which the end of a run can be extrapolated to within a tenth.
	minPercent = 10
)

// probeOverdue probes workers whose hold should have reported an end by now. A hold whose answer is lost or delayed
// times out only after its full wait, and no end on its worker is reported meanwhile: even if only some holds are lost,
// half of the checks would be late because of that. Workers that have announced when they leave are probed as well: holds
// show the progress and the checkpoints of their runs only once a second.
func (t *term) probeOverdue(now time.Time) {
	for _, n := range t.nodes {
		if n.holding && n.synced && n.misses == 0 && now.Sub(n.probedAt) > probeInterval && (n.announced.Announced() || n.overdue(now)) {
			n.probedAt = now
			// The hold in flight shows whether the worker is reachable, so a probe without an answer is only repeated.
			t.probeRuns(n, probeTimeout, func(error) { n.probedAt = time.Time{} })
		}
	}
}

// overdue reports whether a run on the worker should have ended some time ago, and the current hold has been in flight
// for at least as long, so that it should have reported the end.
func (n *node) overdue(now time.Time) bool {
	if now.Sub(n.holdSentAt) <= overdueAfter {
		return false
	}
	for _, r := range n.runs {
		if end := r.expectedEnd(); !end.IsZero() && now.Sub(end) > overdueAfter {
			return true
		}
	}
	return false
}

// expectedEnd is when a run should end, extrapolated from its progress, or from its estimate if the progress is too
// small; zero if unknown.
func (r *run) expectedEnd() time.Time {
	spec := r.stage.spec
	if r.sentAt.IsZero() || r.stopping || spec.Service || spec.Gang || !r.Confirmed {
		return time.Time{}
	}
	if end, ok := r.endByProgress(); ok {
		return end
	}
	if spec.Estimate == 0 {
		return time.Time{}
	}
	return r.sentAt.Add(spec.Estimate)
}

// endByProgress extrapolates the end of a run from its reported progress. It returns false if the progress is too small
// or a former owner started the run.
func (r *run) endByProgress() (time.Time, bool) {
	if r.Recovered || r.percent < minPercent {
		return time.Time{}, false
	}
	return r.sentAt.Add(r.progressAt.Sub(r.sentAt) * 100 / time.Duration(r.percent)), true
}

// probeRuns asks a worker for its runs and ends without waiting, in addition to the hold in flight.
func (t *term) probeRuns(n *node, timeout time.Duration, onFailed func(error)) {
	agent, hold := n.agent, &worker.Hold{Fence: t.tenure.Fence, Observed: n.lastEndObserved}
	t.o.Metrics.Counter("dispatch.askedBeside").Inc(1)
	t.wg.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, timeout)
		defer cancel()
		held, err := agent.Hold(ctx, hold)
		arrived := time.Now()
		t.post(func() {
			switch {
			case err != nil:
				onFailed(err)
			case t.isAnswerOf(n, held, arrived):
				before := n.lastEndSeen
				t.applyHeld(n, held, arrived)
				if n.lastEndSeen > before {
					// The answer of the hold was lost, so the next end may be probed for as soon as it is overdue.
					n.probedAt = time.Time{}
				}
			}
		})
	})
}
