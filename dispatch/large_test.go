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
)

// examineCost is what a look at one worker takes on a VM of a fifth of a core.
const examineCost = 500 * time.Nanosecond

// 1,500 checks come within two seconds to a cell of 3,000 workers that has room for all of them. Each waits for an
// answer of the policy service, which holds for 1.5 s. If a pass looks at all workers for each step, it takes longer
// than that: the answers have lapsed when the pass comes to them, all is asked again, and nothing starts however
// much room there is, also long after the last caller has come.
func TestManyWorkersAndSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newReplay(t.Context(), 97, allow, OnExamined(func(looks int) { time.Sleep(time.Duration(looks) * examineCost) }))
		r.cell(3000)
		l := &load{rand.New(rand.NewPCG(3, 3)), r}
		const works = 1500
		l.checks(works, 1300*time.Microsecond)
		r.run(12 * time.Second)
		t.Logf("%d of %d works are done", r.ended, works)
		is.Equal(r.ended, works)
	})
}

// BenchmarkStep measures the pass after one end, which lets one task start, while little waits. Most of the cell has
// not changed, so that its size must not show.
func BenchmarkStep(b *testing.B) {
	for _, workers := range []int{540, 3000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			t := fullTerm(b, workers, 3, 40)
			n, s := t.nodes["w0020"], t.entries["1"].occurrences[0].stages[0]
			s.tickets[n.id] = ticket{allowed: true, until: time.Now().Add(time.Hour)}
			for b.Loop() {
				n.free = job.Resources{Millicores: 1100, MemoryMB: 64000}
				n.updateIndex()
				t.runPass(time.Now())
				if r := s.tasks[0].run; r != nil {
					t.releaseRun(r)
					s.tasks[0].phase, s.tasks[0].run = phaseWaiting, nil
					s.waiting++
					t.requeue(s)
				}
			}
		})
	}
}

// One work starts 400 tasks at the same moment, and later all of them are stopped. Made all at once, these calls would
// take a weak VM's processor for longer than other VMs wait for its answers, and it would be taken for dead. Workers that
// do not answer must not hold up the calls to those that do.
func TestCallsToWorkersAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newReplay(t.Context(), 1, allow)
		r.cell(30)
		var under, most, silent, begun atomic.Int64
		call := func(ctx context.Context, answers bool) (time.Duration, error) {
			begun.Add(1)
			most.Store(max(most.Load(), under.Add(1)))
			defer under.Add(-1)
			if !answers {
				silent.Add(1)
				<-ctx.Done()
				return 0, ctx.Err()
			}
			time.Sleep(3 * time.Millisecond)
			return 0, nil
		}
		for i, n := range r.term.sortedNodes {
			n.agent.Launch = func(ctx context.Context, _ *worker.Launch) (time.Duration, error) { return call(ctx, i%10 > 0) }
		}
		w := &job.Work{ID: "wide", Queue: job.Queue{Name: "wide", Pool: "p", MaxAttempts: 2, SlackFactor: 2, TargetDuration: time.Second}, Steps: []job.Step{
			{Tasks: 400, Estimate: 10 * time.Second, TaskResources: job.Resources{Millicores: 1000, MemoryMB: 10}},
		}}
		r.submitAt(0, w, 10*time.Second)
		r.run(800 * time.Millisecond)
		answered, wanted := int(begun.Load()-silent.Load()), 0
		for i, n := range r.term.sortedNodes {
			if i%10 > 0 {
				wanted += len(n.runs)
			}
		}
		t.Logf("%d calls under way at a time, %d answered, %d without an answer", most.Load(), answered, silent.Load())
		is.True(most.Load() <= 100)
		is.Equal(answered, wanted)
	})
}
