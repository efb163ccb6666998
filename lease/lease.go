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
	// DefaultDrift covers a clock that runs a tenth slower than the service's.
	DefaultDrift = 500 * time.Millisecond
	// renewals is how many renewals are sent within one TTL.
	renewals = 3
)

// Holder keeps one lease alive.
type Holder struct {
	store *store.Store
	ttl   time.Duration
	drift time.Duration
	renew time.Duration
	lost  func(int64)
	log   *zap.Logger

	ctx    context.Context
	cancel context.CancelFunc
	ended  chan struct{}

	mu       sync.Mutex
	id       int64
	deadline time.Time
	closed   bool
	changed  chan struct{}
}

// New returns a holder that asks for its lease at once and then keeps it alive.
func New(s *store.Store, opts ...Option) *Holder {
	h := &Holder{
		store: s, ttl: DefaultTTL, drift: DefaultDrift, lost: func(int64) {}, log: zap.NewNop(),
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

func (h *Holder) run() {
	b := retry.New(retry.Between(retry.DefaultMin, h.renew))
	for h.ctx.Err() == nil {
		err := h.once()
		if err == nil {
			b.Reset()
			h.pause(h.renew)
			continue
		}
		h.log.Warn("lease: renewal failed", zap.Int64("lease", h.ID()), zap.Error(err))
		h.pause(b.Next())
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
// next try, so that one message that is lost does not cost the lease.
func (h *Holder) once() error {
	ctx, cancel := context.WithTimeout(h.ctx, h.renew)
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
		h.forget()
		h.lost(id)
		return err
	}
	if err != nil {
		return err
	}
	h.extend(id, sent, min(ttl, h.ttl))
	return nil
}

func (h *Holder) extend(id int64, sent time.Time, ttl time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.id = id
	h.deadline = sent.Add(ttl - h.drift)
	h.wake()
}

func (h *Holder) forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.id, h.deadline = 0, time.Time{}
	h.wake()
}

func (h *Holder) wake() {
	close(h.changed)
	h.changed = make(chan struct{})
}
