package health

import (
	"context"
	"errors"
	"sync"
	"time"

	"turmericgap/store"
)

const (
	// maxFailures is the number of consecutive failed calls after which the store counts as failing. A single failure
	// can be a lost response, or a watch that the store has closed.
	maxFailures = 2
	// silenceFactor is the multiple of the mean latency after which a pending call makes the store count as silent.
	silenceFactor = 6
	// minSilence is twenty times the usual latency of 4 ms, which also covers a process that was not scheduled for a
	// while. maxSilence is twice the latency of a slow store.
	minSilence = 80 * time.Millisecond
	maxSilence = 700 * time.Millisecond
	// latencyWeight is the weight of the newest call in the moving average of the latency.
	latencyWeight = 0.2
	// maxContactGap is the longest time between two responses in unbroken contact. An idle process renews a lease more
	// often than that.
	maxContactGap = 500 * time.Millisecond
)

// Monitor tracks the store's responses to this process.
type Monitor struct {
	mu         sync.Mutex
	lastAnswer time.Time
	// contactSince is since when the store has responded without a break, zero if the last call failed.
	contactSince time.Time
	// meanLatency is the moving average of the latency of answered calls. Watches are excluded, since they wait for
	// changes.
	meanLatency time.Duration
	// failures counts the failed calls since the last response; unknown counts those with an unknown outcome.
	failures, unknown streak
	// pending holds the send time of each call without a response.
	pending map[int64]time.Time
	calls   int64
	// revisions holds the revisions that the responses have shown.
	revisions Revisions
}

// New returns a Monitor and a store that passes calls to s and reports them to the Monitor.
func New(s *store.Store) (*Monitor, *store.Store) {
	m := &Monitor{lastAnswer: time.Now(), pending: make(map[int64]time.Time)}
	return m, &store.Store{
		Range: func(ctx context.Context, r store.Range) (store.RangeResult, error) {
			sent := time.Now()
			res, err := observe(ctx, m, func() (store.RangeResult, error) { return s.Range(ctx, r) })
			if err == nil {
				m.revisions.Record(res.Revision, sent)
			}
			return res, err
		},
		Txn: func(ctx context.Context, t store.Txn) (store.TxnResult, error) {
			sent := time.Now()
			res, err := observe(ctx, m, func() (store.TxnResult, error) { return s.Txn(ctx, t) })
			if err == nil {
				m.revisions.Record(res.Revision, sent)
			}
			return res, err
		},
		Grant: func(ctx context.Context, ttl time.Duration) (int64, error) {
			return observe(ctx, m, func() (int64, error) { return s.Grant(ctx, ttl) })
		},
		KeepAlive: func(ctx context.Context, lease int64) (time.Duration, error) {
			return observe(ctx, m, func() (time.Duration, error) { return s.KeepAlive(ctx, lease) })
		},
		Revoke: func(ctx context.Context, lease int64) error {
			_, err := observe(ctx, m, func() (struct{}, error) { return struct{}{}, s.Revoke(ctx, lease) })
			return err
		},
		Watch: func(ctx context.Context, prefix string, from int64, each func(store.Batch)) error {
			err := s.Watch(ctx, prefix, from, func(b store.Batch) {
				m.recordResult(nil)
				if len(b.Events) == 0 && !b.AsOf.IsZero() { // a response with events may leave later ones to the next
					m.revisions.Record(b.Revision, b.AsOf)
				}
				each(b)
			})
			if ctx.Err() == nil {
				m.recordResult(err)
			}
			return err
		},
	}
}

// LastAnswer returns the time of the store's last response.
func (m *Monitor) LastAnswer() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastAnswer
}

// Ahead returns for how long the store is known to have been ahead of a revision, or 0 if it is not known to be.
func (m *Monitor) Ahead(revision int64) time.Duration { return m.revisions.Ahead(revision) }

// Contact returns for how long the store has responded to this process without a break: without a failed call, and without
// a gap in which it may have been away unnoticed.
func (m *Monitor) Contact() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.contactSince.IsZero() || time.Since(m.lastAnswer) > maxContactGap {
		return 0
	}
	return time.Since(m.contactSince)
}

// Failing reports whether the store is failing, and since when. It is failing if consecutive calls have failed, or if
// a call has been pending for much longer than the mean latency and no response has arrived since it was sent.
func (m *Monitor) Failing() (since time.Time, failing bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failures.count >= maxFailures {
		return m.failures.since, true
	}
	return m.overdue()
}

// Silent is like Failing but ignores failed calls that did not take effect: a store that rejects calls can still be
// called, since the outcome of each call is known.
func (m *Monitor) Silent() (since time.Time, silent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unknown.count >= maxFailures {
		return m.unknown.since, true
	}
	return m.overdue()
}

// overdue reports whether a call has been pending for too long, and since when.
func (m *Monitor) overdue() (since time.Time, isOverdue bool) {
	oldest := m.oldestPending()
	if oldest.IsZero() || time.Since(oldest) < m.silenceLimit() {
		return time.Time{}, false
	}
	return oldest, true
}

// oldestPending returns the earliest send time of the pending calls that were sent after the last response, or zero
// if there are none.
func (m *Monitor) oldestPending() time.Time {
	var oldest time.Time
	for _, at := range m.pending {
		if at.After(m.lastAnswer) && (oldest.IsZero() || at.Before(oldest)) {
			oldest = at
		}
	}
	return oldest
}

func (m *Monitor) silenceLimit() time.Duration {
	return min(max(silenceFactor*m.meanLatency, minSilence), maxSilence)
}

// observe makes a call and records its result. A call that was canceled by its caller is ignored, since it says nothing
// about the store.
func observe[T any](ctx context.Context, m *Monitor, call func() (T, error)) (T, error) {
	sent := time.Now()
	id := m.begin(sent)
	res, err := call()
	m.end(id)
	if errors.Is(ctx.Err(), context.Canceled) {
		return res, err
	}
	if m.recordResult(err) {
		m.updateLatency(time.Since(sent))
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

// recordResult records the result of a call and reports whether the store responded.
func (m *Monitor) recordResult(err error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil && !errors.Is(err, store.ErrLeaseGone) && !errors.Is(err, store.ErrCompacted) && !errors.Is(err, store.ErrInvalid) {
		m.contactSince = time.Time{}
		m.failures.add()
		if !store.NotApplied(err) {
			m.unknown.add()
		}
		return false
	}
	now := time.Now()
	if m.contactSince.IsZero() || now.Sub(m.lastAnswer) > maxContactGap {
		m.contactSince = now
	}
	m.lastAnswer, m.failures, m.unknown = now, streak{}, streak{}
	return true
}

// streak counts consecutive failed calls and holds the time of the first one.
type streak struct {
	count int
	since time.Time
}

func (s *streak) add() {
	if s.count++; s.count == 1 {
		s.since = time.Now()
	}
}

func (m *Monitor) updateLatency(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meanLatency += time.Duration(latencyWeight * float64(took-m.meanLatency))
}
