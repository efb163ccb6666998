package memory_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/store"
	"turmericgap/store/contract"
	"turmericgap/store/memory"
)

func TestContract(t *testing.T) {
	contract.Run(t, func(*testing.T) *store.Store { return memory.New().Store() })
}

func TestContractThroughFaults(t *testing.T) {
	contract.Run(t, func(*testing.T) *store.Store { return memory.New().Client(&memory.Faults{}) })
}

func put(key string, lease int64) store.Txn {
	return store.Txn{Then: []store.Op{{Key: key, Value: []byte("value"), Lease: lease}}}
}

// A watcher sees the key of a holder that stopped renewing go, and not before its time to live ended.
func TestLeaseLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := memory.New().Store()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		start := time.Now()
		lease, err := s.Grant(ctx, 5*time.Second)
		is.NoErr(err)
		res, err := s.Txn(ctx, put("member", lease))
		is.NoErr(err)
		gone := make(chan time.Duration, 1)
		go func() {
			_ = s.Watch(ctx, "member", res.Revision+1, func(b store.Batch) {
				if b.Events[0].Deleted {
					gone <- time.Since(start)
				}
			})
		}()
		time.Sleep(4 * time.Second)
		_, err = s.KeepAlive(ctx, lease)
		is.NoErr(err)
		is.Equal(<-gone, 9*time.Second)
		_, err = s.KeepAlive(ctx, lease)
		is.True(errors.Is(err, store.ErrLeaseGone))
		cancel()
		synctest.Wait()
	})
}

// A watch that cannot resume without a gap must say so.
func TestCompacted(t *testing.T) {
	cases := map[string]func(*memory.Service){
		"bounded by number": func(*memory.Service) {},
		"by the service":    func(s *memory.Service) { s.Compact() },
	}
	for name, compact := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			service := memory.New(memory.History(3, 1<<20))
			s := service.Store()
			first, err := s.Txn(context.Background(), put("a", 0))
			is.NoErr(err)
			for range 4 {
				_, err := s.Txn(context.Background(), put("a", 0))
				is.NoErr(err)
			}
			compact(service)
			err = s.Watch(context.Background(), "a", first.Revision+1, func(store.Batch) { t.Error("a batch after a gap") })
			is.True(errors.Is(err, store.ErrCompacted))
		})
	}
}

// What a caller hears under each fault, and whether its write took effect in truth.
func TestFaults(t *testing.T) {
	cases := []struct {
		name     string
		set      func(*memory.Faults)
		failed   bool
		definite bool
		applied  bool
		took     time.Duration
	}{
		{"none", func(*memory.Faults) {}, false, false, true, 0},
		{"down", func(f *memory.Faults) { f.Down(true) }, true, true, false, 0},
		{"lost answer", func(f *memory.Faults) { f.LoseNext(1) }, true, false, true, 0},
		{"all answers lost", func(f *memory.Faults) { f.LoseAnswer(true) }, true, false, true, 0},
		{"late", func(f *memory.Faults) { f.DeferNext(1, time.Second) }, true, false, false, 0},
		{"slow", func(f *memory.Faults) { f.Delay(2 * time.Second) }, false, false, true, 2 * time.Second},
		{"slower than the caller waits", func(f *memory.Faults) { f.Delay(time.Minute) }, true, false, false, 10 * time.Second},
		{"cut", func(f *memory.Faults) { f.Cut(true) }, true, false, false, memory.DefaultCallTimeout},
		{"cut before the answer", func(f *memory.Faults) {
			f.Delay(4 * time.Second)
			time.AfterFunc(3*time.Second, func() { f.Cut(true) })
		}, true, false, true, 4*time.Second + memory.DefaultCallTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service, f := memory.New(), &memory.Faults{}
				client := service.Client(f)
				c.set(f)
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				start := time.Now()
				_, err := client.Txn(ctx, put("a", 0))
				is.Equal(time.Since(start), c.took)
				is.Equal(err != nil, c.failed)
				is.Equal(store.NotApplied(err), c.definite)
				n, _ := service.Size()
				is.Equal(n == 1, c.applied)
				is.Equal(f.Calls(), int64(1))
				time.Sleep(2 * time.Second)
				n, _ = service.Size()
				is.Equal(n == 1, c.applied || c.name == "late")
			})
		})
	}
}

// A watch through a cut network hears nothing and then fails; it resumes without a gap.
func TestWatchCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, f := memory.New(), &memory.Faults{}
		client := service.Client(f)
		ended := make(chan error, 1)
		events := 0
		watch := func(from int64) {
			ended <- client.Watch(context.Background(), "a", from, func(b store.Batch) { events += len(b.Events) })
		}
		go watch(1)
		synctest.Wait()
		is.Equal(f.WatchCount(), 1)
		f.Cut(true)
		_, err := service.Store().Txn(context.Background(), put("a", 0))
		is.NoErr(err)
		is.True(<-ended != nil)
		is.Equal(events, 0)
		f.Cut(false)
		go watch(1)
		synctest.Wait()
		is.Equal(events, 1)
		f.Down(true)
		is.True(<-ended != nil)
		is.Equal(f.WatchCount(), 0)
	})
}
