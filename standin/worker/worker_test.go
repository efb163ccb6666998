package worker

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"turmericgap/history"
	"turmericgap/job"
	"turmericgap/worker"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

var info = worker.Info{ID: "w", Has: job.Resources{Millicores: 4000, MemoryMB: 4000, Accelerators: 1}}

// Guards against accounting errors after starts, repeats, stops and forgets in any order, and after freezes. The
// usage must be the sum of the running attempts, and the checker must find neither an exceeded capacity nor
// concurrent attempts of a task.
func TestAnyOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The struct hides T.Deadline from rapid, since it must not be called in a synctest bubble.
		rapid.Check(struct{ rapid.TB }{t}, func(t *rapid.T) {
			checker := history.New()
			w := New(info, RejectInvalid(), Record(checker.Record))
			defer w.Close()
			for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
				id := fmt.Sprintf("j%d/0/%d", rapid.IntRange(0, 5).Draw(t, "job"), w.State().Starts)
				old := fmt.Sprintf("j%d/0/%d", rapid.IntRange(0, 5).Draw(t, "job"), rapid.IntRange(0, i).Draw(t, "attempt"))
				step(t, w, id, old)
				running := job.Resources{}
				w.mu.Lock()
				for _, a := range w.attempts {
					if a.state == worker.Running {
						running = running.Plus(a.start.Resources)
					}
				}
				w.mu.Unlock()
				if s := w.State(); s.Used != running || s.Kept > i+1 {
					t.Fatalf("worker reports usage %+v, running attempts use %+v, %d attempts are kept", s.Used, running, s.Kept)
				}
			}
			for _, f := range checker.Check() {
				if f.Path == "worker w" {
					t.Fatal(f)
				}
			}
		})
	})
}

func step(t *rapid.T, w *Worker, id, old string) {
	ctx := t.Context()
	each := job.Resources{Millicores: int64(rapid.IntRange(1, 3).Draw(t, "cores")) * 1000, MemoryMB: 1000}
	switch rapid.IntRange(0, 5).Draw(t, "step") {
	case 0, 1:
		_, _ = w.Start(ctx, &worker.Start{Attempt: id, Resources: each, LeaseMillis: 1000})
	case 2:
		_, _ = w.Start(ctx, &worker.Start{Attempt: old, Resources: each, LeaseMillis: 1000})
	case 3:
		_, _ = w.Act(ctx, &worker.Act{Attempt: old, Verb: worker.Stop})
	case 4:
		_, _ = w.Heartbeat(ctx, &worker.Heartbeat{LeaseMillis: 1000, Forget: []string{id, old}})
	default:
		w.SetFault(Fault{Frozen: true})
		time.Sleep(time.Duration(rapid.IntRange(0, 2000).Draw(t, "frozen")) * time.Millisecond)
		w.SetFault(Fault{})
	}
}

// Guards against events that do not reach the checker: two starts that exceed the capacity of a worker must be found.
func TestCheckerReceivesEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		checker := history.New()
		w := New(info, Record(checker.Record))
		defer w.Close()
		for _, id := range []string{"j1/0/1", "j2/0/1"} {
			_, err := w.Start(t.Context(), &worker.Start{Attempt: id, Resources: job.Resources{Millicores: 3000}})
			is.NoErr(err)
		}
		is.Equal(len(checker.Check()), 1)
		is.Equal(checker.Check()[0].Path, "worker w")
	})
}

// Guards against a renewal that revives an expired attempt. It happens if a process is paused beyond the lease and
// then reads a queued renewal before the timer of the lease runs; the owner has given the attempt up by then.
func TestRenewalBeforeLateTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := New(info)
		defer w.Close()
		_, err := w.Start(t.Context(), &worker.Start{Attempt: "j/0/1", Service: true, LeaseMillis: 1000})
		is.NoErr(err)
		w.mu.Lock()
		w.attempts["j/0/1"].leaseTimer.Stop()
		w.mu.Unlock()
		time.Sleep(time.Second)
		h, err := w.Heartbeat(t.Context(), &worker.Heartbeat{LeaseMillis: 1000})
		is.NoErr(err)
		is.Equal(h.Reports[0].State, worker.Stopped)
	})
}
