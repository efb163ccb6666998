package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/owner"
	"turmericgap/store"
	"turmericgap/worker"
)

// A task ends while the store does not answer its owner, and meanwhile its worker's entry goes and comes back,
// as entries do that lapse in an outage. The worker must not be told that the end was taken note of before
// it is durable: the next owner, which finds the task as started and the worker without any word of it,
// would start it again, and a batch would be done twice.
func TestEndIsNotNotedBeforeItIsDurable(t *testing.T) {
	for _, relisted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			silent := &worker.Agent{Hold: func(ctx context.Context, _ *worker.Hold) (*worker.HoldReply, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}}
			listing := worker.ListedWorker{Info: worker.Info{ID: "w", Has: job.Resources{Millicores: 4000, MemoryMB: 100}}}
			o := newOptions([]Option{Workers("workers/", func(string, []byte) (worker.ListedWorker, error) { return listing, nil },
				func(worker.Info) *worker.Agent { return silent })})
			term := newTerm(t.Context(), o, &owner.Tenure{Fence: 1, Confirmed: func(time.Duration) bool { return true }})
			defer term.close()
			term.updateListing(listing)
			term.addWork(&job.Work{ID: "batch", Queue: job.Queue{MaxAttempts: 1}, Steps: []job.Step{{Tasks: 1}}, Accepted: time.Now()})
			s := term.entries["batch"].occurrences[0].stages[0]
			term.startRun(s, 0, term.nodes["w"], 1)
			ended := []worker.EndedRun{{Number: 1, Task: s.tasks[0].run.task(), Run: 1, Outcome: worker.OutcomeDone}}
			term.onHold(term.nodes["w"], &worker.HoldReply{Clock: time.Second, Ended: ended}, nil)
			is.Equal(term.entries["batch"].state, job.WorkCompleted)
			if relisted {
				term.changeWorkers([]store.Event{{Pair: store.Pair{Key: "workers/w"}, Deleted: true}})
				term.updateListing(listing)
				term.onHold(term.nodes["w"], &worker.HoldReply{Clock: 2 * time.Second, Ended: ended}, nil)
			}
			is.Equal(term.nodes["w"].lastEndObserved, int64(0))
			for _, waiting := range term.committer.queue {
				for _, effect := range waiting.effects {
					effect()
				}
			}
			is.Equal(term.nodes["w"].lastEndObserved, int64(1))
		})
	}
}
