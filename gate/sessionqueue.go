package gate

import (
	"context"
	"time"

	"turmericgap/job"
)

const sessionRetryAfter = 100 * time.Millisecond

// sessionQueue keeps the requests of one session in order: one at a time, in the order of arrival.
type sessionQueue struct{ waiting []*queuedRequest }

// queuedRequest is a request that waits for those before it; its channel gets whether it may go.
type queuedRequest struct{ ready chan bool }

// enterSession waits for the earlier requests of the session.
func (g *Gate) enterSession(ctx context.Context, id string) *Result {
	g.mu.Lock()
	l, ok := g.sessionQueues[id]
	if !ok {
		g.sessionQueues[id] = &sessionQueue{}
		g.mu.Unlock()
		return nil
	}
	if len(l.waiting) >= g.opts.Limits.Pipelined {
		g.mu.Unlock()
		return limitExceeded("too many requests of this session wait", sessionRetryAfter)
	}
	t := &queuedRequest{ready: make(chan bool, 1)}
	l.waiting = append(l.waiting, t)
	g.mu.Unlock()
	select {
	case first := <-t.ready:
		if first {
			return nil
		}
		return notRun("an earlier request of this session has no known end", sessionRetryAfter)
	case <-ctx.Done():
		g.cancelQueued(id, l, t)
		return notRun("time ran out behind earlier requests of this session", sessionRetryAfter)
	}
}

// cancelQueued takes a waiting request out, or hands its turn on if it came just now.
func (g *Gate) cancelQueued(id string, l *sessionQueue, t *queuedRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, other := range l.waiting {
		if other == t {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return
		}
	}
	if first := <-t.ready; first {
		g.startNext(id, l)
	}
}

// leaveSession lets the next request of the session go. Behind one that may still run nothing goes: its
// caller counts on the order, and would not know that the earlier one comes second or not at all.
func (g *Gate) leaveSession(id string, outcome job.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.sessionQueues[id]
	if outcome == job.Unknown {
		for _, t := range l.waiting {
			t.ready <- false
		}
		l.waiting = nil
	}
	g.startNext(id, l)
}

func (g *Gate) startNext(id string, l *sessionQueue) {
	if len(l.waiting) == 0 {
		delete(g.sessionQueues, id)
		return
	}
	t := l.waiting[0]
	l.waiting = l.waiting[1:]
	t.ready <- true
}

// runSession runs one request of a session at the session's target, wherever that is.
func (g *Gate) runSession(ctx context.Context, cl *call) *Result {
	g.mu.Lock()
	zone, listed := g.targetZones[cl.check.Target]
	known := len(g.targetZones) > 0
	g.mu.Unlock()
	if !listed {
		// The list of this gate may lag behind that of the zone which made the session.
		zone = cl.zone
	}
	if zone != g.opts.Zone && !cl.check.Forwarded {
		return g.forward(ctx, cl, zone)
	}
	if !listed {
		r := notRun("the session's target is gone", noTargetRetry)
		if known {
			r.Gone, r.RetryAfter = true, 0
		}
		return r
	}
	if r := g.enterSession(ctx, cl.check.Session); r != nil {
		return r
	}
	r := g.run(ctx, cl)
	g.leaveSession(cl.check.Session, r.Outcome)
	return r
}
