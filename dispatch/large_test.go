package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/worker"
	"turmericgap/workrecord"
)

// examineCost is the CPU time of examining one worker on a VM with a fifth of a core.
const examineCost = 500 * time.Nanosecond

// Guards against a pass that examines all workers for each step of a burst in a large cell. It would take longer than
// the 1.5 s for which permits are valid, so that they expire before the pass uses them, all are requested again, and
// nothing starts, even long after the burst and with plenty of free capacity.
func TestManyWorkersAndSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newReplay(t.Context(), 97, allowTwoInFive, OnExamined(func(examined int) { time.Sleep(time.Duration(examined) * examineCost) }))
		r.addWorkers(3000)
		l := &workload{rand.New(rand.NewPCG(3, 3)), r}
		const works = 1500
		l.submitChecks(works, 1300*time.Microsecond)
		r.run(12 * time.Second)
		t.Logf("%d of %d works completed", r.endedCount, works)
		is.Equal(r.endedCount, works)
	})
}

// BenchmarkStep measures the pass after one run has ended, which lets one task start while few stages wait. Its cost
// must not depend on the size of the cell, most of which has not changed.
func BenchmarkStep(b *testing.B) {
	for _, workers := range []int{540, 3000, 6000, 12000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			t := newFullTerm(b, workers, 3, 40)
			n, s := t.nodes["w0020"], t.entries["1"].occurrences[0].stages[0]
			s.tickets[n.id] = ticket{allowed: true, until: time.Now().Add(time.Hour)}
			for b.Loop() {
				n.free = job.Resources{Millicores: 1100, MemoryMB: 64000}
				n.updateIndex()
				t.runPass(time.Now())
				if r := s.tasks[0].run; r != nil {
					t.releaseRun(r)
					s.tasks[0].phase, s.tasks[0].run = workrecord.Waiting, nil
					s.waiting++
					t.requeue(s)
				}
			}
		})
	}
}

// Guards against calling all workers at once when many tasks start or stop together: on a weak VM the calls would use
// the CPU for longer than peers wait for its answers, and it would be considered dead. Workers that do not answer must
// not delay calls to the others.
func TestCallsToWorkersAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newReplay(t.Context(), 1, allowTwoInFive)
		r.addWorkers(30)
		var inFlight, maxInFlight, unanswered, started atomic.Int64
		call := func(ctx context.Context, answers bool) (time.Duration, error) {
			started.Add(1)
			maxInFlight.Store(max(maxInFlight.Load(), inFlight.Add(1)))
			defer inFlight.Add(-1)
			if !answers {
				unanswered.Add(1)
				<-ctx.Done()
				return 0, ctx.Err()
			}
			time.Sleep(3 * time.Millisecond)
			return 0, nil
		}
		for i, n := range r.term.sortedNodes {
			n.agent.Launch = func(ctx context.Context, _ *worker.Launch) (time.Duration, error) { return call(ctx, i%10 > 0) }
		}
		w := &job.Work{ID: "wide", Queue: job.Queue{Name: "wide", Pool: "p", MaxAttempts: 2, SlackFactor: 2, Objective: time.Second}, Steps: []job.Step{
			{Tasks: 400, Estimate: 10 * time.Second, TaskResources: job.Resources{Millicores: 1000, MemoryMB: 10}},
		}}
		r.submitAt(0, w, 10*time.Second)
		r.run(800 * time.Millisecond)
		answered, expected := int(started.Load()-unanswered.Load()), 0
		for i, n := range r.term.sortedNodes {
			if i%10 > 0 {
				expected += len(n.runs)
			}
		}
		t.Logf("%d calls in flight at once, %d answered, %d unanswered", maxInFlight.Load(), answered, unanswered.Load())
		is.True(maxInFlight.Load() <= 100)
		is.Equal(answered, expected)
	})
}
