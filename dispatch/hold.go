package dispatch

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"turmericgap/worker"
)

// mostEnds is how many ends a worker lists at a time.
const mostEnds = 500

// holdOrder tells the goroutine of a worker's lease what to send next.
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
	// The first hold raises the fence and tells the clock; it extends nothing, as no clock is known.
	n.holding, n.holdDue = true, time.Now().Add(holdLateAfter)
	n.holdOrders <- holdOrder{hold: worker.Hold{Fence: t.tenure.Fence}}
	t.wg.Go(func() { t.sendHolds(ctx, n) })
}

// initialLeaseEnd is when a worker that this term has never reached holds nothing of a former owner, who
// may have gone on extending its lease for extendGrace.
func (t *term) initialLeaseEnd() time.Time { return t.startedAt.Add(extendGrace + t.maxLeaseSpan()) }

// maxLeaseSpan is how long after a hold was sent the lease may last on the worker's clock.
func (t *term) maxLeaseSpan() time.Duration {
	return t.o.MaxHold + time.Duration(clockDriftFactor*float64(t.o.MaxHold)) + lapseMargin
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
			t.post(func() { t.onHold(n, held, err) })
		}
	}
}

// hold sends a hold; one that is answered at once waits for its turn, one that waits at the worker does not keep it.
func (t *term) hold(ctx context.Context, n *node, h *worker.Hold) (held *worker.HoldReply, err error) {
	if h.Wait == 0 {
		err = t.call(ctx, n.agent, holdTimeoutSlack, func(ctx context.Context) error {
			held, err = n.agent.Hold(ctx, h)
			return err
		})
		return held, err
	}
	ctx, cancel := context.WithTimeout(ctx, h.Wait+holdTimeoutSlack+t.lag.slack())
	defer cancel()
	return n.agent.Hold(ctx, h)
}

// sendNextHold sends the following hold. It extends the lease unless the worker has been silent or this
// owner's own tenure was not confirmed for too long.
func (t *term) sendNextHold(n *node, wait, pause time.Duration) {
	now := time.Now()
	h := worker.Hold{Fence: t.tenure.Fence, Observed: n.lastEndObserved, Wait: wait}
	if n.synced && n.misses < extendMissLimit && t.tenure.Confirmed(extendGrace) {
		// The order is sent after the pause; the lease then ends that much earlier.
		h.Until = n.clockNow(now) + t.o.MaxHold
		n.leaseEnd = now.Add(pause + t.maxLeaseSpan())
	}
	n.holding, n.holdSentAt, n.holdDue = true, now.Add(pause), now.Add(pause+wait+holdLateAfter)
	n.holdOrders <- holdOrder{hold: h, pause: pause}
}

// onHold takes in the answer to a hold.
func (t *term) onHold(n *node, held *worker.HoldReply, err error) {
	now := time.Now()
	n.holding = false
	if err != nil {
		t.onHoldFailed(n, err)
		return
	}
	if !n.synced || n.misses >= extendMissLimit {
		t.log.Info("dispatch: worker answers", zap.String("worker", n.id), zap.Int("active", len(held.Active)),
			zap.Int("ended", len(held.Ended)), zap.Int("misses", n.misses))
		t.passNeeded = true
	}
	n.misses = 0
	t.applyHeld(n, held, now)
	n.synced = true
	if n.unsaved == 0 {
		n.lastEndObserved = n.lastEndSeen
		t.scheduleHold(n)
		return
	}
	// The worker is told of the ends once they are durable; the lease must not wait for a slow store.
	n.observeWait++
	waiting := n.observeWait
	time.AfterFunc(observeTimeout, func() {
		t.post(func() {
			if n.observeWait == waiting {
				t.continueHolds(n)
			}
		})
	})
}

// applyHeld takes in what a worker tells, unless it has told of later meanwhile, beside the hold.
func (t *term) applyHeld(n *node, held *worker.HoldReply, now time.Time) {
	if held.Clock < n.clock {
		return
	}
	n.heardAt = now
	n.clock, n.clockAt = held.Clock, now
	t.onEnds(n, held.Ended)
	t.onActive(n, held)
}

// continueHolds sends the hold that waited for ends to become durable.
func (t *term) continueHolds(n *node) {
	n.observeWait++
	if !n.isRemoved(t) && n.noHoldInFlight() {
		t.sendNextHold(n, 0, 0)
	}
}

// noHoldInFlight reports whether no hold is under way or ordered. There is one at a time.
func (n *node) noHoldInFlight() bool { return !n.holding }

// isRemoved reports whether the worker's goroutine has been ended.
func (n *node) isRemoved(t *term) bool { return t.nodes[n.id] != n }

// observeAfterSave keeps the worker from being told of an end before the entry that it changed is durable.
func (t *term) observeAfterSave(n *node, e *entry) {
	if e.pendingSave == nil {
		return
	}
	n.unsaved++
	t.save(e, func() {
		if n.unsaved--; n.unsaved > 0 {
			return
		}
		n.lastEndObserved = n.lastEndSeen
		t.forgetIfIdle(n)
		if n.noHoldInFlight() && !n.isRemoved(t) {
			n.observeWait++
			t.scheduleHold(n)
		}
	})
}

func (t *term) onHoldFailed(n *node, err error) {
	var refused *worker.Refusal
	switch {
	case errors.Is(err, worker.ErrReplaced):
		n.listed = false
		t.endLifetime(n, worker.OutcomeLeaseExpired, "its lifetime is over")
		return
	case errors.As(err, &refused) && refused.Reason == worker.ReasonFenced:
		t.loseOwnership("a worker knows a later owner", err)
		return
	}
	if n.misses++; n.misses == extendMissLimit {
		t.log.Warn("dispatch: worker does not answer", zap.String("worker", n.id), zap.Int("runs", len(n.runs)), zap.Error(err))
	}
	if n.isRemoved(t) {
		return
	}
	pause := min(holdRetryMin<<min(n.misses, 3), holdRetryMax)
	t.sendNextHold(n, 0, pause)
}

// onEnds takes in the ends that are new.
func (t *term) onEnds(n *node, ended []worker.EndedRun) {
	for i := range ended {
		e := &ended[i]
		if e.Number <= n.lastEndSeen {
			continue
		}
		n.lastEndSeen = e.Number
		if r := n.runs[runKey{e.Task, e.Run}]; r != nil {
			t.endRun(r, e.Outcome, e.Checkpoint)
			t.observeAfterSave(n, r.stage.entry)
		} else {
			t.onLateEnd(n, e)
		}
	}
}

// onActive compares the runs that the worker lists with those that it should have.
func (t *term) onActive(n *node, held *worker.HoldReply) {
	now := time.Now()
	listed := make(map[runKey]bool, len(held.Active))
	unknown := 0
	for i := range held.Active {
		a := &held.Active[i]
		key := runKey{a.Task, a.Run}
		listed[key] = true
		r := n.runs[key]
		if r == nil {
			unknown++
			t.haltUnknown(n, a)
			continue
		}
		t.updateRun(r, a, now)
	}
	if unknown != n.unknownRuns {
		t.log.Info("dispatch: runs that nobody asked for are being stopped", zap.String("worker", n.id), zap.Int("runs", unknown))
		n.unknownRuns, t.passNeeded = unknown, true
	}
	if len(held.Ended) >= mostEnds {
		// More ends may follow, that of a run which is not listed as active among them.
		return
	}
	for key, r := range n.runs {
		if !listed[key] && r.cannotStart(n, held.Clock) {
			t.onNeverStarted(r, "the worker does not list it")
		}
	}
}

// updateRun notes what a worker tells of a run.
func (t *term) updateRun(r *run, a *worker.ActiveRun, now time.Time) {
	r.confirm()
	r.recovered = false
	if a.Percent != r.percent || r.progressAt.IsZero() {
		r.percent, r.progressAt = a.Percent, now
	}
	if a.Checkpoint != "" {
		r.stage.keepCheckpoint(r.index, a.Checkpoint)
	}
}

// confirm notes that the worker has the run.
func (r *run) confirm() {
	if !r.confirmed {
		r.confirmedAt = time.Now()
	}
	r.confirmed, r.uncertain = true, false
	r.stage.entry.started = true
}

// cannotStart reports whether a run that the worker does not list can never start there.
func (r *run) cannotStart(n *node, clock time.Duration) bool {
	if r.recovered {
		// This term's fence was raised by the hold, so that an older order is refused from now on.
		return true
	}
	return r.uncertain && clock > r.startExpires
}
