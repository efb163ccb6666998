package dispatch

import (
	"context"
	"time"

	"turmericgap/worker"
)

const (
	// overdueAfter is how long an end may be overdue before its worker is asked beside a hold that has no
	// answer: several times the way of an answer.
	overdueAfter = 100 * time.Millisecond
	// probeInterval is the pause after such a question that told of no end; a task that takes longer than
	// it should costs few of them.
	probeInterval = 400 * time.Millisecond
	// probeTimeout bounds such a question, many times the way of an answer. One that has none may have
	// lost it like the hold, and is put again at once.
	probeTimeout = 150 * time.Millisecond
	// minPercent is how far a run must be for its end to be reckoned from that, within a tenth.
	minPercent = 10
)

// probeOverdue asks the workers whose hold should have told of an end by now. A hold whose answer is lost, or
// that is carried out late, is given up only after its whole wait, and all ends on its worker stay unheard
// meanwhile: where one hold in some is lost, half of the checks would be late for that.
func (t *term) probeOverdue(now time.Time) {
	for _, n := range t.nodes {
		if n.holding && n.synced && n.misses == 0 && now.Sub(n.probedAt) > probeInterval && n.overdue(now) {
			n.probedAt = now
			t.probeRuns(n)
		}
	}
}

// overdue reports whether a run on the worker should have ended for a while, and the hold that should have told
// so, at once if it was sent later, has been under way as long.
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

// expectedEnd is when a run should end, reckoned from how far it was when last seen, or from its estimate if
// that was too little to tell; zero where nothing can be said.
func (r *run) expectedEnd() time.Time {
	spec := r.stage.spec
	if r.sentAt.IsZero() || r.stopping || spec.Service || spec.Gang || !r.confirmed {
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

// endByProgress is when a run should end if it gets on as it did until it was last seen; false where it was not
// seen far enough, or its start is a former owner's.
func (r *run) endByProgress() (time.Time, bool) {
	if r.recovered || r.percent < minPercent {
		return time.Time{}, false
	}
	return r.sentAt.Add(r.progressAt.Sub(r.sentAt) * 100 / time.Duration(r.percent)), true
}

// probeRuns asks a worker for its runs and ends without waiting, beside the hold that is under way.
func (t *term) probeRuns(n *node) {
	agent, hold := n.agent, &worker.Hold{Fence: t.tenure.Fence, Observed: n.lastEndObserved}
	t.o.Metrics.Counter("dispatch.askedBeside").Inc(1)
	t.wg.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, probeTimeout)
		defer cancel()
		held, err := agent.Hold(ctx, hold)
		t.post(func() {
			switch {
			case err != nil:
				// The hold that is under way tells what became of the worker.
				n.probedAt = time.Time{}
			case !n.isRemoved(t):
				before := n.lastEndSeen
				t.applyHeld(n, held, time.Now())
				if n.lastEndSeen > before {
					// The hold has lost its answer, so that the next end is asked for as soon as it is overdue.
					n.probedAt = time.Time{}
				}
			}
		})
	})
}
