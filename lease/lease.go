package lease

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"turmericgap/store"
	"turmericgap/store/retry"
)

// Default settings.
const (
	DefaultTTL = 5 * time.Second
	// DefaultClockDrift covers a clock that runs a tenth slower than the store's.
	DefaultClockDrift = 500 * time.Millisecond
	// renewalsPerTTL is the number of renewals sent within one TTL.
	renewalsPerTTL = 3
)

// Holder keeps one lease alive.
type Holder struct {
	store         *store.Store
	ttl           time.Duration
	clockDrift    time.Duration
	renewInterval time.Duration
	// overlapRenewals allows a renewal to be sent while earlier ones are unanswered.
	overlapRenewals bool
	onLost          func(int64)
	log             *zap.Logger

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	mu       sync.Mutex
	id       int64
	lastLost int64 // the last lease that the store reported as gone
	deadline time.Time
	closed   bool
	changed  chan struct{}
}

// New returns a holder that requests its lease at once and then keeps it alive.
func New(s *store.Store, opts ...Option) *Holder {
	h := &Holder{
		store: s, ttl: DefaultTTL, clockDrift: DefaultClockDrift, onLost: func(int64) {}, log: zap.NewNop(),
		done: make(chan struct{}), changed: make(chan struct{}),
	}
	for _, o := range opts {
		o(h)
	}
	if h.renewInterval == 0 {
		h.renewInterval = h.ttl / renewalsPerTTL
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(h.done)
		h.run()
	}()
	return h
}

// ID returns the ID of the lease, or zero when there is none. The lease may have expired.
func (h *Holder) ID() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.id
}

// Deadline returns the time from which the lease must not be trusted.
func (h *Holder) Deadline() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.deadline
}

// Valid reports whether the lease is certain to be still held in the store.
func (h *Holder) Valid() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.id != 0 && !h.closed && Before(h.deadline)
}

// Before reports whether a deadline has not been reached, by the monotonic and the wall clock.
func Before(deadline time.Time) bool {
	return beforeBothClocks(time.Now(), deadline, deadline.Round(0))
}

// beforeBothClocks compares both the monotonic and the wall clock, and both must agree. The monotonic clock of a
// suspended VM may have stood still, and its holder would trust a lease that expired meanwhile.
func beforeBothClocks(now, deadline, wall time.Time) bool {
	return now.Before(deadline) && now.Round(0).Before(wall)
}

// Wait waits until the lease is valid and returns its ID.
func (h *Holder) Wait(ctx context.Context) (int64, error) {
	for {
		h.mu.Lock()
		id, valid, changed := h.id, h.id != 0 && Before(h.deadline), h.changed
		h.mu.Unlock()
		if valid {
			return id, nil
		}
		select {
		case <-changed:
		case <-h.done:
			return 0, context.Canceled
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// Close stops trusting the lease, stops the renewals and revokes the lease.
func (h *Holder) Close(ctx context.Context) error {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.cancel()
	<-h.done
	id := h.ID()
	if id == 0 {
		return nil
	}
	if err := h.store.Revoke(ctx, id); err != nil && !errors.Is(err, store.ErrLeaseGone) {
		return err
	}
	return nil
}

// run keeps the lease alive. Overlapping renewals are sent at a fixed rate, whether or not earlier ones were answered:
// this keeps the lease even if the store takes longer to answer than the time between renewals.
func (h *Holder) run() {
	b := retry.New(retry.Bounds(retry.DefaultMin, h.renewInterval))
	var calls sync.WaitGroup
	defer calls.Wait()
	for h.ctx.Err() == nil {
		if h.overlapRenewals && h.ID() != 0 {
			calls.Go(func() { h.logRenewalFailure(h.renewOrGrant()) })
			h.sleep(h.renewInterval)
			continue
		}
		if err := h.renewOrGrant(); err != nil {
			h.logRenewalFailure(err)
			h.sleep(b.Next())
			continue
		}
		b.Reset()
		h.sleep(h.renewInterval)
	}
}

func (h *Holder) logRenewalFailure(err error) {
	if err != nil && h.ctx.Err() == nil {
		h.log.Warn("lease: renewal failed", zap.Int64("lease", h.ID()), zap.Error(err))
	}
}

func (h *Holder) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-h.ctx.Done():
	case <-t.C:
	}
}

// renewOrGrant makes one call: a renewal, or a grant when there is no lease. The call times out before the next
// attempt, so that one lost message does not cost the lease. With overlapping renewals, the timeout is the TTL, because
// an answer is useful as long as the lease lasts.
func (h *Holder) renewOrGrant() error {
	timeout := h.renewInterval
	if h.overlapRenewals {
		timeout = h.ttl
	}
	ctx, cancel := context.WithTimeout(h.ctx, timeout)
	defer cancel()
	sent := time.Now() // Read before the call: the store may count from any later time.
	id := h.ID()
	if id == 0 {
		id, err := h.store.Grant(ctx, h.ttl)
		if err != nil {
			return err
		}
		h.extend(id, sent, h.ttl)
		return nil
	}
	ttl, err := h.store.KeepAlive(ctx, id)
	if errors.Is(err, store.ErrLeaseGone) {
		if h.dropLease(id) {
			h.onLost(id)
		}
		return err
	}
	if err != nil {
		return err
	}
	h.extend(id, sent, min(ttl, h.ttl))
	return nil
}

// extend records a renewal. Answers may arrive out of order, and one may be for a lease that is gone.
func (h *Holder) extend(id int64, sent time.Time, ttl time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	deadline := sent.Add(ttl - h.clockDrift)
	if h.id == id && deadline.Before(h.deadline) || id == h.lastLost {
		return
	}
	h.id, h.deadline = id, deadline
	h.notifyWaiters()
}

// dropLease drops a lease that is gone, and reports whether it was the current one.
func (h *Holder) dropLease(id int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.id != id {
		return false
	}
	h.id, h.deadline, h.lastLost = 0, time.Time{}, id
	h.notifyWaiters()
	return true
}

func (h *Holder) notifyWaiters() {
	close(h.changed)
	h.changed = make(chan struct{})
}
