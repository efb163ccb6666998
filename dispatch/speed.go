package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"turmericgap/feature"
	"turmericgap/speed"
	"turmericgap/store"
	"turmericgap/worker"
	"turmericgap/workrecord"
)

const (
	// minSpread is the spread of the workers' factors from which tasks are placed by them: 1.5 on either side of a typical
	// worker, so that a task with an objective of 1.5 times its run time misses it on a slow one. Placing by speed ends
	// below keptSpread, so that a spread near the bound does not switch it back and forth.
	minSpread, keptSpread = 2.25, 2
	// speedsInterval is how often passes take over what was learned of all workers.
	speedsInterval = 500 * time.Millisecond
	// toleranceMargin divides the time that a task has left when slow workers are considered for it, as the slowest of
	// its step takes longer than a usual one.
	toleranceMargin = 1.5
)

// kind returns the key by which the run times of a stage's tasks are learned.
func (s *stage) kind() string { return s.entry.work.Queue.Name + "/" + s.spec.Image }

// learnRunTime records the run time of a task that is done. The members of a gang end together, so the first of them to
// be reported stands for all.
func (t *term) learnRunTime(r *run, how worker.RunOutcome) {
	s, now := r.stage, time.Now()
	if how != worker.OutcomeDone || s.spec.Service || r.Resumed || !r.Confirmed || r.sentAt.IsZero() || s.dataDistance(r.node) > 0 {
		return
	}
	ran := now.Sub(r.sentAt)
	if !s.spec.Gang {
		t.speeds.Observe(r.node.id, s.kind(), &s.runTimes, s.spec.Estimate, ran, now)
		if t.placesBySpeed {
			r.node.slowness = t.speeds.Slowness(r.node.id)
		}
		return
	}
	if s.gang == nil || s.gang.done {
		return
	}
	slowest := 0.0
	for i := range s.tasks {
		if member := s.tasks[i].run; member != nil {
			slowest = max(slowest, t.speeds.Factor(member.node.id))
		}
	}
	t.speeds.ObserveGang(s.kind(), max(slowest, t.speeds.Factor(r.node.id)), s.spec.Estimate, ran, now)
}

// refreshSpeeds updates what passes use of the learned speeds.
func (t *term) refreshSpeeds(now time.Time) {
	t.speedsRefreshedAt = now
	spread, before := t.speeds.Spread(now), t.placesBySpeed
	observed := spread >= minSpread || before && spread >= keptSpread
	t.placesBySpeed = t.features.Decide(feature.Speed, observed, feature.Observed, now) && len(t.sortedNodes) > 0
	for _, n := range t.sortedNodes {
		n.slowness = 0
		if t.placesBySpeed {
			n.slowness = t.speeds.Slowness(n.id)
		}
	}
	if now.Sub(t.speedsSavedAt) >= speedsSaveInterval {
		t.saveSpeeds(now)
	}
	t.slowest = 0
	if t.placesBySpeed {
		known := make([]int, 0, len(t.sortedNodes))
		for _, n := range t.sortedNodes {
			known = append(known, n.slowness)
		}
		slices.Sort(known)
		t.slowest = known[len(known)*9/10]
	}
}

// speedsSaveInterval is how often the learned speeds are published and stored. Without the stored ones, a new owner would
// place tasks evenly for some ten seconds.
const speedsSaveInterval = 5 * time.Second

// saveSpeeds publishes what was learned, and stores it for the next owner while tasks are placed by it.
func (t *term) saveSpeeds(now time.Time) {
	t.speedsSavedAt = now
	// A restored snapshot may name workers that left before this owner's term. They would be passed on for ever.
	t.speeds.Retain(func(id string) bool { return t.nodes[id] != nil })
	t.features.RecordSpeeds(t.speeds.Factors())
	if !t.placesBySpeed {
		return
	}
	txn := store.Txn{Compares: []store.Compare{t.tenure.Compare()}, Then: []store.Op{{Key: workrecord.SpeedsKey, Value: workrecord.Encode(t.speeds.Snapshot())}}}
	t.wg.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, storeTimeout)
		defer cancel()
		if _, err := t.o.Store.Txn(ctx, txn); err != nil {
			t.log.Info("dispatch: learned speeds were not stored", zap.Error(err))
		}
	})
}

// restoreSpeeds takes over what a former owner has learned.
func (t *term) restoreSpeeds(found []store.Pair) {
	if len(found) == 0 {
		return
	}
	var snapshot speed.Snapshot
	if err := msgpack.Unmarshal(found[0].Value, &snapshot); err != nil {
		t.log.Warn("dispatch: cannot decode the learned speeds", zap.Error(err))
		return
	}
	t.speeds.Restore(&snapshot, time.Now())
	t.speedsSavedAt = time.Now() // the workers are listed only after the recovery
	t.features.RecordSpeeds(t.speeds.Factors())
	t.log.Info("dispatch: learned speeds were read", zap.Int("workers", len(snapshot.Workers)), zap.Int("kinds", len(snapshot.Kinds)))
}

// expectRun returns how long a task of the stage will probably run on a typical worker.
func (t *term) expectRun(s *stage) time.Duration {
	if !t.placesBySpeed || s.spec.Service {
		return s.spec.Estimate
	}
	return t.speeds.Expect(s.kind(), s.spec.Estimate)
}

// runsOn returns how long tasks of the stage will probably run on a worker.
func (s *stage) runsOn(n *node) time.Duration {
	return time.Duration(speed.FactorOf(n.slowness) * float64(cmp.Or(s.expectedRun, s.spec.Estimate)))
}

// toleratedSlowness returns how slow a worker may be for a task of the stage to be in time if it starts now. Services and
// tasks that are late anywhere tolerate any worker, tasks of unknown run time no slow one.
func (t *term) toleratedSlowness(s *stage, now time.Time, margin float64) int {
	left := s.occurrence.deadline(s.entry).Sub(now) - s.entry.remainingAfter[s.index]
	expected := t.expectRun(s)
	switch {
	case left <= 0 || s.spec.Service:
		return speed.MaxSlowness
	case expected <= 0:
		return -speed.MaxSlowness
	}
	return speed.SlownessOf(left.Seconds() / expected.Seconds() / margin)
}

// prefersSlow reports whether a stage takes slow workers first: single tasks that are in time on any of them, or whose
// deadline has passed. Fast workers stay free for the tasks that need them.
func (t *term) prefersSlow(s *stage, now time.Time) bool {
	return t.placesBySpeed && !s.spec.Gang && t.toleratedSlowness(s, now, toleranceMargin) >= t.slowest
}
