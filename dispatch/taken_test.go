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

// Guards against refusing, at another VM, the retry of a work that an overloaded owner has accepted but not yet
// committed to its slow store. Neither the store nor the other VM knows of the work, and it would run although its
// caller was told that it never will.
func TestTakenWorkIsNotRefusedElsewhere(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(300*time.Millisecond))
		c.onExamined = func(examined int) { time.Sleep(time.Duration(examined) * time.Millisecond) }
		c.startVM("vm1")
		c.addWorkers(20, 16)
		first := c.waitForOwner()
		other := c.startVM("vm2")
		time.Sleep(6 * time.Second)
		var callers sync.WaitGroup
		for i := range 400 {
			time.Sleep(20 * time.Millisecond)
			callers.Go(func() {
				c.submitFault(other, c.newWork(fmt.Sprint("load", i), job.Step{Tasks: 1, Estimate: 300 * time.Millisecond}))
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
				_ = first.front.Submit(ctx, c.newWork(id, job.Step{Tasks: 1, Estimate: 300 * time.Millisecond}))
				fault := c.submitFault(other, c.newWork(id, job.Step{Tasks: 1, Estimate: 300 * time.Millisecond}))
				mu.Lock()
				defer mu.Unlock()
				refused[id] = fault != nil && fault.Code == rpc.CodeRefused
			})
		}
		callers.Wait()
		first.store.Delay(0)
		time.Sleep(20 * time.Second)
		ran := 0
		for id, wasRefused := range refused {
			if c.countRuns(id) > 0 {
				ran++
				if wasRefused {
					t.Errorf("%s was refused but has run", id)
				}
			}
		}
		t.Logf("%d of %d have run", ran, len(refused))
		is.True(ran > 0)
		c.checkHistory()
	})
}
