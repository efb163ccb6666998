package meter

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"turmericgap/metric"
	"turmericgap/store"
)

// Default budget of one process.
const (
	// DefaultRate is in calls per second.
	DefaultRate  = 50.0
	DefaultBurst = 50
)

// Names of the metrics. Those that end in a dot are prefixes; the kind of call is appended.
const (
	metricCalls    = "store.calls."
	metricErrors   = "store.errors."
	metricMillis   = "store.millis."
	metricRefused  = "store.budget.refused"
	metricWatching = "store.watching"
)

type meter struct {
	inner    *store.Store
	metrics  *metric.Registry
	rate     float64
	burst    int
	limiter  *rate.Limiter
	watching atomic.Int64
}

// Option configures a meter.
type Option func(*meter)

// Budget sets the maximum calls per second and the burst.
func Budget(perSecond float64, burst int) Option {
	return func(m *meter) { m.rate, m.burst = perSecond, burst }
}

// Metrics sets the registry for the metrics.
func Metrics(r *metric.Registry) Option { return func(m *meter) { m.metrics = r } }

// New returns a store that limits the calls of s to a budget. A call waits until the budget allows it, and fails with
// store.ErrBudget if its context would end first. Renewals and revocations of leases are charged to the budget but
// never wait, since a lease could expire while its renewal is queued behind other calls.
func New(s *store.Store, opts ...Option) *store.Store {
	m := &meter{inner: s, rate: DefaultRate, burst: DefaultBurst}
	for _, o := range opts {
		o(m)
	}
	if m.metrics == nil {
		m.metrics = metric.New()
	}
	m.limiter = rate.NewLimiter(rate.Limit(m.rate), m.burst)
	return &store.Store{
		Range: m.rangeKeys, Txn: m.txn, Grant: m.grant, KeepAlive: m.keepAlive, Revoke: m.revoke, Watch: m.watch,
	}
}

func (m *meter) acquire(ctx context.Context) error {
	if err := m.limiter.Wait(ctx); err != nil {
		m.metrics.Counter(metricRefused).Inc(1)
		return errors.Join(store.ErrBudget, err)
	}
	return nil
}

func (m *meter) charge() { m.limiter.Reserve() }

// instrument makes one call and updates the metrics for its kind.
func instrument[T any](m *meter, kind string, do func() (T, error)) (T, error) {
	m.metrics.Counter(metricCalls + kind).Inc(1)
	started := time.Now()
	res, err := do()
	m.metrics.Histogram(metricMillis + kind).Update(time.Since(started).Milliseconds())
	if err != nil {
		m.metrics.Counter(metricErrors + kind).Inc(1)
	}
	return res, err
}

func (m *meter) rangeKeys(ctx context.Context, r store.Range) (store.RangeResult, error) {
	if err := m.acquire(ctx); err != nil {
		return store.RangeResult{}, err
	}
	return instrument(m, "range", func() (store.RangeResult, error) { return m.inner.Range(ctx, r) })
}

func (m *meter) txn(ctx context.Context, t store.Txn) (store.TxnResult, error) {
	if err := m.acquire(ctx); err != nil {
		return store.TxnResult{}, err
	}
	return instrument(m, "txn", func() (store.TxnResult, error) { return m.inner.Txn(ctx, t) })
}

func (m *meter) grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := m.acquire(ctx); err != nil {
		return 0, err
	}
	return instrument(m, "grant", func() (int64, error) { return m.inner.Grant(ctx, ttl) })
}

func (m *meter) keepAlive(ctx context.Context, lease int64) (time.Duration, error) {
	m.charge()
	return instrument(m, "keepAlive", func() (time.Duration, error) { return m.inner.KeepAlive(ctx, lease) })
}

func (m *meter) revoke(ctx context.Context, lease int64) error {
	m.charge()
	_, err := instrument(m, "revoke", func() (struct{}, error) { return struct{}{}, m.inner.Revoke(ctx, lease) })
	return err
}

func (m *meter) watch(ctx context.Context, prefix string, from int64, each func(store.Batch)) error {
	if err := m.acquire(ctx); err != nil {
		return err
	}
	m.metrics.Counter(metricCalls + "watch").Inc(1)
	m.metrics.Gauge(metricWatching).Update(m.watching.Add(1))
	defer func() { m.metrics.Gauge(metricWatching).Update(m.watching.Add(-1)) }()
	return m.inner.Watch(ctx, prefix, from, each)
}
