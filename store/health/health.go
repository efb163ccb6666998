package health

import (
	"context"
	"errors"
	"sync"
	"time"

	"turmericgap/store"
)

const (
	// failuresMost is how many calls in a row end without use before the store counts as failing. One is
	// a lost answer, or a watch that the store has cut.
	failuresMost = 2
	// silenceTimes is how many times the usual answer a call may take before the store counts as silent.
	silenceTimes = 6
	// silenceLeast is twenty times the answer of a store at its usual 4 ms, and covers a process that was
	// not scheduled for a while. silenceMost is twice the answer of a store that is slow.
	silenceLeast = 80 * time.Millisecond
	silenceMost  = 700 * time.Millisecond
	// usualWeight is the weight of the newest answer in the usual one.
	usualWeight = 0.2
)

// Monitor knows how the store has answered this process.
type Monitor struct {
	mu       sync.Mutex
	answered time.Time
	// usual is how long an answer usually takes; watches, which wait at the store, do not count.
	usual time.Duration
	// failures are the calls that ended without use since the last answer, open those among them whose
	// outcome is open.
	failures, open streak
	// pending holds when each call that has no answer yet was sent.
	pending map[int64]time.Time
	calls   int64
}

// New returns a monitor, and the store whose calls it sees.
func New(s *store.Store) (*Monitor, *store.Store) {
	m := &Monitor{answered: time.Now(), pending: make(map[int64]time.Time)}
	return m, &store.Store{
		Range: func(ctx context.Context, r store.Range) (store.RangeResult, error) {
			return see(ctx, m, func() (store.RangeResult, error) { return s.Range(ctx, r) })
		},
		Txn: func(ctx context.Context, t store.Txn) (store.TxnResult, error) {
			return see(ctx, m, func() (store.TxnResult, error) { return s.Txn(ctx, t) })
		},
		Grant: func(ctx context.Context, ttl time.Duration) (int64, error) {
			return see(ctx, m, func() (int64, error) { return s.Grant(ctx, ttl) })
		},
		KeepAlive: func(ctx context.Context, lease int64) (time.Duration, error) {
			return see(ctx, m, func() (time.Duration, error) { return s.KeepAlive(ctx, lease) })
		},
		Revoke: func(ctx context.Context, lease int64) error {
			_, err := see(ctx, m, func() (struct{}, error) { return struct{}{}, s.Revoke(ctx, lease) })
			return err
		},
		Watch: func(ctx context.Context, prefix string, from int64, each func(store.Batch)) error {
			err := s.Watch(ctx, prefix, from, func(b store.Batch) {
				m.note(nil)
				each(b)
			})
			if ctx.Err() == nil {
				m.note(err)
			}
			return err
		},
	}
}

// LastAnswer gives when the store last answered.
func (m *Monitor) LastAnswer() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answered
}

// Failing gives since when the store gives no answers that are of use, and whether it does so now: calls
// in a row ended without one, or calls wait for longer than answers usually take and none has come since.
func (m *Monitor) Failing() (since time.Time, failing bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failures.count >= failuresMost {
		return m.failures.since, true
	}
	return m.waits()
}

// Silent is like Failing, and leaves out calls that the store surely did not carry out: one that declines
// may be asked, since its answers are definite.
func (m *Monitor) Silent() (since time.Time, silent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.open.count >= failuresMost {
		return m.open.since, true
	}
	return m.waits()
}

// waits tells whether calls have waited for too long.
func (m *Monitor) waits() (since time.Time, waits bool) {
	oldest := m.oldest()
	if oldest.IsZero() || time.Since(oldest) < m.silence() {
		return time.Time{}, false
	}
	return oldest, true
}

// oldest is when the first call without an answer that was sent after the last answer was sent, zero if
// there is none.
func (m *Monitor) oldest() time.Time {
	var oldest time.Time
	for _, at := range m.pending {
		if at.After(m.answered) && (oldest.IsZero() || at.Before(oldest)) {
			oldest = at
		}
	}
	return oldest
}

func (m *Monitor) silence() time.Duration {
	return min(max(silenceTimes*m.usual, silenceLeast), silenceMost)
}

// see makes a call and notes how it ended. One that its caller gave up says nothing of the store.
func see[T any](ctx context.Context, m *Monitor, call func() (T, error)) (T, error) {
	sent := time.Now()
	id := m.begin(sent)
	res, err := call()
	m.end(id)
	if errors.Is(ctx.Err(), context.Canceled) {
		return res, err
	}
	if m.note(err) {
		m.learn(time.Since(sent))
	}
	return res, err
}

func (m *Monitor) begin(sent time.Time) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	m.pending[m.calls] = sent
	return m.calls
}

func (m *Monitor) end(id int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pending, id)
}

// note takes in how a call ended, and reports whether the store answered it.
func (m *Monitor) note(err error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil && !errors.Is(err, store.ErrLeaseGone) && !errors.Is(err, store.ErrCompacted) {
		m.failures.add()
		if !store.NotApplied(err) {
			m.open.add()
		}
		return false
	}
	m.answered, m.failures, m.open = time.Now(), streak{}, streak{}
	return true
}

// streak is a number of calls in a row, since the first of them.
type streak struct {
	count int
	since time.Time
}

func (s *streak) add() {
	if s.count++; s.count == 1 {
		s.since = time.Now()
	}
}

func (m *Monitor) learn(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usual += time.Duration(usualWeight * float64(took-m.usual))
}
