package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/owner"
	"turmericgap/worker"
	"turmericgap/workerlist"
)

// Guards against acknowledging the end of a run to its worker before the end is durable, when the worker's entry
// expires and returns during a store outage. The worker would drop the end, and the next owner would run the task
// again.
func TestEndIsNotNotedBeforeItIsDurable(t *testing.T) {
	for _, relisted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			unresponsive := &worker.Agent{Hold: func(ctx context.Context, _ *worker.Hold) (*worker.HoldReply, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}}
			listing := worker.ListedWorker{Info: worker.Info{ID: "w", Has: job.Resources{Millicores: 4000, MemoryMB: 100}}}
			o := newOptions([]Option{Workers("workers/", func(string, []byte) (worker.ListedWorker, error) { return listing, nil },
				func(worker.Info) *worker.Agent { return unresponsive })})
			term := newTerm(t.Context(), o, &owner.Tenure{Fence: 1, Confirmed: func(time.Duration) bool { return true }})
			defer term.close()
			term.updateListing(listing)
			term.addWork(&job.Work{ID: "batch", Queue: job.Queue{MaxAttempts: 1}, Steps: []job.Step{{Tasks: 1}}, Accepted: time.Now()})
			s := term.entries["batch"].occurrences[0].stages[0]
			term.startRun(s, 0, term.nodes["w"], 1)
			ended := []worker.EndedRun{{Number: 1, Task: s.tasks[0].run.task(), Run: 1, Outcome: worker.OutcomeDone}}
			term.onHold(term.nodes["w"], &worker.HoldReply{Clock: time.Second, Ended: ended}, time.Now(), nil)
			is.Equal(term.entries["batch"].state, job.WorkCompleted)
			if relisted {
				term.changeWorkers([]workerlist.Entry{{ID: "w", Key: "workers/w", Removed: true}})
				term.updateListing(listing)
				term.onHold(term.nodes["w"], &worker.HoldReply{Clock: 2 * time.Second, Ended: ended}, time.Now(), nil)
			}
			is.Equal(term.nodes["w"].lastEndObserved, int64(0))
			for _, queued := range term.committer.queue {
				for _, effect := range queued.effects {
					effect()
				}
			}
			is.Equal(term.nodes["w"].lastEndObserved, int64(1))
		})
	}
}
