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

// An operator counts the work that waits in a queue. A start was decided and sent, and the worker is cut
// off: as long as no worker has the task, the work waits and must be counted.
func TestWaitingUntilConfirmed(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(time.Second), "vm1")
		ws := c.workers(1, 4)
		v := c.owner()
		time.Sleep(time.Second)
		ws[0].SetFaults(floor.Faults{Unreachable: true})
		c.submit(v, c.work("check", job.Step{Tasks: 1}))
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

// A burst of checks meets a store that takes a third of a second for each answer. Acceptance, intent and
// end each wait for it once; a queue of commits must not build up behind these, or every caller of the
// burst waits for longer than its check is worth.
//
// At worst a work waits 0.23 s for a free lane and 0.33 s for an answer, for its intent and for each of its
// two ends where these come apart, and a second for its tasks: 2.7 s.
func TestBurstAtSlowStore(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCell(t, runsFor(time.Second), "vm1", "vm2")
		c.workers(20, 16)
		v := c.owner()
		time.Sleep(time.Second)
		for _, each := range c.vms {
			each.store.Delay(330 * time.Millisecond)
		}
		var callers sync.WaitGroup
		for i := range 200 {
			time.Sleep(20 * time.Millisecond)
			callers.Go(func() {
				w := c.work(fmt.Sprint("check", i), job.Step{Tasks: 2})
				c.submit(v, w)
				c.waitForState(v, w.ID, job.WorkCompleted, 2800*time.Millisecond)
			})
		}
		callers.Wait()
		c.checkHistory()
	})
}

// The store declines the calls of some entry VMs and serves the others. A caller of such a VM is
// accepted all the same, through the owner, and sees the end of its work.
func TestAcceptedThroughOwner(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCell(t, runsFor(time.Second), "vm1", "vm2", "vm3")
		c.workers(2, 4)
		first := c.owner()
		// A VM that the store turns away before it has told of the owner cannot ask it.
		time.Sleep(time.Second)
		for _, v := range c.vms {
			if v == first {
				continue
			}
			v.store.Down(true)
			c.submit(v, c.work("from-"+v.id, job.Step{Tasks: 2}))
			c.waitForState(v, "from-"+v.id, job.WorkCompleted, 10*time.Second)
		}
		c.checkHistory()
	})
}

// The owner has made a work durable and dies before it can say so. The caller's VM cannot know, creates
// the work itself, finds that it exists, and accepts it: it runs once.
func TestAcceptedByDyingOwner(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(time.Second), "vm1", "vm2", "vm3")
		c.workers(2, 4)
		first := c.owner()
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
			accepted <- other.front.Submit(ctx, c.work("roster", job.Step{Tasks: 2}))
		}()
		time.Sleep(200 * time.Millisecond)
		c.kill(first)
		is.NoErr(<-accepted)
		c.waitForState(other, "roster", job.WorkCompleted, 20*time.Second)
		is.Equal(c.runs("roster"), 2)
		c.checkHistory()
	})
}
