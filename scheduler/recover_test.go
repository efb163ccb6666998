package scheduler

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"turmericgap/store"
	"turmericgap/store/memory"
	"turmericgap/worker"
)

// BenchmarkRecover measures the time from a new epoch to the fully recovered state, and the memory per live task,
// for different numbers of live jobs with one running task each.
func BenchmarkRecover(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint("tasks-", n), func(b *testing.B) {
			kv := memory.New()
			res, err := kv.Store().Txn(context.Background(), store.Txn{Then: []store.Op{{Key: epochKey(testZone)}}})
			if err != nil {
				b.Fatal(err)
			}
			o := defaults()
			o.Zone, o.Store = testZone, kv.Store()
			o.Owns = func() (int64, int64, bool) { return 1, res.Revision, true }
			o.Workers = func() []worker.Info { return nil }
			writeJobs(b, o, res.Revision, n)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			b.ResetTimer()
			for b.Loop() {
				t, err := openTerm(context.Background(), o, 1, res.Revision)
				if err != nil || len(t.jobs) != n {
					b.Fatal(err, len(t.jobs))
				}
				b.StopTimer()
				runtime.GC()
				runtime.ReadMemStats(&after)
				t.close(canceledContext(), false)
				b.StartTimer()
			}
			_, stored := kv.Size()
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heapB/task")
			b.ReportMetric(float64(stored)/float64(n), "storeB/task")
		})
	}
}

// writeJobs writes n jobs with one intended task each.
func writeJobs(b *testing.B, o *Options, revision int64, n int) {
	t, err := openTerm(context.Background(), o, 1, revision)
	if err != nil {
		b.Fatal(err)
	}
	for i := range n {
		id := fmt.Sprint(testZone, ".", i)
		r := jobRecord{Spec: *spec(id, 1), Accepted: time.Now()}
		t.jobs[id] = newEntry(id, r)
		t.set(t.jobs[id], 0, taskRecord{Phase: intended, Attempt: 1, Worker: fmt.Sprint("worker-", i%130), Boot: "boot"})
	}
	if err := t.journal.Snapshot(t.snapshot()); err != nil {
		b.Fatal(err)
	}
	for t.journal.Stats().Snapshots == 0 {
		time.Sleep(time.Millisecond)
	}
	t.close(context.Background(), false)
}
