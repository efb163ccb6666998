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

// ending says what is known of one attempt.
type ending int

const (
	// whole means that its whole answer is there.
	whole ending = iota
	// notStarted means that it surely did not run.
	notStarted
	// mayHaveRun means that nothing more is known.
	mayHaveRun
)

// attempt is one request to a target and what came of it.
type attempt struct {
	ending  ending
	verdict balancer.Outcome
	reason  string
	answer  *job.Answer
	leaving bool
	// until is when a request that was given up has surely left its target.
	until time.Time
}

// run makes attempts at targets of this zone until the check has a final state.
func (g *Gate) run(ctx context.Context, cl *call) *Result {
	for {
		t, r := g.acquire(ctx, cl)
		if r != nil {
			return cl.finish(r)
		}
		a := g.send(ctx, cl, t)
		g.settle(t, a)
		if a.ending == whole {
			g.budget.Deposit()
			return &Result{Outcome: job.Done, Answer: a.answer, Attempts: cl.attempts, Target: t.info.ID}
		}
		cl.mayRun = cl.mayRun || a.ending == mayHaveRun
		cl.avoid = t.info.ID
		if !g.again(ctx, cl, a) {
			r := notRun(a.reason, leastRetryAfter)
			r.Target = t.info.ID
			return cl.finish(r)
		}
	}
}

// finish turns a result into the check's final state: what may have run is never called notRun.
func (cl *call) finish(r *Result) *Result {
	r.Attempts = cl.attempts
	if cl.mayRun && r.Outcome == job.NotRun {
		r.Outcome = job.Unknown
		if !cl.check.Repeatable {
			// To try again could run it twice.
			r.RetryAfter = 0
		}
	}
	return r
}

// again decides whether the check may be tried once more.
func (g *Gate) again(ctx context.Context, cl *call, a *attempt) bool {
	if cl.mayRun && !cl.check.Repeatable {
		// A second attempt could run the request twice.
		return false
	}
	if cl.tries > cl.retries || ctx.Err() != nil || time.Until(cl.deadline) < leastRun || (a.ending == mayHaveRun && cl.check.Target != "") {
		return false
	}
	if !g.budget.TryWithdraw() {
		g.meters.noBudget.Inc(1)
		return false
	}
	g.meters.retries.Inc(1)
	return true
}

// send makes one attempt.
func (g *Gate) send(ctx context.Context, cl *call, t *ticket) *attempt {
	now := time.Now()
	end := g.attemptEnd(cl, now)
	cl.tries++
	if end.Sub(now) < leastRun || ctx.Err() != nil {
		return &attempt{ending: notStarted, verdict: balancer.Abandoned, reason: "no time left"}
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
		// The process was paused since the slot was given; a sibling may have it by now.
		return &attempt{ending: notStarted, verdict: balancer.Abandoned, reason: "slot was lost before the send"}
	}
	cl.attempts++
	g.meters.attempts.Inc(1)
	resp, err := t.client.Do(ctx, req)
	a := g.judge(ctx, req, resp, err)
	a.until = end.Add(g.opts.Limits.Grace)
	if a.ending != whole {
		span.SetStatus(codes.Error, a.reason)
	}
	return a
}

// attemptEnd gives the deadline of the next attempt. One that may be followed by another gets half
// of the time left, so that a target that hangs does not use up all of it.
func (g *Gate) attemptEnd(cl *call, now time.Time) time.Time {
	if !cl.check.Repeatable || cl.check.Target != "" || cl.attempts >= cl.retries {
		return cl.deadline
	}
	return now.Add(cl.deadline.Sub(now) / 2)
}

// judge tells what is known of an attempt. Only what the target said about this very attempt
// counts: an answer to another one, or a cut one, says no more than that this one may have run.
func (g *Gate) judge(ctx context.Context, req *target.Request, resp *target.Response, err error) *attempt {
	switch {
	case errors.Is(err, target.ErrNotSent):
		return &attempt{ending: notStarted, verdict: failedUnless(ctx), reason: "target not reached"}
	case errors.Is(err, target.ErrRefused):
		return &attempt{ending: notStarted, verdict: balancer.Failed, reason: "target refused"}
	case err != nil:
		return &attempt{ending: mayHaveRun, verdict: failedUnless(ctx), reason: "no answer: " + err.Error()}
	case resp == nil || resp.ID != req.ID:
		g.meters.dropped.Inc(1)
		return &attempt{ending: mayHaveRun, verdict: balancer.Failed, reason: "answer to another request"}
	case resp.Busy:
		return &attempt{ending: notStarted, verdict: balancer.Busy, reason: "target is busy", leaving: resp.Leaving}
	case !resp.Answer.IsIntact():
		g.meters.dropped.Inc(1)
		return &attempt{ending: mayHaveRun, verdict: balancer.Failed, reason: "answer was cut", leaving: resp.Leaving}
	}
	return &attempt{ending: whole, verdict: balancer.Succeeded, answer: &resp.Answer, leaving: resp.Leaving}
}

// failedUnless gives Failed unless the caller itself went away.
func failedUnless(ctx context.Context) balancer.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return balancer.Abandoned
	}
	return balancer.Failed
}
