package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"turmericgap/worker"
)

// errBlamed tells why a relay that answers is given up.
var errBlamed = errors.New("workers answer the owner and not the relay")

// agent makes the calls to one lifetime of a worker.
type agent struct {
	relays *Relays
	info   worker.Info
	direct *worker.Agent

	mu     sync.Mutex
	link   *link
	own    bool
	closed bool
	// doubted is the link by which a call had no answer; until is how long the worker is asked directly for that.
	doubted *link
	until   time.Time
	// redo ends the hold that is under way by way of a relay, so that it is made directly.
	redo context.CancelFunc
}

// by gives the link to use, or nil for a call by this VM.
func (a *agent) by() *link {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.own || a.closed || time.Now().Before(a.until):
		return nil
	case a.link != nil && !a.link.broken():
		return a.link
	case a.link != nil:
		a.relays.release(a.link, false)
	}
	a.link, a.own = a.relays.assign(a.info)
	return a.link
}

func (a *agent) relayed() bool { return a.by() != nil }

func (a *agent) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	a.relays.release(a.link, a.own)
	a.link, a.own = nil, false
}

func (a *agent) launch(ctx context.Context, l *worker.Launch) (time.Duration, error) {
	r, err := a.relay(ctx, order{Launch: l})
	if errors.Is(err, errBroken) {
		clock, err := a.direct.Launch(ctx, l)
		a.compare(err)
		return clock, err
	}
	return r.Clock, err
}

func (a *agent) halt(ctx context.Context, h *worker.Halt) (time.Duration, error) {
	r, err := a.relay(ctx, order{Halt: h})
	if errors.Is(err, errBroken) {
		clock, err := a.direct.Halt(ctx, h)
		a.compare(err)
		return clock, err
	}
	return r.Clock, err
}

func (a *agent) hold(ctx context.Context, h *worker.Hold) (*worker.Held, error) {
	relayed, redo := context.WithCancel(ctx)
	defer redo()
	a.mu.Lock()
	a.redo = redo
	a.mu.Unlock()
	r, err := a.relay(relayed, order{Hold: h})
	if errors.Is(err, errBroken) || relayed.Err() != nil && ctx.Err() == nil {
		held, err := a.direct.Hold(ctx, h)
		a.compare(err)
		return held, err
	}
	return r.Held, err
}

// relay makes a call by way of a relay; errBroken means that there is none, or that it does not answer: the call is
// to be made directly, which changes nothing if the worker has got it already.
func (a *agent) relay(ctx context.Context, o order) (*result, error) {
	k := a.by()
	if k == nil {
		return &result{}, errBroken
	}
	o.Worker, o.Address = a.info.ID, a.info.Address
	a.relays.o.Metrics.Counter("relay.calls").Inc(1)
	r, err := k.do(ctx, o)
	switch {
	case errors.Is(err, errBroken):
		a.relays.o.Metrics.Counter("relay.instead").Inc(1)
		return &result{}, err
	case err != nil:
		a.doubt(k)
		return &result{}, err
	case r.Ended == endedOpen || r.Ended == endedNotSent:
		a.doubt(k)
	default:
		a.relays.clear(k)
	}
	return r, r.err()
}

// doubt has the worker asked directly for a while: either it or the relay's way to it is at fault, and the owner may
// have another way. The hold that is under way by the same way is made anew: a run that has just begun would lose its
// lease while that waits for nothing.
func (a *agent) doubt(k *link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.doubted, a.until = k, time.Now().Add(directFor)
	if a.redo != nil {
		a.redo()
	}
}

// compare blames the relay for a call without an answer if the worker answers the owner.
func (a *agent) compare(err error) {
	if err != nil {
		return
	}
	a.mu.Lock()
	k := a.doubted
	a.doubted = nil
	a.mu.Unlock()
	if k != nil {
		a.relays.blame(k)
	}
}
