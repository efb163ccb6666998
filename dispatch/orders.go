package dispatch

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"turmericgap/presence"
	"turmericgap/worker"
)

// withheldBecause returns why the start order of a run must not be sent; empty if it may be.
func (t *term) withheldBecause(r *run, now time.Time) string {
	switch {
	case r.stage.entry.state.Final() || r.stopping || r.node.isRemoved(t) || r.node.clockAt.IsZero():
		return "it was given up before it was sent"
	case r.node.isOverfilledBy(r):
		return "the worker's capacity has shrunk"
	case t.accounts.ledger.Exceeds(r.stage.entry.work.Account, r.stage.spec.TaskResources):
		return "the cap of its account was lowered"
	case t.isWorkerListStale(now):
		return "the worker's capacity may have shrunk unnoticed"
	case !t.tenure.Confirmed(extendGrace):
		return "the tenure is not confirmed"
	}
	return ""
}

// launch sends the start order of a run whose intent is durable. What is withheld is certainly not sent, as only this term
// could have sent it.
func (t *term) launch(r *run) {
	now := time.Now()
	if r.ended {
		return
	}
	if reason := t.withheldBecause(r, now); reason != "" {
		t.onNeverStarted(r, presence.NotSent, reason)
		return
	}
	task := &r.stage.tasks[r.index]
	r.sentAt, r.Uncertain, r.Resumed = now, true, task.checkpoint != ""
	r.Expires = r.node.clockNow(now) + launchValidity
	if end := r.node.lastTimeOf(r.Expires); end.After(r.node.leaseEnd) {
		r.node.leaseEnd = end // the order extends the lease of the whole worker
	}
	if r.node.born > 0 {
		// The second attempt is sent after the time-out of the first one.
		r.LateUntil = now.Add(firstLaunchTimeout + relaySlack + t.lag.Slack() + presence.LateCallWindow)
		r.node.startsUntil = r.LateUntil
	}
	order := &worker.Launch{
		Task: r.task(), Run: r.number, Spec: r.stage.entry.work.Spec, Until: r.Expires, Fence: t.tenure.Fence,
		Permit: r.stage.ticket(r.node.id), Checkpoint: task.checkpoint,
	}
	n, agent := r.node, r.node.agent
	t.wg.Go(func() {
		var clock time.Duration
		send := func(ctx context.Context) (err error) {
			clock, err = agent.Launch(ctx, order)
			return err
		}
		err := t.call(t.ctx, agent, firstLaunchTimeout, send)
		unanswered := err != nil && !isDefinite(err)
		delivered := !errors.Is(err, worker.ErrNotSent)
		if unanswered && t.ctx.Err() == nil {
			// A start sent to an unreachable worker stays charged there until the connection recovers or the lease
			// expires. Giving the worker no new work early keeps the number of affected callers small.
			t.post(func() { n.noAnswerAt = time.Now() })
			err = t.call(t.ctx, agent, orderTimeout, send)
			delivered = delivered || !errors.Is(err, worker.ErrNotSent)
		}
		t.post(func() {
			r.undelivered = !delivered
			if r.node == n { // else a newer instance is asked to stop the run
				t.onLaunched(r, clock, err, unanswered)
			}
		})
	})
}

// isDefinite reports whether an error shows the outcome of an order for certain.
func isDefinite(err error) bool {
	var refused *worker.Refusal
	return errors.As(err, &refused) || errors.Is(err, worker.ErrReplaced) || errors.Is(err, worker.ErrUnhealthy)
}

// onLaunched handles the final answer to a start order, and the worker's clock in it. unanswered is true if an earlier
// attempt got no answer and may have been carried out, regardless of this one.
func (t *term) onLaunched(r *run, clock time.Duration, err error, unanswered bool) {
	if r.ended {
		return
	}
	if err == nil {
		r.confirm()
		t.o.Metrics.Counter("dispatch.starts").Inc(1)
		return
	}
	t.o.Metrics.Counter("dispatch.startsRefused").Inc(1)
	t.log.Info("dispatch: start without success", zap.String("id", r.stage.entry.work.ID),
		zap.Int("step", r.stage.index), zap.Int("task", r.index),
		zap.Int64("run", r.number), zap.String("worker", r.node.id), zap.Error(err))
	var refused *worker.Refusal
	switch {
	case errors.As(err, &refused) && (!unanswered || refused.Reason == worker.ReasonFenced):
		t.onRefused(r, clock, refused.Reason)
	case unanswered && isDefinite(err) && !errors.Is(err, worker.ErrReplaced):
		// A hold that is sent after the order is void shows whether the earlier attempt started the run.
		r.node.unhealthyUntil = time.Now().Add(unhealthyDuration)
	case errors.Is(err, worker.ErrReplaced):
		r.undelivered = r.undelivered || !unanswered
		t.onReplaced(r.node)
	case errors.Is(err, worker.ErrUnhealthy):
		r.node.unhealthyUntil = time.Now().Add(unhealthyDuration)
		t.onNeverStarted(r, presence.Refused, "the worker is unwell")
	default:
		// The order may still be carried out; later holds show the outcome.
		r.node.noAnswerAt = time.Now()
	}
}

func (t *term) onRefused(r *run, clock time.Duration, reason worker.RefusalReason) {
	switch reason {
	case worker.ReasonFenced:
		t.loseOwnership("a worker knows a later owner", &worker.Refusal{Reason: reason})
	case worker.ReasonStaleRun:
		// An earlier attempt may have succeeded, and its run may already have ended. A hold that is answered after this
		// refusal lists that end or shows that there is none.
		r.Expires = clock
	case worker.ReasonPermit:
		r.stage.expireTicket(r.node.id)
		t.onNeverStarted(r, presence.Refused, "its permit had expired")
	case worker.ReasonInvalid:
		t.log.Error("dispatch: a worker does not understand an order", zap.String("id", r.stage.entry.work.ID),
			zap.String("worker", r.node.id))
		r.node.unhealthyUntil = time.Now().Add(unhealthyDuration)
		t.onNeverStarted(r, presence.Refused, "the worker did not understand")
	default:
		r.node.unhealthyUntil = time.Now().Add(unhealthyDuration)
		t.onNeverStarted(r, presence.Refused, "the worker refused: "+string(reason))
	}
}

// halt orders a run to stop. A later hold either lists its end, or shows that the run is absent and, because of this
// order, can never start.
func (t *term) halt(r *run) {
	now := time.Now()
	r.stopping, r.haltedAt = true, now
	if r.node.agent == nil || r.node.isRemoved(t) {
		return
	}
	if !r.Confirmed && !r.Recovered && r.sentAt.IsZero() {
		return // its start was not sent yet, and will not be
	}
	n := r.node
	t.sendHalt(n, r.task(), r.number, func(clock time.Duration, err error) {
		if r.node == n { // else the answer may be that of an earlier instance
			t.onHalted(r, clock, err)
		}
	})
}

// sendHalt sends an order to stop a run, and calls onAnswer on the loop.
func (t *term) sendHalt(n *node, task worker.Task, number int64, onAnswer func(clock time.Duration, err error)) {
	agent, order := n.agent, &worker.Halt{Task: task, Run: number, Fence: t.tenure.Fence}
	t.wg.Go(func() {
		var clock time.Duration
		err := t.call(t.ctx, agent, orderTimeout, func(ctx context.Context) (err error) {
			clock, err = agent.Halt(ctx, order)
			return err
		})
		t.post(func() { onAnswer(clock, err) })
	})
}

func (t *term) onHalted(r *run, clock time.Duration, err error) {
	if r.ended {
		return
	}
	var refused *worker.Refusal
	switch {
	case err == nil:
		r.Uncertain, r.Expires = true, clock
	case errors.As(err, &refused) && refused.Reason == worker.ReasonFenced:
		t.loseOwnership("a worker knows a later owner", err)
	case errors.Is(err, worker.ErrReplaced):
		t.onReplaced(r.node)
	default:
		t.log.Info("dispatch: stop order failed", zap.String("id", r.stage.entry.work.ID), zap.Int64("run", r.number),
			zap.String("worker", r.node.id), zap.Error(err))
	}
}

// haltUnknown stops a run that this term has no record of: a former owner started it, but the end of its work has
// removed the intent.
func (t *term) haltUnknown(n *node, a *worker.ActiveRun) {
	t.sendHalt(n, a.Task, a.Run, func(_ time.Duration, err error) {
		if err != nil {
			t.log.Info("dispatch: stop order for an unknown run failed", zap.String("id", a.Task.Work),
				zap.String("worker", n.id), zap.Error(err))
		}
	})
}
