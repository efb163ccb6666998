package retry

import (
	"context"
	"math/rand/v2"
	"time"
)

// Defaults.
const (
	DefaultMin = 20 * time.Millisecond
	DefaultMax = 2 * time.Second
	factor     = 2
)

// Backoff gives the pauses between tries; it belongs to one goroutine.
type Backoff struct {
	min, max time.Duration
	next     time.Duration
}

// Option sets up a Backoff.
type Option func(*Backoff)

// Bounds bounds the pauses.
func Bounds(least, most time.Duration) Option {
	return func(b *Backoff) { b.min, b.max = least, most }
}

// New returns a Backoff that starts with its shortest pause.
func New(opts ...Option) *Backoff {
	b := &Backoff{min: DefaultMin, max: DefaultMax}
	for _, o := range opts {
		o(b)
	}
	b.next = b.min
	return b
}

// Next gives the next pause: from half to the whole of a time that doubles up to the longest.
func (b *Backoff) Next() time.Duration {
	d := b.next
	b.next = min(b.next*factor, b.max)
	return Jitter(d)
}

// Jitter spreads d over half of itself up to all of it, so that processes do not act in step.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// Sleep waits and says whether ctx still goes on.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Reset starts again with the shortest pause.
func (b *Backoff) Reset() { b.next = b.min }

// Wait pauses; it fails when ctx ends first.
func (b *Backoff) Wait(ctx context.Context) error {
	if !Sleep(ctx, b.Next()) {
		return ctx.Err()
	}
	return nil
}

// Read repeats a call that changes nothing until it succeeds or ctx ends; its last error is then given.
func Read[T any](ctx context.Context, read func(context.Context) (T, error), opts ...Option) (T, error) {
	b := New(opts...)
	for {
		res, err := read(ctx)
		if err == nil || b.Wait(ctx) != nil {
			return res, err
		}
	}
}
