package dispatch

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"turmericgap/presence"
	"turmericgap/worker"
)

// maxListedEnds is the maximum number of ends that a worker lists in one answer.
const maxListedEnds = 500

// holdOrder is the next hold for the goroutine that keeps a worker's lease, to be sent after a pause.
type holdOrder struct {
	hold  worker.Hold
	pause time.Duration
}

// startHolds starts the goroutine that keeps a worker's lease.
func (t *term) startHolds(n *node) {
	n.agent = t.o.Agent(n.listing.Info)
	if n.leaseEnd.IsZero() {
		n.leaseEnd = t.initialLeaseEnd()
	}
	ctx, cancel := context.WithCancel(t.ctx)
	n.stop = cancel
	// The first hold raises the fencing token and returns the worker's clock. It cannot extend the lease, as the clock
	// is not known yet.
	n.holding, n.holdDue = true, time.Now().Add(holdLateAfter)
	n.holdOrders <- holdOrder{hold: worker.Hold{Fence: t.tenure.Fence}}
	t.wg.Go(func() { t.sendHolds(ctx, n) })
}

// initialLeaseEnd returns when an earlier lease has certainly expired on a worker that is new to this term. A former owner
// may have extended it for extendGrace, and this owner until now if it had forgotten the worker.
func (t *term) initialLeaseEnd() time.Time {
	latest := slices.MaxFunc([]time.Time{t.startedAt.Add(extendGrace), time.Now()}, time.Time.Compare)
	return latest.Add(presence.MaxSpan(t.o.MaxHold))
}

// sendHolds sends the holds of one worker, one at a time.
func (t *term) sendHolds(ctx context.Context, n *node) {
	for {
		select {
		case <-ctx.Done():
			return
		case order := <-n.holdOrders:
			if order.pause > 0 && !n.waitPause(ctx, order.pause) {
				return
			}
			held, err := t.hold(ctx, n, &order.hold)
			if ctx.Err() != nil {
				return
			}
			arrived := time.Now()
			t.post(func() { t.onHold(n, held, arrived, err) })
		}
	}
}

// hold sends a hold, the call that extends a worker's lease and returns its active and ended runs. A hold that is
// answered at once uses a slot of the call limiter. One that waits at the worker does not, as it would block the slot.
func (t *term) hold(ctx context.Context, n *node, h *worker.Hold) (held *worker.HoldReply, err error) {
	if h.Wait == 0 {
		err = t.call(ctx, n.agent, holdTimeoutSlack, func(ctx context.Context) error {
			held, err = n.agent.Hold(ctx, h)
			return err
		})
		return held, err
	}
	ctx, cancel := context.WithTimeout(ctx, h.Wait+holdTimeoutSlack+t.lag.Slack())
	defer cancel()
	return n.agent.Hold(ctx, h)
}

// sendNextHold orders the next hold. It extends the lease unless the worker has been silent, the reading of its clock is
// older than a lease, or this owner's tenure has not been confirmed for too long.
func (t *term) sendNextHold(n *node, wait, pause time.Duration) {
	now := time.Now()
	h := worker.Hold{Fence: t.tenure.Fence, Observed: n.lastEndObserved, Wait: wait}
	if n.synced && n.misses < extendMissLimit && now.Sub(n.clockAt) < t.o.MaxHold && t.tenure.Confirmed(extendGrace) {
		h.Until = n.clockNow(now) + t.o.MaxHold
		n.leaseEnd = n.lastTimeOf(h.Until)
	}
	n.holding, n.holdSentAt, n.holdDue = true, now.Add(pause), now.Add(pause+wait+holdLateAfter)
	n.holdOrders <- holdOrder{hold: h, pause: pause}
}

// onHold processes the answer to a hold.
func (t *term) onHold(n *node, held *worker.HoldReply, arrived time.Time, err error) {
	n.holding = false
	if err == nil && !t.isAnswerOf(n, held, arrived) {
		err = errOtherInstance
	}
	if err != nil {
		t.onHoldFailed(n, err)
		return
	}
	if !n.synced || n.misses >= extendMissLimit {
		t.log.Info("dispatch: worker answers", zap.String("worker", n.id), zap.Int("active", len(held.Active)),
			zap.Int("ended", len(held.Ended)), zap.Int("misses", n.misses))
		t.passNeeded = true
	}
	if n.misses > 0 {
		t.outages.Remove(n.id)
		n.formerRuns = nil
	}
	n.misses, n.silentSince = 0, time.Time{}
	t.applyHeld(n, held, arrived)
	n.synced = true
	if n.unsaved == 0 && !n.isRemoved(t) {
		n.lastEndObserved = n.lastEndSeen
		t.scheduleHold(n)
		return
	}
	// The worker is told that the ends were observed once they are durable, but its lease must not wait for a slow
	// store.
	n.observeWait++
	wait := n.observeWait
	time.AfterFunc(observeTimeout, func() {
		t.post(func() {
			if n.observeWait == wait {
				t.continueHolds(n)
			}
		})
	})
}

// applyHeld processes the runs and ends that a worker lists, unless a later answer, to a hold or a probe, was processed
// before.
func (t *term) applyHeld(n *node, held *worker.HoldReply, arrived time.Time) {
	if held.Clock < n.clock {
		return
	}
	n.lastAnswerAt = time.Now()
	n.clock, n.clockAt = held.Clock, arrived
	t.onEnds(n, held.Ended)
	t.onActive(n, held)
}

// continueHolds sends the hold that was waiting for ends to become durable.
func (t *term) continueHolds(n *node) {
	n.observeWait++
	if !n.isRemoved(t) && !n.holding {
		t.sendNextHold(n, 0, 0)
	}
}

// isRemoved reports whether the node was removed and its goroutine ended.
func (n *node) isRemoved(t *term) bool { return t.nodes[n.id] != n }

// observeAfterSave delays telling the worker that an end was observed until the entry that the end changed is durable. The
// end of a completed work may be part of a commit in flight, which is not durable yet either.
func (t *term) observeAfterSave(n *node, e *entry) {
	s := cmp.Or(e.pendingSave, e.inFlight)
	if s == nil {
		return
	}
	n.unsaved++
	s.effects = append(s.effects, func() {
		if n.unsaved--; n.unsaved > 0 {
			return
		}
		n.lastEndObserved = n.lastEndSeen
		t.forgetIfIdle(n)
		if !n.holding && !n.isRemoved(t) {
			n.observeWait++
			t.scheduleHold(n)
		}
	})
}

// onHoldFailed processes the error of a hold.
func (t *term) onHoldFailed(n *node, err error) {
	if n.isRemoved(t) {
		n.stop()
		return
	}
	var refused *worker.Refusal
	switch {
	case errors.Is(err, worker.ErrReplaced):
		t.onReplaced(n)
		return
	case errors.As(err, &refused) && refused.Reason == worker.ReasonFenced:
		t.loseOwnership("a worker knows a later owner", err)
		return
	}
	if n.misses == 0 {
		t.noteSilence(n)
	}
	if n.misses++; n.misses == extendMissLimit {
		t.log.Warn("dispatch: worker does not answer", zap.String("worker", n.id), zap.Int("runs", len(n.runs)), zap.Error(err))
	}
	if t.forgetIfIdle(n); n.isRemoved(t) {
		return
	}
	pause := min(holdRetryMin<<min(n.misses, 3), holdRetryMax)
	t.sendNextHold(n, 0, pause)
}

// onEnds processes the ends that are new.
func (t *term) onEnds(n *node, ended []worker.EndedRun) {
	for i := range ended {
		e := &ended[i]
		if e.Number <= n.lastEndSeen {
			continue
		}
		n.lastEndSeen = e.Number
		if r := t.endedRun(n, e); r != nil {
			t.countEndOfSuspect(r, e.Outcome)
			t.endRun(r, e.Outcome, e.Checkpoint)
			t.giveUpIfDecided(r.stage, r.index)
			t.observeAfterSave(n, r.stage.entry)
		} else {
			t.onLateEnd(n, e)
		}
	}
	t.forgetIfIdle(n)
}

// onActive compares the runs that the worker lists with those that it should have.
func (t *term) onActive(n *node, held *worker.HoldReply) {
	now := time.Now()
	listed := make(map[runKey]bool, len(held.Active))
	unknownRuns := 0
	for i := range held.Active {
		a := &held.Active[i]
		key := runKey{a.Task, a.Run}
		listed[key] = true
		r := n.runs[key]
		if r == nil {
			unknownRuns++
			t.haltUnknown(n, a)
			continue
		}
		t.updateRun(r, a, now)
	}
	if unknownRuns != n.unknownRuns {
		t.log.Info("dispatch: stopping unknown runs", zap.String("worker", n.id), zap.Int("runs", unknownRuns))
		n.unknownRuns, t.passNeeded = unknownRuns, true
	}
	if len(held.Ended) >= maxListedEnds {
		// More ends may follow, including that of a run not listed as active.
		return
	}
	for key, r := range n.runs {
		if listed[key] {
			continue
		}
		if proof, ok := r.Unlisted(held.Clock, now); ok {
			t.onNeverStarted(r, proof, "the worker does not list it")
		}
	}
}

// updateRun updates a run with what the worker reports.
func (t *term) updateRun(r *run, a *worker.ActiveRun, now time.Time) {
	r.confirm()
	r.Recovered, r.seenAt = false, now
	if g := r.stage.gang; g != nil && g.number == r.number && !r.stage.spec.Service && r.HasWorked(r.percent, a.Percent) {
		g.Complete = true // members work only together, but a service may report its startup
	}
	if a.Percent != r.percent || r.progressAt.IsZero() {
		r.percent, r.progressAt = a.Percent, now
	}
	if a.Checkpoint != "" {
		r.stage.keepCheckpoint(r.index, a.Checkpoint)
	}
}

// confirm records that the worker has the run.
func (r *run) confirm() {
	if !r.Confirmed {
		r.confirmedAt = time.Now()
	}
	r.Confirmed, r.Uncertain = true, false
	r.stage.entry.started = true
}
