package gate

import (
	"context"
	"time"

	"turmericgap/job"
)

const laneRetryAfter = 100 * time.Millisecond

// lane keeps the requests of one session in order: one at a time, in the order of arrival.
type lane struct{ waiting []*turn }

// turn is a request that waits for those before it; its channel gets whether it may go.
type turn struct{ ready chan bool }

// enterLane waits for the earlier requests of the session.
func (g *Gate) enterLane(ctx context.Context, id string) *Result {
	g.mu.Lock()
	l, ok := g.lanes[id]
	if !ok {
		g.lanes[id] = &lane{}
		g.mu.Unlock()
		return nil
	}
	if len(l.waiting) >= g.opts.Limits.Pipelined {
		g.mu.Unlock()
		return limited("too many requests of this session wait", laneRetryAfter)
	}
	t := &turn{ready: make(chan bool, 1)}
	l.waiting = append(l.waiting, t)
	g.mu.Unlock()
	select {
	case first := <-t.ready:
		if first {
			return nil
		}
		return notRun("an earlier request of this session has no known end", laneRetryAfter)
	case <-ctx.Done():
		g.quitLane(id, l, t)
		return notRun("time ran out behind earlier requests of this session", laneRetryAfter)
	}
}

// quitLane takes a waiting request out, or hands its turn on if it came just now.
func (g *Gate) quitLane(id string, l *lane, t *turn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, other := range l.waiting {
		if other == t {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return
		}
	}
	if first := <-t.ready; first {
		g.nextInLane(id, l)
	}
}

// leaveLane lets the next request of the session go. Behind one that may still run nothing goes: its
// caller counts on the order, and would not know that the earlier one comes second or not at all.
func (g *Gate) leaveLane(id string, outcome job.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.lanes[id]
	if outcome == job.Unknown {
		for _, t := range l.waiting {
			t.ready <- false
		}
		l.waiting = nil
	}
	g.nextInLane(id, l)
}

func (g *Gate) nextInLane(id string, l *lane) {
	if len(l.waiting) == 0 {
		delete(g.lanes, id)
		return
	}
	t := l.waiting[0]
	l.waiting = l.waiting[1:]
	t.ready <- true
}

// doSession runs one request of a session at the session's target, wherever that is.
func (g *Gate) doSession(ctx context.Context, cl *call) *Result {
	g.mu.Lock()
	zone, listed := g.where[cl.check.Target]
	known := len(g.where) > 0
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
	if r := g.enterLane(ctx, cl.check.Session); r != nil {
		return r
	}
	r := g.run(ctx, cl)
	g.leaveLane(cl.check.Session, r.Outcome)
	return r
}
