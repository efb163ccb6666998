package dispatch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/standin/floor"
)

// Guards against counting work as running when its start was sent but not confirmed: while the worker is cut off, no
// worker has the task, and the work must be counted as waiting.
func TestWaitingUntilConfirmed(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(time.Second), "vm1")
		ws := c.addWorkers(1, 4)
		v := c.waitForOwner()
		time.Sleep(time.Second)
		ws[0].SetFaults(floor.Faults{Unreachable: true})
		c.submit(v, c.newWork("check", job.Step{Tasks: 1}))
		for range 5 {
			time.Sleep(700 * time.Millisecond)
			n, err := v.front.Waiting(t.Context(), "roster")
			is.NoErr(err)
			is.Equal(n, 1)
		}
		ws[0].SetFaults(floor.Faults{})
		c.waitForState(v, "check", job.WorkCompleted, 30*time.Second)
		n, err := v.front.Waiting(t.Context(), "roster")
		is.NoErr(err)
		is.Equal(n, 0)
		c.checkHistory()
	})
}

// Guards against a queue of commits that builds up when a burst of checks meets a store that takes a third of a second
// per call. Acceptance, intent and end each wait for the store once; with a queue before them, every caller of the
// burst would wait for longer than its check is worth.
func TestBurstAtSlowStore(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCell(t, runsFor(time.Second), "vm1", "vm2")
		c.addWorkers(20, 16)
		v := c.waitForOwner()
		time.Sleep(time.Second)
		for _, each := range c.vms {
			each.store.Delay(330 * time.Millisecond)
		}
		var callers sync.WaitGroup
		for i := range 200 {
			time.Sleep(20 * time.Millisecond)
			callers.Go(func() {
				w := c.newWork(fmt.Sprint("check", i), job.Step{Tasks: 2})
				c.submit(v, w)
				// At worst a work waits 0.23 s for a free commit stream and 0.33 s for the answer, for its intent and for
				// each of its two ends if they are committed separately, and 1 s for its tasks: 2.7 s.
				c.waitForState(v, w.ID, job.WorkCompleted, 2800*time.Millisecond)
			})
		}
		callers.Wait()
		c.checkHistory()
	})
}

// Guards against refusing the callers of a VM that the store declines while it serves the other VMs: the VM must
// accept work through the owner and report its end.
func TestAcceptedThroughOwner(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCell(t, runsFor(time.Second), "vm1", "vm2", "vm3")
		c.addWorkers(2, 4)
		first := c.waitForOwner()
		// A VM that the store declines before it has learned of the owner cannot reach the owner.
		time.Sleep(time.Second)
		for _, v := range c.vms {
			if v == first {
				continue
			}
			v.store.Down(true)
			c.submit(v, c.newWork("from-"+v.id, job.Step{Tasks: 2}))
			c.waitForState(v, "from-"+v.id, job.WorkCompleted, 10*time.Second)
		}
		c.checkHistory()
	})
}

// Guards against running a work twice or reporting it lost when the owner commits it and dies before it answers. The
// caller's VM creates the work itself, finds that it exists, and accepts it.
func TestAcceptedByDyingOwner(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(time.Second), "vm1", "vm2", "vm3")
		c.addWorkers(2, 4)
		first := c.waitForOwner()
		time.Sleep(time.Second)
		var other *vm
		for _, v := range c.vms {
			if v != first {
				other = v
			}
		}
		first.store.LoseAnswer(true)
		accepted := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			accepted <- other.front.Submit(ctx, c.newWork("roster", job.Step{Tasks: 2}))
		}()
		time.Sleep(200 * time.Millisecond)
		c.kill(first)
		is.NoErr(<-accepted)
		c.waitForState(other, "roster", job.WorkCompleted, 20*time.Second)
		is.Equal(c.countRuns("roster"), 2)
		c.checkHistory()
	})
}
