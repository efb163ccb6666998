package gate

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"turmericgap/balancer"
	"turmericgap/gate/target"
	"turmericgap/job"
	tracing "turmericgap/trace"
)

// attemptState is what is known about the execution of an attempt.
type attemptState int

const (
	// answered means that the complete answer was received.
	answered attemptState = iota
	// notStarted means that the attempt certainly did not run.
	notStarted
	// mayHaveRun means that it is unknown whether the attempt ran.
	mayHaveRun
)

// attempt is the result of one request to a target.
type attempt struct {
	state   attemptState
	outcome balancer.Outcome
	reason  string
	answer  *job.Answer
	leaving bool
	// occupiedUntil is the time by which a request that was given up no longer occupies its target.
	occupiedUntil time.Time
}

// run sends attempts to targets of this zone until the check has a final outcome.
func (g *Gate) run(ctx context.Context, cl *call) *Result {
	for {
		t, r := g.acquire(ctx, cl)
		if r != nil {
			return cl.finish(r)
		}
		a := g.send(ctx, cl, t)
		g.finishAttempt(t, a)
		if a.state == answered {
			g.budget.Deposit()
			return &Result{Outcome: job.Done, Answer: a.answer, Attempts: cl.attempts, Target: t.info.ID}
		}
		cl.mayHaveRun = cl.mayHaveRun || a.state == mayHaveRun
		cl.avoid = t.info.ID
		if !g.shouldRetry(ctx, cl, a) {
			r := notRun(a.reason, minRetryAfter)
			r.Target = t.info.ID
			return cl.finish(r)
		}
	}
}

// finish sets the final outcome of a check. A check that may have run is never reported as NotRun.
func (cl *call) finish(r *Result) *Result {
	r.Attempts = cl.attempts
	if cl.mayHaveRun && r.Outcome == job.NotRun {
		r.Outcome = job.Unknown
		if !cl.check.Repeatable {
			// A retry could run the check twice.
			r.RetryAfter = 0
		}
	}
	return r
}

// shouldRetry reports whether another attempt may be made.
func (g *Gate) shouldRetry(ctx context.Context, cl *call, a *attempt) bool {
	if cl.mayHaveRun && !cl.check.Repeatable {
		// A retry could run the check twice.
		return false
	}
	if cl.tries > cl.retries || ctx.Err() != nil || time.Until(cl.deadline) < minRunTime ||
		(a.state == mayHaveRun && cl.check.Target != "") {
		return false
	}
	if !g.budget.TryWithdraw() {
		g.metrics.noBudget.Inc(1)
		return false
	}
	g.metrics.retries.Inc(1)
	return true
}

// send makes one attempt.
func (g *Gate) send(ctx context.Context, cl *call, t *ticket) *attempt {
	now := time.Now()
	end := g.attemptEnd(cl, now)
	cl.tries++
	if end.Sub(now) < minRunTime || ctx.Err() != nil {
		return &attempt{state: notStarted, outcome: balancer.Abandoned, reason: "no time left"}
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	ctx, span := otel.Tracer(tracerName).Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("target", t.info.ID), attribute.Bool("probe", t.probe)))
	defer span.End()
	req := &target.Request{
		ID: g.nextID("try"), Key: cl.check.Key, Session: cl.check.Session, Method: cl.check.Method,
		Body: cl.check.Body, LeftMillis: end.Sub(now).Milliseconds(), Parent: tracing.Parent(ctx),
	}
	if !g.shares.CanSend(t.slot, end.Add(g.opts.Limits.Grace)) {
		// The process was paused after the slot was acquired, and a sibling may use the slot now.
		return &attempt{state: notStarted, outcome: balancer.Abandoned, reason: "slot was lost before the send"}
	}
	cl.attempts++
	g.metrics.attempts.Inc(1)
	resp, err := t.client.Do(ctx, req)
	a := g.classify(ctx, req, resp, err)
	a.occupiedUntil = end.Add(g.opts.Limits.Grace)
	if a.state != answered {
		span.SetStatus(codes.Error, a.reason)
	}
	return a
}

// attemptEnd returns the deadline of the next attempt. An attempt that can be retried gets half of
// the time left, so that a target that hangs does not use up all of it.
func (g *Gate) attemptEnd(cl *call, now time.Time) time.Time {
	if !cl.check.Repeatable || cl.check.Target != "" || cl.attempts >= cl.retries {
		return cl.deadline
	}
	return now.Add(cl.deadline.Sub(now) / 2)
}

// classify derives the state of an attempt from the target's response. An answer to another attempt
// or a truncated answer only shows that this attempt may have run.
func (g *Gate) classify(ctx context.Context, req *target.Request, resp *target.Response, err error) *attempt {
	switch {
	case errors.Is(err, target.ErrNotSent):
		return &attempt{state: notStarted, outcome: failureOutcome(ctx), reason: "target not reached"}
	case errors.Is(err, target.ErrRefused):
		return &attempt{state: notStarted, outcome: balancer.Failed, reason: "target refused"}
	case err != nil:
		return &attempt{state: mayHaveRun, outcome: failureOutcome(ctx), reason: "no answer: " + err.Error()}
	case resp == nil || resp.ID != req.ID:
		g.metrics.dropped.Inc(1)
		return &attempt{state: mayHaveRun, outcome: balancer.Failed, reason: "answer to another request"}
	case resp.Busy:
		return &attempt{state: notStarted, outcome: balancer.Busy, reason: "target is busy", leaving: resp.Leaving}
	case !resp.Answer.IsIntact():
		g.metrics.dropped.Inc(1)
		return &attempt{state: mayHaveRun, outcome: balancer.Failed, reason: "answer was cut", leaving: resp.Leaving}
	}
	return &attempt{state: answered, outcome: balancer.Succeeded, answer: &resp.Answer, leaving: resp.Leaving}
}

// failureOutcome returns Failed, or Abandoned if the caller canceled the request.
func failureOutcome(ctx context.Context) balancer.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return balancer.Abandoned
	}
	return balancer.Failed
}
