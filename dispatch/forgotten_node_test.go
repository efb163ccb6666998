package dispatch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/owner"
	"turmericgap/worker"
	"turmericgap/workerlist"
)

// Guards against forgetting a worker that is not listed as soon as its last run ends, before the end is durable. Once it
// is listed again it would be told that the end was observed, and the next owner would run the task again.
func TestUnlistedWorkerIsKeptUntilItsEndIsDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		term, listing := newTermWithWorker(t)
		defer term.close()
		r := startOne(term)
		ended := []worker.EndedRun{{Number: 1, Task: r.task(), Run: 1, Outcome: worker.OutcomeDone}}
		unlist(term)
		former := term.nodes["w"]
		term.onHold(former, &worker.HoldReply{Clock: time.Second, Ended: ended}, time.Now(), nil)
		term.updateListing(listing)
		relisted := term.nodes["w"]
		term.onHold(relisted, &worker.HoldReply{Clock: 2 * time.Second, Ended: ended}, time.Now(), nil)
		is.Equal(relisted.lastEndObserved, int64(0))
		makeDurable(term)
		is.Equal(term.nodes["w"], relisted)
		is.Equal(relisted.lastEndObserved, int64(1))
	})
}

// newTermWithWorker returns a term that knows one worker, which answers no calls.
func newTermWithWorker(t *testing.T) (*term, worker.ListedWorker) {
	listing := worker.ListedWorker{Info: worker.Info{ID: "w", Has: job.Resources{Millicores: 4000, MemoryMB: 100}}}
	o := newOptions([]Option{Workers("workers/", func(string, []byte) (worker.ListedWorker, error) { return listing, nil },
		func(worker.Info) *worker.Agent { return unresponsiveAgent() })})
	term := newTerm(t.Context(), o, &owner.Tenure{Fence: 1, Confirmed: func(time.Duration) bool { return true }})
	term.updateListing(listing)
	return term, listing
}

// unresponsiveAgent returns the calls to a worker that answers none of them.
func unresponsiveAgent() *worker.Agent {
	return &worker.Agent{
		Launch: func(ctx context.Context, _ *worker.Launch) (time.Duration, error) {
			<-ctx.Done()
			return 0, ctx.Err()
		},
		Hold: func(ctx context.Context, _ *worker.Hold) (*worker.HoldReply, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
	}
}

// startOne starts the only task of a new work on the worker.
func startOne(term *term) *run {
	term.addWork(&job.Work{ID: "batch", Queue: job.Queue{MaxAttempts: 1}, Steps: []job.Step{{Tasks: 1}}, Accepted: time.Now()})
	s := term.entries["batch"].occurrences[0].stages[0]
	term.startRun(s, 0, term.nodes["w"], 1)
	return s.tasks[0].run
}

func unlist(term *term) {
	term.changeWorkers([]workerlist.Entry{{ID: "w", Key: "workers/w", Removed: true}})
}

// makeDurable runs the effects of all queued changes, as after a commit.
func makeDurable(term *term) {
	queue := term.committer.queue
	term.committer.queue = nil
	for _, queued := range queue {
		for _, effect := range queued.effects {
			effect()
		}
	}
}

// Guards against ending a run on a silent worker while the worker still holds a lease, when no hold of the node's own has
// extended it: the start order lets the run go on until it is void, and holds of a former node of the same worker for
// as long as they said.
func TestSilentWorkerKeepsRunWithoutHold(t *testing.T) {
	for _, relisted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			term, listing := newTermWithWorker(t)
			defer term.close()
			time.Sleep(time.Minute)
			lasts := launchValidity
			if relisted {
				lasts = DefaultMaxHold
				term.onHold(term.nodes["w"], &worker.HoldReply{Clock: time.Minute}, time.Now(), nil)
				unlist(term)
				term.updateListing(listing)
			}
			setConfirmed := func(on bool) { term.tenure.Confirmed = func(time.Duration) bool { return on } }
			setConfirmed(false)
			n := term.nodes["w"]
			term.onHold(n, &worker.HoldReply{Clock: time.Minute}, time.Now(), nil)
			r := startOne(term)
			setConfirmed(true) // by the commit of the intent
			makeDurable(term)
			setConfirmed(false)
			sentAt := time.Now()
			term.onHold(n, nil, time.Now(), errors.New("no answer"))
			for !r.ended {
				time.Sleep(tickInterval)
				term.endExpired(time.Now())
			}
			is.True(time.Since(sentAt) >= lasts)
			is.True(time.Since(sentAt) <= lasts+time.Second)
		})
	}
}
