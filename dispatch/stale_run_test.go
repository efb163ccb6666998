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
)

// Guards against losing the end of a run whose start was refused because it had already ended: a hold that the worker
// answered before that run began, and that is processed later, does not show that there is no such end. A lost failure
// would not count as an attempt.
func TestOlderAnswerAfterStaleRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const refusedAt = 1500 * time.Millisecond
		listing := worker.ListedWorker{Info: worker.Info{ID: "w", Has: job.Resources{Millicores: 4000, MemoryMB: 100}}}
		agent := &worker.Agent{
			Hold: func(ctx context.Context, _ *worker.Hold) (*worker.HoldReply, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			},
			Launch: func(context.Context, *worker.Launch) (time.Duration, error) {
				return refusedAt, &worker.Refusal{Reason: worker.ReasonStaleRun}
			},
		}
		o := newOptions([]Option{Workers("workers/", nil, func(worker.Info) *worker.Agent { return agent })})
		term := newTerm(t.Context(), o, &owner.Tenure{Fence: 1, Confirmed: func(time.Duration) bool { return true }})
		defer term.close()
		term.updateListing(listing)
		term.addWork(&job.Work{ID: "batch", Queue: job.Queue{MaxAttempts: 2}, Steps: []job.Step{{Tasks: 1}}, Accepted: time.Now()})
		s, n := term.entries["batch"].occurrences[0].stages[0], term.nodes["w"]
		term.onHold(n, &worker.HoldReply{Clock: time.Second}, time.Now(), nil) // an answer that took 500 ms
		term.startRun(s, 0, n, 1)
		r := s.tasks[0].run
		term.launch(r)
		(<-term.events)()
		term.applyHeld(n, &worker.HoldReply{Clock: refusedAt - 100*time.Millisecond}, time.Now())
		is.True(!r.ended)
		ended := []worker.EndedRun{{Number: 1, Task: r.task(), Run: 1, Outcome: worker.OutcomeFailed}}
		term.applyHeld(n, &worker.HoldReply{Clock: refusedAt + time.Millisecond, Ended: ended}, time.Now())
		is.True(r.ended)
		is.Equal(s.tasks[0].failures, 1)
	})
}
