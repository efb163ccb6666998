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
	if r.s.e.state.Final() || r.stopping || r.n.stopped(t) || r.n.clockAt.IsZero() {
		// Nothing was sent, and only this term could have sent it.
		t.neverRan(r, "it was given up before it was sent")
		return
	}
	k := &r.s.tasks[r.index]
	r.begun, r.doubt = now, true
	r.until = r.n.clockNow(now) + launchVoid
	order := &worker.Launch{
		Task: r.task(), Run: r.number, Spec: r.s.e.work.Spec, Until: r.until, Fence: t.tenure.Fence,
		Permit: r.s.ticket(r.n.id), Checkpoint: k.checkpoint,
	}
	agent := r.n.agent
	t.wg.Go(func() {
		err := t.call(t.ctx, agent, launchFirst, func(ctx context.Context) error {
			_, err := agent.Launch(ctx, order)
			return err
		})
		open := err != nil && !definite(err)
		if open && t.ctx.Err() == nil {
			// What is sent to a worker that is cut off stays charged there until the cut has healed or
			// its lease has lapsed; the sooner it gets nothing new, the fewer callers wait for that.
			t.post(func() { r.n.silentAt = time.Now() })
			err = t.call(t.ctx, agent, launchWithin, func(ctx context.Context) error {
				_, err := agent.Launch(ctx, order)
				return err
			})
		}
		t.post(func() { t.onLaunched(r, err, open) })
	})
}

// definite reports whether an error says for certain what became of an order.
func definite(err error) bool {
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
	t.log.Info("dispatch: start without success", zap.String("id", r.s.e.work.ID), zap.Int("step", r.s.index), zap.Int("task", r.index),
		zap.Int64("run", r.number), zap.String("worker", r.n.id), zap.Error(err))
	var refused *worker.Refusal
	switch {
	case errors.As(err, &refused) && (!open || refused.Reason == worker.ReasonFenced):
		t.onRefused(r, refused.Reason)
	case open && definite(err) && !errors.Is(err, worker.ErrReplaced):
		// A hold made after the order is void shows whether the earlier try began the run.
		r.n.unwell = time.Now().Add(unwellFor)
	case errors.Is(err, worker.ErrReplaced):
		r.n.listed = false
		t.gone(r.n, worker.EndingLapsed, "its lifetime is over")
	case errors.Is(err, worker.ErrUnwell):
		r.n.unwell = time.Now().Add(unwellFor)
		t.neverRan(r, "the worker is unwell")
	default:
		// The order may still be carried out; holds will tell.
		r.n.silentAt = time.Now()
	}
}

func (t *term) onRefused(r *run, reason worker.Reason) {
	switch reason {
	case worker.ReasonFenced:
		t.lose("a worker knows a later owner", &worker.Refusal{Reason: reason})
	case worker.ReasonOld:
		// A first try of this order may have gone through, and the run may have ended since. The next
		// hold lists that end, or shows that there is none.
		r.until = r.n.clockNow(time.Now())
	case worker.ReasonPermit:
		r.s.forget(r.n.id)
		t.neverRan(r, "its permit had expired")
	case worker.ReasonInvalid:
		t.log.Error("dispatch: a worker does not understand an order", zap.String("id", r.s.e.work.ID), zap.String("worker", r.n.id))
		r.n.unwell = time.Now().Add(unwellFor)
		t.neverRan(r, "the worker did not understand")
	default:
		r.n.unwell = time.Now().Add(unwellFor)
		t.neverRan(r, "the worker refused: "+string(reason))
	}
}

// halt orders the end of a run. Its end is listed by a hold, or a hold made after the order shows that
// it is not there and, by the order, never will be.
func (t *term) halt(r *run) {
	now := time.Now()
	r.stopping, r.haltedAt = true, now
	if r.n.agent == nil || r.n.stopped(t) {
		return
	}
	if !r.confirmed && !r.recovered && r.begun.IsZero() {
		return // its start was not sent yet, and will not be
	}
	agent := r.n.agent
	order := &worker.Halt{Task: r.task(), Run: r.number, Fence: t.tenure.Fence}
	t.wg.Go(func() {
		var clock time.Duration
		err := t.call(t.ctx, agent, launchWithin, func(ctx context.Context) (err error) {
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
		r.doubt, r.until = true, clock
	case errors.As(err, &refused) && refused.Reason == worker.ReasonFenced:
		t.lose("a worker knows a later owner", err)
	case errors.Is(err, worker.ErrReplaced):
		r.n.listed = false
		t.gone(r.n, worker.EndingLapsed, "its lifetime is over")
	default:
		t.log.Info("dispatch: stop without success", zap.String("id", r.s.e.work.ID), zap.Int64("run", r.number),
			zap.String("worker", r.n.id), zap.Error(err))
	}
}

// haltStrange stops a run that this term has no record of: a start of a former owner whose intent was
// overtaken by the end of its work.
func (t *term) haltStrange(n *node, a *worker.Active) {
	agent := n.agent
	order := &worker.Halt{Task: a.Task, Run: a.Run, Fence: t.tenure.Fence}
	t.wg.Go(func() {
		err := t.call(t.ctx, agent, launchWithin, func(ctx context.Context) error {
			_, err := agent.Halt(ctx, order)
			return err
		})
		if err != nil {
			t.log.Info("dispatch: stop of an unknown run without success", zap.String("id", order.Task.Work),
				zap.String("worker", n.id), zap.Error(err))
		}
	})
}
