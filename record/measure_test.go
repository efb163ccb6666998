package record_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/record"
	"turmericgap/record/load"
	"turmericgap/store"
	"turmericgap/store/memory"
)

const (
	callTakes = 5 * time.Millisecond
	// cellCalls is what the journals of a cell may ask of the store a second.
	cellCalls = 100
	epochKey  = record.Prefix + "kochi-hall/epoch"
)

// The store's budget has to last for the cell at each rate; the figures are printed with -v.
func TestMeasureWrites(t *testing.T) {
	t.Log(load.RowHeader)
	for _, starts := range []float64{10, 100, 330} {
		for _, zones := range []int{1, 6} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				service := memory.New()
				plan := load.DefaultPlan()
				plan.Starts, plan.Zones = starts, zones
				got, err := load.Run(context.Background(), plan, func() *store.Store {
					f := &memory.Faults{}
					f.Delay(callTakes)
					return service.Client(f)
				})
				t.Log(got.Row(plan))
				is.NoErr(err)
				is.True(got.CallsPerSecond() < cellCalls)
				is.Equal(got.Refused+got.Lost+got.Failed, int64(0))
				keys, _ := service.Size()
				is.Equal(keys, 0) // the load removes what it wrote
			})
		}
	}
}

// full opens the journal of an owner who made live records durable, over and over, with snapshots.
func full(tb testing.TB, s *store.Store, live, times int) int64 {
	ctx := context.Background()
	res, err := s.Txn(ctx, store.Txn{Then: []store.Op{{Key: epochKey}}})
	if err != nil {
		tb.Fatal(err)
	}
	j, err := record.Open(ctx, s, "kochi-hall", epochKey, res.Revision, record.Rate(1000, 1000))
	if err != nil {
		tb.Fatal(err)
	}
	state := make([]record.Record, live)
	for i := range state {
		state[i] = record.Record{Kind: "task", Key: fmt.Sprintf("kochi-hall-%08d", i), Data: make([]byte, 200)}
	}
	for range times {
		for from := 0; from < live; from += 100 {
			if err := j.Append(state[from:from+100], func(error) {}); err != nil {
				tb.Fatal(err)
			}
		}
		was := j.Stats().Snapshots // a snapshot may be over before the next line
		if err := j.Snapshot(state); err != nil {
			tb.Fatal(err)
		}
		for j.Stats().Snapshots == was {
			time.Sleep(10 * time.Millisecond)
		}
	}
	if err := j.Close(ctx); err != nil {
		tb.Fatal(err)
	}
	return res.Revision
}

func recovered(tb testing.TB, s *store.Store, revision int64) int {
	j, err := record.Open(context.Background(), s, "kochi-hall", epochKey, revision)
	if err != nil {
		tb.Fatal(err)
	}
	found := 0
	if err := j.Replay(func(record.Record) error { found++; return nil }); err != nil {
		tb.Fatal(err)
	}
	_ = j.Close(context.Background()) // nothing was appended
	return found
}

// Recovery follows what is live: the history behind it is ten times as long and leaves no trace.
func TestMeasureRecovery(t *testing.T) {
	t.Log("live records | calls  virtual ms at 5 ms a call | bytes a live record in the store")
	for _, live := range []int{100, 1000, 10000} {
		synctest.Test(t, func(t *testing.T) {
			s, f := memory.New(), &memory.Faults{}
			revision := full(t, s.Store(), live, 10)
			_, size := s.Size()
			f.Delay(callTakes)
			start := time.Now()
			is.New(t).Equal(recovered(t, s.Client(f), revision), live)
			t.Logf("%12d | %5d %11d | %d", live, f.Calls(), time.Since(start).Milliseconds(), size/live)
		})
	}
}

// BenchmarkRecover tells what recovery costs beside the store's answers.
func BenchmarkRecover(b *testing.B) {
	for _, live := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(live), func(b *testing.B) {
			s := memory.New().Store()
			revision := full(b, s, live, 1)
			b.ReportAllocs()
			for b.Loop() {
				if recovered(b, s, revision) != live {
					b.Fatal("records are missing")
				}
			}
		})
	}
}
