package floor

import (
	"context"
	"time"
)

// CallKind is a kind of call to a worker.
type CallKind string

// The kinds of calls.
const (
	CallLaunch CallKind = "launch"
	CallHalt   CallKind = "halt"
	CallHold   CallKind = "hold"
)

// Transit is how the network treats one call.
type Transit struct {
	// Late executes the call after this delay, and after newer calls, and drops its reply; zero is no fault.
	Late time.Duration
	// Reply delays the reply, so that replies may overtake each other.
	Reply time.Duration
}

// transitOf returns how the network treats the next call of a kind.
func (w *Worker) transitOf(kind CallKind) Transit {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	w.calls[kind]++
	if w.faults.TransitOf == nil {
		return Transit{}
	}
	return w.faults.TransitOf(kind, w.calls[kind])
}

// transmit makes a call as the network treats it. do is told whether the call is late.
func (w *Worker) transmit(ctx context.Context, kind CallKind, do func(p *Worker, late bool) error) (time.Duration, error) {
	w = w.present()
	t := w.transitOf(kind)
	if t.Late > 0 {
		return 0, w.executeLate(ctx, t.Late, func(p *Worker) error { return do(p, true) })
	}
	clock, err := w.call(ctx, func() error { return do(w, false) })
	if lost := waitFor(ctx, t.Reply); lost != nil {
		return 0, lost
	}
	return clock, err
}

// executeLate executes a call after a delay, on the instance that is there by then. The caller gets no answer, and an error at once if connections are reset.
func (w *Worker) executeLate(ctx context.Context, delay time.Duration, do func(p *Worker) error) error {
	time.AfterFunc(delay, func() {
		p := w.present()
		_, _ = p.withLock(func() error { return do(p) })
	})
	for {
		w.cluster.mu.Lock()
		reset, changed := w.faults.ResetConnections || w.next != nil, w.changed
		w.cluster.mu.Unlock()
		if reset {
			return errNoAnswer
		}
		select {
		case <-ctx.Done():
			return errNoAnswer
		case <-changed:
		}
	}
}

// waitFor returns an error if ctx ends before d has passed.
func waitFor(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return errNoAnswer
	case <-t.C:
		return nil
	}
}
