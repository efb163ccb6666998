package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"turmericgap/worker"
)

// errRelayUnreliable is the reason for giving up a relay that still answers the owner.
var errRelayUnreliable = errors.New("workers answer the owner but not the relay")

// agent makes the calls to one worker instance, directly or through a relay.
type agent struct {
	relays *Relays
	info   worker.Info
	direct *worker.Agent

	mu         sync.Mutex
	link       *link
	keepDirect bool
	closed     bool
	// suspected is the link on which a call got no answer; until directUntil the worker is called directly instead.
	suspected   *link
	directUntil time.Time
	// cancelHold cancels the hold in flight through a relay, so that it is repeated directly.
	cancelHold context.CancelFunc
}

// currentLink returns the link to use, or nil if this VM makes the call itself.
func (a *agent) currentLink() *link {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.keepDirect || a.closed || time.Now().Before(a.directUntil):
		return nil
	case a.link != nil && !a.link.isClosed():
		return a.link
	case a.link != nil:
		a.relays.release(a.link, false)
	}
	a.link, a.keepDirect = a.relays.assign(a.info)
	return a.link
}

func (a *agent) isRelayed() bool { return a.currentLink() != nil }

func (a *agent) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	a.relays.release(a.link, a.keepDirect)
	a.link, a.keepDirect = nil, false
}

func (a *agent) launch(ctx context.Context, l *worker.Launch) (time.Duration, error) {
	r, err := a.callViaRelay(ctx, order{Launch: l})
	if errors.Is(err, errRelayDown) {
		clock, directErr := a.direct.Launch(ctx, l)
		a.confirmSuspicion(directErr)
		if !errors.Is(err, errNoRelay) {
			directErr = hideRefusal(directErr)
		}
		return clock, directErr
	}
	return r.Clock, err
}

// hideRefusal makes the refusal of a repeated order an unknown outcome, since the worker may still receive the order from
// the lost relay. Refusals that hold for all orders of this owner to this instance remain.
func hideRefusal(err error) error {
	var refused *worker.Refusal
	if err == nil || errors.Is(err, worker.ErrReplaced) || errors.As(err, &refused) && refused.Reason == worker.ReasonFenced {
		return err
	}
	return errors.New("lost relay may still send the order: " + err.Error())
}

func (a *agent) halt(ctx context.Context, h *worker.Halt) (time.Duration, error) {
	r, err := a.callViaRelay(ctx, order{Halt: h})
	if errors.Is(err, errRelayDown) {
		clock, err := a.direct.Halt(ctx, h)
		a.confirmSuspicion(err)
		return clock, err
	}
	return r.Clock, err
}

func (a *agent) hold(ctx context.Context, h *worker.Hold) (*worker.HoldReply, error) {
	relayed, cancel := context.WithCancel(ctx)
	defer cancel()
	a.mu.Lock()
	a.cancelHold = cancel
	a.mu.Unlock()
	r, err := a.callViaRelay(relayed, order{Hold: h})
	if errors.Is(err, errRelayDown) || relayed.Err() != nil && ctx.Err() == nil {
		held, err := a.direct.Hold(ctx, h)
		a.confirmSuspicion(err)
		return held, err
	}
	return r.Held, err
}

// callViaRelay makes a call through a relay. errRelayDown means that there is no relay or that it does not answer: the
// call is then made directly, which is safe even if the worker has already received it. errNoRelay means that it has not.
func (a *agent) callViaRelay(ctx context.Context, o order) (*result, error) {
	k := a.currentLink()
	if k == nil {
		return &result{}, errNoRelay
	}
	o.Worker, o.Address = a.info.ID, a.info.Address
	a.relays.opts.Metrics.Counter("relay.calls").Inc(1)
	r, err := k.do(ctx, o)
	switch {
	case errors.Is(err, errRelayDown):
		a.relays.opts.Metrics.Counter("relay.instead").Inc(1)
		return &result{}, err
	case err != nil:
		a.suspectLink(k)
		return &result{}, err
	case r.Outcome == outcomeUnknown || r.Outcome == outcomeNotSent:
		a.suspectLink(k)
	default:
		a.relays.recordAnswer(k)
	}
	return r, r.toError()
}

// suspectLink makes the agent call the worker directly for a while: either the worker or its connection to the relay is
// at fault, and the owner may still reach the worker. The hold in flight on the link is repeated directly, since a run
// that has just begun could lose its lease while that hold waits in vain.
func (a *agent) suspectLink(k *link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.suspected, a.directUntil = k, time.Now().Add(directDuration)
	if a.cancelHold != nil {
		a.cancelHold()
	}
}

// confirmSuspicion blames the relay for an unanswered call if the worker answers the owner.
func (a *agent) confirmSuspicion(err error) {
	if err != nil {
		return
	}
	a.mu.Lock()
	k := a.suspected
	a.suspected = nil
	a.mu.Unlock()
	if k != nil {
		a.relays.recordBlame(k)
	}
}
