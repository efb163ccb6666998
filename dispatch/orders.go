package dispatch

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"turmericgap/worker"
)

// launch orders the start of a run whose intent is durable.
func (t *term) launch(r *run) {
	now := time.Now()
	if r.ended {
		return
	}
	if r.stage.entry.state.Final() || r.stopping || r.node.isRemoved(t) || r.node.clockAt.IsZero() {
		// Nothing was sent, and only this term could have sent it.
		t.onNeverStarted(r, "it was given up before it was sent")
		return
	}
	k := &r.stage.tasks[r.index]
	r.sentAt, r.uncertain = now, true
	r.startExpires = r.node.clockNow(now) + launchValidity
	order := &worker.Launch{
		Task: r.task(), Run: r.number, Spec: r.stage.entry.work.Spec, Until: r.startExpires, Fence: t.tenure.Fence,
		Permit: r.stage.ticket(r.node.id), Checkpoint: k.checkpoint,
	}
	agent := r.node.agent
	t.wg.Go(func() {
		err := t.call(t.ctx, agent, firstLaunchTimeout, func(ctx context.Context) error {
			_, err := agent.Launch(ctx, order)
			return err
		})
		open := err != nil && !isDefinite(err)
		if open && t.ctx.Err() == nil {
			// What is sent to a worker that is cut off stays charged there until the cut has healed or
			// its lease has lapsed; the sooner it gets nothing new, the fewer callers wait for that.
			t.post(func() { r.node.silentAt = time.Now() })
			err = t.call(t.ctx, agent, orderTimeout, func(ctx context.Context) error {
				_, err := agent.Launch(ctx, order)
				return err
			})
		}
		t.post(func() { t.onLaunched(r, err, open) })
	})
}

// isDefinite reports whether an error says for certain what became of an order.
func isDefinite(err error) bool {
	var refused *worker.Refusal
	return errors.As(err, &refused) || errors.Is(err, worker.ErrReplaced) || errors.Is(err, worker.ErrUnwell)
}

// onLaunched takes in the last answer to a start; open says that an earlier try had none, and may have
// been carried out whatever the worker says of this one.
func (t *term) onLaunched(r *run, err error, open bool) {
	if r.ended {
		return
	}
	if err == nil {
		r.confirm()
		t.o.Metrics.Counter("dispatch.starts").Inc(1)
		return
	}
	t.o.Metrics.Counter("dispatch.startsRefused").Inc(1)
	t.log.Info("dispatch: start without success", zap.String("id", r.stage.entry.work.ID), zap.Int("step", r.stage.index), zap.Int("task", r.index),
		zap.Int64("run", r.number), zap.String("worker", r.node.id), zap.Error(err))
	var refused *worker.Refusal
	switch {
	case errors.As(err, &refused) && (!open || refused.Reason == worker.ReasonFenced):
		t.onRefused(r, refused.Reason)
	case open && isDefinite(err) && !errors.Is(err, worker.ErrReplaced):
		// A hold made after the order is void shows whether the earlier try began the run.
		r.node.unwellUntil = time.Now().Add(unwellDuration)
	case errors.Is(err, worker.ErrReplaced):
		r.node.listed = false
		t.endLifetime(r.node, worker.EndingLapsed, "its lifetime is over")
	case errors.Is(err, worker.ErrUnwell):
		r.node.unwellUntil = time.Now().Add(unwellDuration)
		t.onNeverStarted(r, "the worker is unwell")
	default:
		// The order may still be carried out; holds will tell.
		r.node.silentAt = time.Now()
	}
}

func (t *term) onRefused(r *run, reason worker.Reason) {
	switch reason {
	case worker.ReasonFenced:
		t.loseOwnership("a worker knows a later owner", &worker.Refusal{Reason: reason})
	case worker.ReasonOld:
		// A first try of this order may have gone through, and the run may have ended since. The next
		// hold lists that end, or shows that there is none.
		r.startExpires = r.node.clockNow(time.Now())
	case worker.ReasonPermit:
		r.stage.expireTicket(r.node.id)
		t.onNeverStarted(r, "its permit had expired")
	case worker.ReasonInvalid:
		t.log.Error("dispatch: a worker does not understand an order", zap.String("id", r.stage.entry.work.ID), zap.String("worker", r.node.id))
		r.node.unwellUntil = time.Now().Add(unwellDuration)
		t.onNeverStarted(r, "the worker did not understand")
	default:
		r.node.unwellUntil = time.Now().Add(unwellDuration)
		t.onNeverStarted(r, "the worker refused: "+string(reason))
	}
}

// halt orders the end of a run. Its end is listed by a hold, or a hold made after the order shows that
// it is not there and, by the order, never will be.
func (t *term) halt(r *run) {
	now := time.Now()
	r.stopping, r.haltedAt = true, now
	if r.node.agent == nil || r.node.isRemoved(t) {
		return
	}
	if !r.confirmed && !r.recovered && r.sentAt.IsZero() {
		return // its start was not sent yet, and will not be
	}
	agent := r.node.agent
	order := &worker.Halt{Task: r.task(), Run: r.number, Fence: t.tenure.Fence}
	t.wg.Go(func() {
		var clock time.Duration
		err := t.call(t.ctx, agent, orderTimeout, func(ctx context.Context) (err error) {
			clock, err = agent.Halt(ctx, order)
			return err
		})
		t.post(func() { t.onHalted(r, clock, err) })
	})
}

func (t *term) onHalted(r *run, clock time.Duration, err error) {
	if r.ended {
		return
	}
	var refused *worker.Refusal
	switch {
	case err == nil:
		r.uncertain, r.startExpires = true, clock
	case errors.As(err, &refused) && refused.Reason == worker.ReasonFenced:
		t.loseOwnership("a worker knows a later owner", err)
	case errors.Is(err, worker.ErrReplaced):
		r.node.listed = false
		t.endLifetime(r.node, worker.EndingLapsed, "its lifetime is over")
	default:
		t.log.Info("dispatch: stop without success", zap.String("id", r.stage.entry.work.ID), zap.Int64("run", r.number),
			zap.String("worker", r.node.id), zap.Error(err))
	}
}

// haltUnknown stops a run that this term has no record of: a start of a former owner whose intent was
// overtaken by the end of its work.
func (t *term) haltUnknown(n *node, a *worker.Active) {
	agent := n.agent
	order := &worker.Halt{Task: a.Task, Run: a.Run, Fence: t.tenure.Fence}
	t.wg.Go(func() {
		err := t.call(t.ctx, agent, orderTimeout, func(ctx context.Context) error {
			_, err := agent.Halt(ctx, order)
			return err
		})
		if err != nil {
			t.log.Info("dispatch: stop of an unknown run without success", zap.String("id", order.Task.Work),
				zap.String("worker", n.id), zap.Error(err))
		}
	})
}
