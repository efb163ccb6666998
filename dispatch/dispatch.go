package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"turmericgap/job"
	"turmericgap/owner"
	"turmericgap/rpc"
)

// errTermClosed means that this VM no longer owns the cell.
var errTermClosed = errors.New("this entry VM no longer owns the cell")

// retryOwner is when a caller may try again while the cell has no owner: about a take-over.
const retryOwner = time.Second

// Dispatcher answers for the cell whenever this entry VM owns it.
type Dispatcher struct {
	o    *Options
	mu   sync.Mutex
	term *term
}

// New returns a Dispatcher that waits for its first tenure.
func New(opts ...Option) *Dispatcher { return &Dispatcher{o: newOptions(opts)} }

// Lead runs the cell's work until ctx ends; it is what an owner.Group is given to do.
func (d *Dispatcher) Lead(ctx context.Context, tenure *owner.Tenure) {
	t := newTerm(ctx, d.o, tenure)
	defer t.close()
	if !t.recover() {
		return
	}
	d.set(t)
	defer d.set(nil)
	t.loop()
}

func (d *Dispatcher) set(t *term) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.term = t
}

func (d *Dispatcher) current() (*term, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term == nil {
		return nil, &rpc.Fault{Code: rpc.CodeNotOwner, Reason: "this entry VM does not own the cell", RetryAfter: retryOwner}
	}
	return d.term, nil
}

// IsOwner reports whether this VM owns the cell and has read its state.
func (d *Dispatcher) IsOwner() bool {
	t, err := d.current()
	return err == nil && t != nil
}

// Offer tells the owner of accepted work, so that it need not wait for the store to tell.
func (d *Dispatcher) Offer(ctx context.Context, works []job.Work) error {
	t, err := d.current()
	if err != nil {
		return err
	}
	_, err = ask(ctx, t, func() struct{} {
		t.offer(works)
		return struct{}{}
	})
	return err
}

// Accept makes a work durable; a repeat of an ID is the same work. CodeNotOwner and CodeRefused mean that
// nothing was done, any other error that the work may be accepted.
func (d *Dispatcher) Accept(ctx context.Context, w *job.Work) error {
	taken, err := d.durably(ctx, func(t *term) (bool, chan error) { return t.accept(w) })
	if err == nil && !taken {
		return &rpc.Fault{Code: rpc.CodeNotOwner, Reason: "this entry VM cannot accept work just now", RetryAfter: retryOwner}
	}
	return err
}

// durably decides something on the loop and waits until that is durable, or tells that it was not taken.
func (d *Dispatcher) durably(ctx context.Context, decide func(*term) (taken bool, done chan error)) (bool, error) {
	t, err := d.current()
	if err != nil {
		return false, err
	}
	type outcome struct {
		taken bool
		done  chan error
	}
	o, err := ask(ctx, t, func() outcome {
		taken, done := decide(t)
		return outcome{taken, done}
	})
	if err != nil || !o.taken {
		return false, err
	}
	return true, t.settled(ctx, o.done)
}

// settled waits until what was decided is durable, or given up unsent.
func (t *term) settled(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-t.ctx.Done():
		return errTermClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Status gives the durable state of a work; it is CodeNotFound where the owner does not hold it.
func (d *Dispatcher) Status(ctx context.Context, id string) (job.WorkState, error) {
	t, err := d.current()
	if err != nil {
		return "", err
	}
	state, err := ask(ctx, t, func() job.WorkState { return t.shown(id) })
	if err != nil {
		return "", err
	}
	if state == "" {
		return "", &rpc.Fault{Code: rpc.CodeNotFound, Reason: "no such work"}
	}
	return state, nil
}

// Cancel ends a work; it returns once that is durable. It is CodeNotFound where the owner does not
// hold the work.
func (d *Dispatcher) Cancel(ctx context.Context, id string) error {
	known, err := d.durably(ctx, func(t *term) (bool, chan error) { return t.cancel(id) })
	if err == nil && !known {
		return &rpc.Fault{Code: rpc.CodeNotFound, Reason: "no such work"}
	}
	return err
}

// Waiting counts the accepted works of a queue of which no task has started.
func (d *Dispatcher) Waiting(ctx context.Context, queue string) (int, error) {
	t, err := d.current()
	if err != nil {
		return 0, err
	}
	if !t.current() {
		return 0, rpc.Refused(retryOwner, "the store has not confirmed for a while that this entry VM owns the cell")
	}
	return ask(ctx, t, func() int { return t.waiting(queue) })
}
