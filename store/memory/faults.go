package memory

import (
	"context"
	"errors"
	"sync"
	"time"

	"turmericgap/store"
)

// DefaultCallTimeout is the time after which a call without a response fails during a network cut.
const DefaultCallTimeout = 5 * time.Second

// Faults controls the faults injected between one client and the service. It is safe for concurrent use.
type Faults struct {
	mu       sync.Mutex
	down     bool
	reset    bool
	cut      bool
	delay    time.Duration
	loseN    int
	loseAll  bool
	deferN   int
	deferBy  time.Duration
	calls    int64
	watching int
	changed  chan struct{} // closed at the next update
}

func (f *Faults) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	if f.changed != nil {
		close(f.changed)
	}
	f.changed = make(chan struct{})
}

// Down makes every call fail immediately with store.ErrNotSent and ends the watches.
func (f *Faults) Down(on bool) { f.update(func() { f.down = on }) }

// Reset is like Down, but the outcome of the calls is unknown, as after a connection reset.
func (f *Faults) Reset(on bool) { f.update(func() { f.down, f.reset = on, on }) }

// IsDown reports whether calls fail immediately.
func (f *Faults) IsDown() bool { return f.state().down }

// Cut drops every message in both directions: calls time out with an unknown outcome, and watches receive nothing until
// they fail.
func (f *Faults) Cut(on bool) { f.update(func() { f.cut = on }) }

// Delay makes each call take d, one half before and one half after the service executes it.
func (f *Faults) Delay(d time.Duration) { f.update(func() { f.delay = d }) }

// LoseAnswer makes all calls take effect and then fail.
func (f *Faults) LoseAnswer(on bool) { f.update(func() { f.loseAll = on }) }

// LoseNext makes the next n calls other than reads take effect and then fail.
func (f *Faults) LoseNext(n int) { f.update(func() { f.loseN = n }) }

// DeferNext makes the next n writes fail immediately and take effect after d, as if the network delayed them.
func (f *Faults) DeferNext(n int, d time.Duration) { f.update(func() { f.deferN, f.deferBy = n, d }) }

// Calls returns the number of calls so far; a watch counts as one.
func (f *Faults) Calls() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// WatchCount returns the number of active watches.
func (f *Faults) WatchCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watching
}

// faultState is a snapshot of the faults; changed is closed at the next update.
type faultState struct {
	down, reset, cut bool
	delay            time.Duration
	changed          <-chan struct{}
}

func (f *Faults) state() faultState {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return faultState{f.down, f.reset, f.cut, f.delay, f.changed}
}

// beforeCall simulates sending a request to the service.
func (f *Faults) beforeCall(ctx context.Context) error {
	f.mu.Lock()
	f.calls++
	f.mu.Unlock()
	if st := f.state(); st.down {
		if st.reset {
			return errConnectionLost
		}
		return errors.Join(store.ErrNotSent, errConnectionLost)
	}
	return f.transmit(ctx)
}

// afterCall simulates receiving the response.
func (f *Faults) afterCall(ctx context.Context, write bool) error {
	f.mu.Lock()
	lost := f.loseAll
	if write && f.loseN > 0 {
		f.loseN--
		lost = true
	}
	f.mu.Unlock()
	if lost {
		return errConnectionLost
	}
	return f.transmit(ctx)
}

// transmit delays a message by half of the configured delay. A message sent during a cut is lost after a timeout.
func (f *Faults) transmit(ctx context.Context) error {
	st := f.state()
	if st.delay > 0 && !st.cut {
		if err := wait(ctx, st.delay/2, nil); err != nil {
			return err
		}
		st = f.state()
	}
	if !st.cut {
		if st.down {
			return errConnectionLost
		}
		return nil
	}
	if err := wait(ctx, DefaultCallTimeout, st.changed); err != nil {
		return err
	}
	return errConnectionLost
}

// wait returns nil after d or when wake is closed, and an error if ctx ends first.
func wait(ctx context.Context, d time.Duration, wake <-chan struct{}) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return errors.Join(errConnectionLost, ctx.Err())
	case <-t.C:
	case <-wake:
	}
	return nil
}

// Client returns a client that is subject to the faults f.
func (s *Service) Client(f *Faults) *store.Store {
	return &store.Store{
		Range: func(ctx context.Context, r store.Range) (store.RangeResult, error) {
			return call(ctx, f, false, func() (store.RangeResult, error) { return s.rangeKeys(ctx, r) })
		},
		Txn: func(ctx context.Context, t store.Txn) (store.TxnResult, error) {
			return call(ctx, f, true, func() (store.TxnResult, error) { return s.txn(ctx, t) })
		},
		Grant: func(ctx context.Context, ttl time.Duration) (int64, error) {
			return call(ctx, f, true, func() (int64, error) { return s.grant(ctx, ttl) })
		},
		KeepAlive: func(ctx context.Context, lease int64) (time.Duration, error) {
			return call(ctx, f, true, func() (time.Duration, error) { return s.keepAlive(ctx, lease) })
		},
		Revoke: func(ctx context.Context, lease int64) error {
			_, err := call(ctx, f, true, func() (struct{}, error) { return struct{}{}, s.revoke(ctx, lease) })
			return err
		},
		Watch: func(ctx context.Context, prefix string, from int64, each func(store.Batch)) error {
			return s.watchWithFaults(ctx, f, prefix, from, each)
		},
	}
}

func (f *Faults) takeDeferred(write bool) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !write || f.deferN == 0 {
		return 0, false
	}
	f.deferN--
	return f.deferBy, true
}

func call[T any](ctx context.Context, f *Faults, write bool, do func() (T, error)) (T, error) {
	var zero T
	if err := f.beforeCall(ctx); err != nil {
		return zero, err
	}
	if d, late := f.takeDeferred(write); late {
		time.AfterFunc(d, func() { _, _ = do() }) // the caller has already received an error
		return zero, errConnectionLost
	}
	res, err := do()
	if lost := f.afterCall(ctx, write); lost != nil {
		return zero, lost
	}
	return res, err
}

func (s *Service) watchWithFaults(ctx context.Context, f *Faults, prefix string, from int64, each func(store.Batch)) error {
	if err := f.beforeCall(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.mu.Lock()
	f.watching++
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.watching--
		f.mu.Unlock()
	}()
	go f.cancelOnFault(ctx, cancel)
	err := s.watch(ctx, prefix, from, func(b store.Batch) {
		if f.transmit(ctx) != nil {
			cancel(errConnectionLost)
		}
		if ctx.Err() == nil {
			each(b)
		}
	})
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// cancelOnFault cancels a watch when the service goes down, or when a network cut ends or has lasted for
// DefaultCallTimeout.
func (f *Faults) cancelOnFault(ctx context.Context, cancel context.CancelCauseFunc) {
	for ctx.Err() == nil {
		st := f.state()
		switch {
		case st.down:
			cancel(errConnectionLost)
		case st.cut:
			_ = wait(ctx, DefaultCallTimeout, st.changed)
			cancel(errConnectionLost)
		default:
			select {
			case <-ctx.Done():
			case <-st.changed:
			}
		}
	}
}
