package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"turmericgap/crash"
	"turmericgap/presence"
	"turmericgap/worker"
)

// causeOfReplacement returns why a worker was replaced by another instance.
func (n *node) causeOfReplacement() presence.Proof {
	if n.listing.Leaving || n.draining {
		return presence.Left
	}
	return presence.Replaced
}

// onReplaced handles the answer of another instance at a worker's address. What else was lost with the worker decides how
// its crash weighs, so its runs end only when the losses of the same moment have been noticed.
func (t *term) onReplaced(n *node) {
	n.listed = false
	cause := n.causeOfReplacement()
	if n.silentSince.IsZero() {
		t.noteSilence(n)
	}
	wait := time.Until(n.silentSince.Add(crash.Moment))
	if cause == presence.Left || wait <= 0 || n.lastAnswerAt.IsZero() || len(n.runs)+len(n.formerRuns) == 0 {
		t.endAllRuns(n, cause)
		return
	}
	if !n.replaced {
		n.replaced = true
		time.AfterFunc(wait, func() {
			t.post(func() {
				if !n.isRemoved(t) || len(n.runs)+len(n.formerRuns) > 0 {
					t.endAllRuns(n, cause)
				}
			})
		})
	}
}

// endAllRuns ends all runs of a worker instance that has ended or whose lease has expired.
func (t *term) endAllRuns(n *node, cause presence.Proof) {
	now := time.Now()
	t.log.Info("dispatch: worker's runs are over", zap.String("worker", n.id), zap.String("cause", string(cause)),
		zap.Int("runs", len(n.runs)), zap.String("rack", n.listing.Rack), zap.Bool("listed", n.listed),
		zap.Duration("lastWord", elapsed(n.lastAnswerAt, now)), zap.Duration("silent", elapsed(n.silentSince, now)))
	t.o.Metrics.Counter("dispatch.workersLost." + string(cause)).Inc(1)
	t.recordLoss(n, cause, now)
	lost := slices.Clone(n.formerRuns)
	n.formerRuns = nil
	for _, r := range n.runs {
		lost = append(lost, r)
		t.log.Info("dispatch: run lost", append(r.evidence(cause, now), zap.Duration("age", elapsed(r.sentAt, now)))...)
		t.endRun(r, worker.OutcomeLeaseExpired, "")
	}
	for _, r := range lost {
		t.giveUpIfDecided(r.stage, r.index)
		t.saveUnlessEnded(r.stage.entry)
	}
	t.forgetIfIdle(n)
}

// endExpired ends the runs on workers that were silent for longer than any lease that they may hold.
func (t *term) endExpired(now time.Time) {
	for _, n := range t.nodes {
		if (len(n.runs) > 0 || len(n.formerRuns) > 0) && (n.misses > 0 || !n.synced) && now.After(n.leaseEnd) {
			t.endAllRuns(n, presence.Silent)
		}
	}
}
