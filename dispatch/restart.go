package dispatch

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"turmericgap/crash"
	"turmericgap/feature"
	"turmericgap/presence"
	"turmericgap/worker"
)

// errOtherInstance is the outcome of a hold that was answered by another instance of the worker.
var errOtherInstance = errors.New("another instance of the worker has answered")

// knownBorn returns what an entry, an answer or a record tells of a worker instance, or 0 if instances are not distinguished.
func (t *term) knownBorn(born int64) int64 {
	if born == 0 || !t.features.Decide(feature.Restart, true, feature.Observed, time.Now()) {
		return 0
	}
	return born
}

// isAnswerOf reports whether an answer to a call comes from the node's instance, which is still the present one. It
// processes what another instance has answered: the newer one that it shows, or the last ends of an earlier one.
func (t *term) isAnswerOf(n *node, held *worker.HoldReply, arrived time.Time) bool {
	born, present := t.knownBorn(held.Born), t.nodes[n.id]
	switch {
	case n == present && presence.Compare(n.born, born) == presence.Same:
		n.born = max(n.born, born)
		return true
	case born == n.born:
		t.onEnds(n, held.Ended)
	case present == nil || born == 0:
	case presence.Compare(present.born, born) == presence.Newer:
		l := present.listing
		l.Born, l.Clock, l.TimeLeft = born, 0, 0
		t.applyHeld(t.replaceNode(present, l, present.listed, "answer"), held, arrived)
	case born == present.born:
		t.applyHeld(present, held, arrived)
	}
	return false
}

// endedRun returns the run that a worker reports as ended; nil if there is none. A run that was moved to a newer instance
// is over if the earlier one has completed it. Another end lets the task start again, which must wait for the newer one.
func (t *term) endedRun(n *node, e *worker.EndedRun) *run {
	key := runKey{e.Task, e.Run}
	if r := n.runs[key]; r != nil || !n.isRemoved(t) || e.Outcome != worker.OutcomeDone || t.nodes[n.id] == nil {
		return r
	}
	return t.nodes[n.id].runs[key]
}

// replaceNode replaces the node of a worker instance, which may be forgotten already, by that of a newer one. Runs whose
// start may still arrive are moved there and stopped; the others have ended with the earlier instance.
func (t *term) replaceNode(old *node, l worker.ListedWorker, listed bool, source string) *node {
	now, runs := time.Now(), len(old.runs)
	if !old.isRemoved(t) {
		t.removeNode(old)
	}
	delete(t.forgotten, old.id)
	if old.silentSince.IsZero() {
		t.noteSilence(old)
	}
	n := t.nodeFor(old.id)
	n.born, n.listing, n.listed, n.free = l.Born, l, listed, l.Has
	n.unreadable, n.draining = old.unreadable, old.draining
	// Until then a hold may make the new instance forget its first ends, and extend its lease.
	n.quietUntil = old.removedAt.Add(presence.LateCallWindow)
	n.leaseEnd = n.quietUntil.Add(presence.MaxSpan(t.o.MaxHold))
	n.updateIndex()
	t.startHolds(n)
	for _, r := range old.runs {
		ofFormerOwner := r.decidedAt.IsZero()
		fate := r.FateAfterRestart(n.born, ofFormerOwner, now)
		if fate == presence.Over {
			continue
		}
		old.release(r)
		r.node = n
		n.charge(r)
		if fate == presence.MayStart {
			if r.wasPresent(old) {
				old.formerRuns = append(old.formerRuns, r)
			}
			r.MoveToNewer(ofFormerOwner, old.silentSince.Add(crash.Moment))
			t.halt(r)
		}
	}
	t.o.Metrics.Counter("dispatch.workersReborn").Inc(1)
	t.log.Info("dispatch: worker has restarted", zap.String("worker", n.id), zap.String("source", source), zap.Int64("earlier", old.born),
		zap.Int64("born", n.born), zap.Int("runs", runs), zap.Int("moved", len(n.runs)), zap.Duration("lastWord", elapsed(old.lastAnswerAt, now)),
		zap.Duration("quiet", n.quietUntil.Sub(now)))
	t.onReplaced(old)
	old.replaced = true
	t.resolveSilentLosses(n)
	return n
}
