package memory

import (
	"context"
	"errors"
	"sync"
	"time"

	"turmericgap/store"
)

// DefaultCallTimeout bounds a call that a cut network leaves without an answer.
const DefaultCallTimeout = 5 * time.Second

// Faults is what goes wrong between one client and the service; all of it may be changed at any time.
type Faults struct {
	mu       sync.Mutex
	down     bool
	reset    bool
	cut      bool
	delay    time.Duration
	lose     int
	loseAll  bool
	late     int
	lateBy   time.Duration
	calls    int64
	watching int
	changed  chan struct{}
}

func (f *Faults) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	if f.changed != nil {
		close(f.changed)
	}
	f.changed = make(chan struct{})
}

// Down makes every call fail at once with store.ErrNotSent and ends the watches.
func (f *Faults) Down(on bool) { f.set(func() { f.down = on }) }

// Reset is like Down, but calls do not tell that they were not carried out, as when connections are reset.
func (f *Faults) Reset(on bool) { f.set(func() { f.down, f.reset = on, on }) }

// IsDown reports whether calls fail at once.
func (f *Faults) IsDown() bool { return f.state().down }

// Cut drops every message in both directions: calls wait, then fail without telling what became of
// them, and watches hear nothing until they fail.
func (f *Faults) Cut(on bool) { f.set(func() { f.cut = on }) }

// Delay makes each call take d, half of it before the service acts.
func (f *Faults) Delay(d time.Duration) { f.set(func() { f.delay = d }) }

// LoseAnswer makes calls take effect and then fail.
func (f *Faults) LoseAnswer(on bool) { f.set(func() { f.loseAll = on }) }

// LoseNext makes the next n calls that are not reads take effect and then fail.
func (f *Faults) LoseNext(n int) { f.set(func() { f.lose = n }) }

// DeferNext makes the next n writes fail at once and take effect after d, as messages do that the
// network held back.
func (f *Faults) DeferNext(n int, d time.Duration) { f.set(func() { f.late, f.lateBy = n, d }) }

// Calls counts the calls so far; a watch counts as one.
func (f *Faults) Calls() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// WatchCount counts the watches that wait now.
func (f *Faults) WatchCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watching
}

// faultState is one reading of the faults.
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

// before is the way of a call to the service.
func (f *Faults) before(ctx context.Context) error {
	f.mu.Lock()
	f.calls++
	f.mu.Unlock()
	if st := f.state(); st.down {
		if st.reset {
			return errLost
		}
		return errors.Join(store.ErrNotSent, errLost)
	}
	return f.travel(ctx)
}

// after is the way of an answer back.
func (f *Faults) after(ctx context.Context, write bool) error {
	f.mu.Lock()
	lost := f.loseAll
	if write && f.lose > 0 {
		f.lose--
		lost = true
	}
	f.mu.Unlock()
	if lost {
		return errLost
	}
	return f.travel(ctx)
}

// travel takes half of the delay; a message that meets a cut is lost.
func (f *Faults) travel(ctx context.Context) error {
	st := f.state()
	if st.delay > 0 && !st.cut {
		if err := wait(ctx, st.delay/2, nil); err != nil {
			return err
		}
		st = f.state()
	}
	if !st.cut {
		if st.down {
			return errLost
		}
		return nil
	}
	if err := wait(ctx, DefaultCallTimeout, st.changed); err != nil {
		return err
	}
	return errLost
}

func wait(ctx context.Context, d time.Duration, early <-chan struct{}) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return errors.Join(errLost, ctx.Err())
	case <-t.C:
	case <-early:
	}
	return nil
}

// Client gives a client whose calls go through f.
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
			return s.watchThrough(ctx, f, prefix, from, each)
		},
	}
}

func (f *Faults) takeLate(write bool) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !write || f.late == 0 {
		return 0, false
	}
	f.late--
	return f.lateBy, true
}

func call[T any](ctx context.Context, f *Faults, write bool, do func() (T, error)) (T, error) {
	var zero T
	if err := f.before(ctx); err != nil {
		return zero, err
	}
	if d, late := f.takeLate(write); late {
		time.AfterFunc(d, func() { _, _ = do() }) // nobody waits for its answer any more
		return zero, errLost
	}
	res, err := do()
	if lost := f.after(ctx, write); lost != nil {
		return zero, lost
	}
	return res, err
}

func (s *Service) watchThrough(ctx context.Context, f *Faults, prefix string, from int64, each func(store.Batch)) error {
	if err := f.before(ctx); err != nil {
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
	go f.breakWatch(ctx, cancel)
	err := s.watch(ctx, prefix, from, func(b store.Batch) {
		if f.travel(ctx) != nil {
			cancel(errLost)
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

// breakWatch ends a watch whose network stays cut or whose service goes down.
func (f *Faults) breakWatch(ctx context.Context, cancel context.CancelCauseFunc) {
	for ctx.Err() == nil {
		st := f.state()
		switch {
		case st.down:
			cancel(errLost)
		case st.cut:
			_ = wait(ctx, DefaultCallTimeout, st.changed)
			cancel(errLost)
		default:
			select {
			case <-ctx.Done():
			case <-st.changed:
			}
		}
	}
}
