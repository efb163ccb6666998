package meter_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/metric"
	"turmericgap/store"
	"turmericgap/store/memory"
	"turmericgap/store/meter"
)

// Guards against calls beyond the budget, against calls that wait longer than their context, and against delayed lease
// renewals.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, faults, metrics := memory.New(), &memory.Faults{}, metric.New()
		s := meter.New(service.Client(faults), meter.Budget(10, 5), meter.Metrics(metrics))
		ctx := context.Background()
		lease, err := s.Grant(ctx, time.Minute)
		is.NoErr(err)
		start := time.Now()
		for range 24 {
			_, err := s.Range(ctx, store.Range{Key: "a"})
			is.NoErr(err)
		}
		is.Equal(time.Since(start), 2*time.Second) // 25 calls minus the burst of 5, at 10 per second
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err = s.Txn(short, store.Txn{Then: []store.Op{{Key: "a"}}})
		is.True(errors.Is(err, store.ErrBudget))
		is.True(store.NotApplied(err))
		now := time.Now()
		_, err = s.KeepAlive(ctx, lease)
		is.NoErr(err)
		is.Equal(time.Since(now), time.Duration(0))
		is.Equal(faults.Calls(), int64(26))
		is.Equal(metrics.Counter("store.calls.range").Count(), int64(24))
		is.Equal(metrics.Counter("store.budget.refused").Count(), int64(1))
	})
}

func TestWatchIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		metrics := metric.New()
		s := meter.New(memory.New().Store(), meter.Metrics(metrics))
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = s.Watch(ctx, "a", 0, func(store.Batch) {}) }()
		synctest.Wait()
		is.Equal(metrics.Gauge("store.watching").Value(), int64(1))
		is.Equal(metrics.Counter("store.calls.watch").Count(), int64(1))
		cancel()
		synctest.Wait()
		is.Equal(metrics.Gauge("store.watching").Value(), int64(0))
	})
}
