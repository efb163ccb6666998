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

// errTermClosed is returned when this VM no longer owns the cell.
var errTermClosed = errors.New("this entry VM no longer owns the cell")

// ownerRetryAfter is the retry hint while the cell has no owner, about the duration of a takeover.
const ownerRetryAfter = time.Second

// Dispatcher serves requests for the cell while this entry VM owns it.
type Dispatcher struct {
	o    *Options
	mu   sync.Mutex
	term *term
}

// New returns a Dispatcher that is idle until its first tenure.
func New(opts ...Option) *Dispatcher { return &Dispatcher{o: newOptions(opts)} }

// RunTenure runs the cell's work until ctx ends. An owner.Group calls it at the start of each tenure.
func (d *Dispatcher) RunTenure(ctx context.Context, tenure *owner.Tenure) {
	t := newTerm(ctx, d.o, tenure)
	defer t.close()
	if !t.recover() {
		return
	}
	d.setTerm(t)
	defer d.setTerm(nil)
	t.loop()
}

func (d *Dispatcher) setTerm(t *term) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.term = t
}

func (d *Dispatcher) currentTerm() (*term, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term == nil {
		return nil, &rpc.Fault{Code: rpc.CodeNotOwner, Reason: "this entry VM does not own the cell", RetryAfter: ownerRetryAfter}
	}
	return d.term, nil
}

// IsOwner reports whether this VM owns the cell and has loaded its state.
func (d *Dispatcher) IsOwner() bool {
	t, err := d.currentTerm()
	return err == nil && t != nil
}

// Offer passes accepted work to the owner directly, without the delay of the store's watch.
func (d *Dispatcher) Offer(ctx context.Context, works []job.Work) error {
	t, err := d.currentTerm()
	if err != nil {
		return err
	}
	_, err = callLoop(ctx, t, func() struct{} {
		t.offer(works)
		return struct{}{}
	})
	return err
}

// Accept makes a work durable. Accepting the same ID again is idempotent. CodeNotOwner and CodeRefused mean that
// nothing was done; after any other error the work may have been accepted.
func (d *Dispatcher) Accept(ctx context.Context, w *job.Work) error {
	accepted, err := d.decideDurably(ctx, func(t *term) (bool, chan error) {
		if ctx.Err() != nil {
			return false, nil // a later submission of a caller that has gone may have been refused meanwhile
		}
		return t.accept(w)
	})
	if err == nil && !accepted {
		return &rpc.Fault{Code: rpc.CodeNotOwner, Reason: "this entry VM cannot accept work just now", RetryAfter: ownerRetryAfter}
	}
	return err
}

// decideDurably runs decide on the loop and waits until its result is durable. It returns false if nothing was decided.
func (d *Dispatcher) decideDurably(ctx context.Context, decide func(*term) (ok bool, done chan error)) (bool, error) {
	t, err := d.currentTerm()
	if err != nil {
		return false, err
	}
	type outcome struct {
		decided bool
		done    chan error
	}
	o, err := callLoop(ctx, t, func() outcome {
		decided, done := decide(t)
		return outcome{decided, done}
	})
	if err != nil || !o.decided {
		return false, err
	}
	return true, t.awaitCommit(ctx, o.done)
}

// awaitCommit waits until a decision is durable or was withdrawn unsent.
func (t *term) awaitCommit(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-t.ctx.Done():
		return errTermClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Status returns the durable state of a work for a caller of an account, or CodeNotFound if the owner does not hold it or
// it belongs to another account.
func (d *Dispatcher) Status(ctx context.Context, id, account string) (job.WorkState, error) {
	t, err := d.currentTerm()
	if err != nil {
		return "", err
	}
	state, err := callLoop(ctx, t, func() job.WorkState { return t.durableStateOf(id, account) })
	if err != nil {
		return "", err
	}
	if state == "" {
		return "", &rpc.Fault{Code: rpc.CodeNotFound, Reason: "no such work"}
	}
	return state, nil
}

// Cancel cancels a work for a caller of an account and returns once the cancellation is durable. It returns CodeNotFound
// if the owner does not hold the work or it belongs to another account.
func (d *Dispatcher) Cancel(ctx context.Context, id, account string) error {
	known, err := d.decideDurably(ctx, func(t *term) (bool, chan error) { return t.cancel(id, account) })
	if err == nil && !known {
		return &rpc.Fault{Code: rpc.CodeNotFound, Reason: "no such work"}
	}
	return err
}

// Waiting returns the number of accepted works in a queue that have not started any task.
func (d *Dispatcher) Waiting(ctx context.Context, queue string) (int, error) {
	t, err := d.currentTerm()
	if err != nil {
		return 0, err
	}
	if !t.tenure.Confirmed(countGrace) {
		return 0, rpc.Refused(ownerRetryAfter,
			"the store has not confirmed for a while that this entry VM owns the cell")
	}
	return callLoop(ctx, t, func() int { return t.countWaiting(queue) })
}
