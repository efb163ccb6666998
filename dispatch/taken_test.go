package dispatch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/rpc"
)

// An owner that is behind has taken works and not made them durable yet, as its store is slow; their callers have given
// up, and hand the same IDs in at another VM. Told "refused" there, they would believe that their works never run, and
// these run all the same: neither the store nor the other VM knows of them, the owner alone does.
func TestTakenWorkIsNotRefusedElsewhere(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(300*time.Millisecond))
		c.onExamined = func(looks int) { time.Sleep(time.Duration(looks) * time.Millisecond) }
		c.boot("vm1")
		c.workers(20, 16)
		first := c.owner()
		other := c.boot("vm2")
		time.Sleep(6 * time.Second)
		var callers sync.WaitGroup
		for i := range 400 {
			time.Sleep(20 * time.Millisecond)
			callers.Go(func() {
				c.trySubmit(other, c.work(fmt.Sprint("load", i), job.Step{Tasks: 1, Estimate: 300 * time.Millisecond}))
			})
		}
		first.store.Delay(600 * time.Millisecond)
		var mu sync.Mutex
		refused := make(map[string]bool)
		for i := range 100 {
			time.Sleep(20 * time.Millisecond)
			id := fmt.Sprint("twice", i)
			callers.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
				defer cancel()
				_ = first.front.Submit(ctx, c.work(id, job.Step{Tasks: 1, Estimate: 300 * time.Millisecond}))
				fault := c.trySubmit(other, c.work(id, job.Step{Tasks: 1, Estimate: 300 * time.Millisecond}))
				mu.Lock()
				defer mu.Unlock()
				refused[id] = fault != nil && fault.Code == rpc.CodeRefused
			})
		}
		callers.Wait()
		first.store.Delay(0)
		time.Sleep(20 * time.Second)
		ran := 0
		for id, no := range refused {
			if c.runs(id) > 0 {
				ran++
				if no {
					t.Errorf("%s was refused, and has run", id)
				}
			}
		}
		t.Logf("%d of %d have run", ran, len(refused))
		is.True(ran > 0)
		c.checkHistory()
	})
}
