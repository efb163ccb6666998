package retry

import (
	"context"
	"math/rand/v2"
	"time"
)

// Default bounds of the delays.
const (
	DefaultMin = 20 * time.Millisecond
	DefaultMax = 2 * time.Second
	factor     = 2
)

// Backoff computes the delays between retries. It must be used by one goroutine only.
type Backoff struct {
	min, max time.Duration
	next     time.Duration
}

// Option configures a Backoff.
type Option func(*Backoff)

// Bounds sets the initial and the maximum delay.
func Bounds(minDelay, maxDelay time.Duration) Option {
	return func(b *Backoff) { b.min, b.max = minDelay, maxDelay }
}

// New returns a Backoff that starts with the minimum delay.
func New(opts ...Option) *Backoff {
	b := &Backoff{min: DefaultMin, max: DefaultMax}
	for _, o := range opts {
		o(b)
	}
	b.next = b.min
	return b
}

// Next returns the next delay. The delay before jitter doubles with each call, up to the maximum.
func (b *Backoff) Next() time.Duration {
	d := b.next
	b.next = min(b.next*factor, b.max)
	return Jitter(d)
}

// Jitter returns a random duration from d/2 to d, so that processes do not retry at the same time.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// Sleep waits for d and returns true, or returns false as soon as ctx ends.
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

// Reset sets the next delay to the minimum.
func (b *Backoff) Reset() { b.next = b.min }

// Wait sleeps for the next delay. It returns the context's error if ctx ends first.
func (b *Backoff) Wait(ctx context.Context) error {
	if !Sleep(ctx, b.Next()) {
		return ctx.Err()
	}
	return nil
}

// Read retries a read-only call until it succeeds or ctx ends, and returns the last result and error.
func Read[T any](ctx context.Context, read func(context.Context) (T, error), opts ...Option) (T, error) {
	b := New(opts...)
	for {
		res, err := read(ctx)
		if err == nil || b.Wait(ctx) != nil {
			return res, err
		}
	}
}
