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

// Defaults.
const (
	DefaultTTL = 5 * time.Second
	// DefaultClockDrift covers a clock that runs a tenth slower than the service's.
	DefaultClockDrift = 500 * time.Millisecond
	// renewals is how many renewals are sent within one TTL.
	renewals = 3
)

// Holder keeps one lease alive.
type Holder struct {
	store *store.Store
	ttl   time.Duration
	drift time.Duration
	renew time.Duration
	// overlap lets renewals be sent while earlier ones have no answer.
	overlap bool
	lost    func(int64)
	log     *zap.Logger

	ctx    context.Context
	cancel context.CancelFunc
	ended  chan struct{}

	mu       sync.Mutex
	id       int64
	gone     int64 // the last lease that the service said is gone
	deadline time.Time
	closed   bool
	changed  chan struct{}
}

// New returns a holder that asks for its lease at once and then keeps it alive.
func New(s *store.Store, opts ...Option) *Holder {
	h := &Holder{
		store: s, ttl: DefaultTTL, drift: DefaultClockDrift, lost: func(int64) {}, log: zap.NewNop(),
		ended: make(chan struct{}), changed: make(chan struct{}),
	}
	for _, o := range opts {
		o(h)
	}
	if h.renew == 0 {
		h.renew = h.ttl / renewals
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(h.ended)
		h.run()
	}()
	return h
}

// ID gives the lease's identity, or zero when there is none; the lease may have lapsed.
func (h *Holder) ID() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.id
}

// Deadline gives the moment from which the lease is not to be trusted.
func (h *Holder) Deadline() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.deadline
}

// Valid reports whether the service surely still keeps the lease.
func (h *Holder) Valid() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.id != 0 && !h.closed && before(time.Now(), h.deadline, h.deadline.Round(0))
}

// ValidWithGrace reports whether the service kept the lease until no longer ago than grace. Like Valid it asks
// both clocks, so that a VM that was suspended does not take its lease for fresh.
func (h *Holder) ValidWithGrace(grace time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	until := h.deadline.Add(grace)
	return h.id != 0 && !h.closed && before(time.Now(), until, until.Round(0))
}

// before asks the monotonic clock and the wall clock, and both must agree. The monotonic clock of a
// VM that was suspended may not have moved; its holder would trust a lease that lapsed meanwhile.
func before(now, deadline, wall time.Time) bool {
	return now.Before(deadline) && now.Round(0).Before(wall)
}

// Wait waits until the lease is valid and gives its ID.
func (h *Holder) Wait(ctx context.Context) (int64, error) {
	for {
		h.mu.Lock()
		id, valid, changed := h.id, h.id != 0 && before(time.Now(), h.deadline, h.deadline.Round(0)), h.changed
		h.mu.Unlock()
		if valid {
			return id, nil
		}
		select {
		case <-changed:
		case <-h.ended:
			return 0, context.Canceled
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// Close stops trusting the lease, ends the renewals and revokes it.
func (h *Holder) Close(ctx context.Context) error {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.cancel()
	<-h.ended
	id := h.ID()
	if id == 0 {
		return nil
	}
	if err := h.store.Revoke(ctx, id); err != nil && !errors.Is(err, store.ErrLeaseGone) {
		return err
	}
	return nil
}

// run keeps the lease. With overlapping renewals it sends them in step with the clock, whether or not
// those before have been answered: at a store that takes longer for an answer than the pause between
// them, the lease is still kept.
func (h *Holder) run() {
	b := retry.New(retry.Bounds(retry.DefaultMin, h.renew))
	var calls sync.WaitGroup
	defer calls.Wait()
	for h.ctx.Err() == nil {
		if h.overlap && h.ID() != 0 {
			calls.Go(func() { h.report(h.once()) })
			h.pause(h.renew)
			continue
		}
		if err := h.once(); err != nil {
			h.report(err)
			h.pause(b.Next())
			continue
		}
		b.Reset()
		h.pause(h.renew)
	}
}

func (h *Holder) report(err error) {
	if err != nil && h.ctx.Err() == nil {
		h.log.Warn("lease: renewal failed", zap.Int64("lease", h.ID()), zap.Error(err))
	}
}

func (h *Holder) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-h.ctx.Done():
	case <-t.C:
	}
}

// once makes one call: a renewal, or a grant when there is no lease. The call ends in time for the
// next try, so that one message that is lost does not cost the lease; where renewals overlap, an answer
// helps as long as the lease lasts.
func (h *Holder) once() error {
	within := h.renew
	if h.overlap {
		within = h.ttl
	}
	ctx, cancel := context.WithTimeout(h.ctx, within)
	defer cancel()
	sent := time.Now() // Read before the call: the service may count from any later moment.
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
		if h.forget(id) {
			h.lost(id)
		}
		return err
	}
	if err != nil {
		return err
	}
	h.extend(id, sent, min(ttl, h.ttl))
	return nil
}

// extend notes a renewal. Answers may overtake each other, and one may be for a lease that is gone.
func (h *Holder) extend(id int64, sent time.Time, ttl time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	deadline := sent.Add(ttl - h.drift)
	if h.id == id && deadline.Before(h.deadline) || id == h.gone {
		return
	}
	h.id, h.deadline = id, deadline
	h.wake()
}

// forget drops a lease that is gone, and reports whether it was the present one.
func (h *Holder) forget(id int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.id != id {
		return false
	}
	h.id, h.deadline, h.gone = 0, time.Time{}, id
	h.wake()
	return true
}

func (h *Holder) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}
