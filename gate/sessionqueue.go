package gate

import (
	"context"
	"time"

	"turmericgap/job"
)

const sessionRetryAfter = 100 * time.Millisecond

// sessionQueue serializes the requests of one session in order of arrival.
type sessionQueue struct{ waiting []*queuedRequest }

// queuedRequest waits for the earlier requests of its session. Its channel receives whether the
// request may run.
type queuedRequest struct{ ready chan bool }

// enterSession waits until the earlier requests of the session have ended.
func (g *Gate) enterSession(ctx context.Context, id string) *Result {
	g.mu.Lock()
	q, ok := g.sessionQueues[id]
	if !ok {
		g.sessionQueues[id] = &sessionQueue{}
		g.mu.Unlock()
		return nil
	}
	if len(q.waiting) >= g.opts.Limits.Pipelined {
		g.mu.Unlock()
		return limitExceeded("too many requests of this session wait", sessionRetryAfter)
	}
	req := &queuedRequest{ready: make(chan bool, 1)}
	q.waiting = append(q.waiting, req)
	g.mu.Unlock()
	select {
	case mayRun := <-req.ready:
		if mayRun {
			return nil
		}
		return notRun("an earlier request of this session has no known end", sessionRetryAfter)
	case <-ctx.Done():
		g.cancelQueued(id, q, req)
		return notRun("time ran out behind earlier requests of this session", sessionRetryAfter)
	}
}

// cancelQueued removes a waiting request. If the request was released at the same moment, the next
// one is started instead.
func (g *Gate) cancelQueued(id string, q *sessionQueue, req *queuedRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, other := range q.waiting {
		if other == req {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
	if mayRun := <-req.ready; mayRun {
		g.startNext(id, q)
	}
}

// leaveSession starts the next request of the session. After a request of unknown outcome the
// waiting requests are rejected: the caller relies on their order and could not tell whether the
// earlier request runs later or not at all.
func (g *Gate) leaveSession(id string, outcome job.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.sessionQueues[id]
	if outcome == job.Unknown {
		for _, req := range q.waiting {
			req.ready <- false
		}
		q.waiting = nil
	}
	g.startNext(id, q)
}

func (g *Gate) startNext(id string, q *sessionQueue) {
	if len(q.waiting) == 0 {
		delete(g.sessionQueues, id)
		return
	}
	req := q.waiting[0]
	q.waiting = q.waiting[1:]
	req.ready <- true
}

// runSession runs one request of a session on the session's target in any zone.
func (g *Gate) runSession(ctx context.Context, cl *call) *Result {
	g.mu.Lock()
	zone, listed := g.targetZones[cl.check.Target]
	known := len(g.targetZones) > 0
	g.mu.Unlock()
	if !listed {
		// The target list of this gate may be older than that of the zone that opened the session.
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
