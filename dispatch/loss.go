package dispatch

import (
	"time"

	"go.uber.org/zap"

	"turmericgap/worker"
)

// lossCause is why the runs of a worker ended without a report, as written to the log.
type lossCause string

const (
	// lossReplaced means that another instance answers at the worker's address: the worker has crashed.
	lossReplaced lossCause = "replaced"
	// lossLeft means that the worker was leaving or under maintenance.
	lossLeft lossCause = "left"
	// lossSilent means that the worker was silent until its lease had expired. It may have crashed, or be cut off.
	lossSilent lossCause = "silent"
)

// causeOfReplacement returns why a worker was replaced by another instance.
func (n *node) causeOfReplacement() lossCause {
	if n.listing.Leaving || n.draining {
		return lossLeft
	}
	return lossReplaced
}

// endAllRuns ends all runs of a worker instance that has ended or whose lease has expired.
func (t *term) endAllRuns(n *node, cause lossCause) {
	now := time.Now()
	t.log.Info("dispatch: worker's runs are over", zap.String("worker", n.id), zap.String("cause", string(cause)),
		zap.Int("runs", len(n.runs)), zap.String("rack", n.listing.Rack), zap.Bool("listed", n.listed),
		zap.Duration("lastWord", elapsed(n.lastAnswerAt, now)), zap.Duration("silent", elapsed(n.silentSince, now)))
	t.o.Metrics.Counter("dispatch.workersLost." + string(cause)).Inc(1)
	for _, r := range n.runs {
		t.log.Info("dispatch: run lost", zap.String("id", r.stage.entry.work.ID), zap.Int("step", r.stage.index),
			zap.Int("task", r.index), zap.Int64("run", r.number), zap.String("worker", n.id),
			zap.String("cause", string(cause)), zap.Bool("confirmed", r.confirmed), zap.Duration("age", elapsed(r.sentAt, now)))
		t.endRun(r, worker.OutcomeLeaseExpired, "")
	}
	t.forgetIfIdle(n)
}

// endExpired ends the runs on workers that were silent for longer than any lease that they may hold.
func (t *term) endExpired(now time.Time) {
	for _, n := range t.nodes {
		if len(n.runs) > 0 && (n.misses > 0 || !n.synced) && now.After(n.leaseEnd) {
			t.endAllRuns(n, lossSilent)
		}
	}
}
