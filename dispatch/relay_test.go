package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/worker"
)

// relayedCell is a cell whose owner reaches two of its 24 workers by itself and the others by way of other VMs.
func relayedCell(t *testing.T) (c *cell, first *vm) {
	c = newCell(t, runsFor(2*time.Second))
	c.directWorkers = 2
	for i := range 5 {
		c.boot(fmt.Sprint("vm", i+1))
	}
	c.workers(24, 4)
	first = c.owner()
	time.Sleep(2 * time.Second)
	return c, first
}

// relaysOf gives the VMs by way of which an owner reaches workers.
func (c *cell) relaysOf(v *vm) []*vm {
	var list []*vm
	for _, other := range c.vms {
		if other != v && other.relayedCalls.Load() > 0 {
			list = append(list, other)
		}
	}
	return list
}

// An owner reaches most workers by way of another VM, and that is lost in one of several ways while tasks run. Its
// silence is not that of its workers: none of them may count as silent for as long as its lease, no task may be lost
// or done twice, and what comes meanwhile is served as if nothing had happened.
func TestRelayIsLost(t *testing.T) {
	for name, lose := range map[string]func(c *cell, r *vm){
		"dies":                      func(c *cell, r *vm) { c.kill(r) },
		"is cut off from the owner": func(_ *cell, r *vm) { r.repliesCut.Store(true) },
		"is cut off from workers":   func(_ *cell, r *vm) { r.workersCut.Store(true) },
		"answers late":              func(_ *cell, r *vm) { r.replyDelay.Store(int64(400 * time.Millisecond)) },
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				c, first := relayedCell(t)
				for i := range 6 {
					c.submit(first, c.work(fmt.Sprint("before", i), job.Step{Tasks: 8}))
				}
				time.Sleep(time.Second)
				relays := c.relaysOf(first)
				is.Equal(len(relays), 1) // as few as do
				lose(c, relays[0])
				for i := range 6 {
					c.submit(first, c.work(fmt.Sprint("after", i), job.Step{Tasks: 8}))
				}
				for i := range 6 {
					for _, when := range []string{"before", "after"} {
						id := fmt.Sprint(when, i)
						c.waitForState(first, id, job.WorkCompleted, 6*time.Second)
						is.Equal(c.runs(id), 8)
					}
				}
				for _, r := range c.floor.History() {
					is.Equal(r.Ending, worker.OutcomeDone)
				}
				is.True(first.disp.IsOwner())
				c.checkHistory()
			})
		})
	}
}

// The owner dies while starts of its are under way by way of a relay that holds them up. They reach the workers after
// its successor has: they are refused there, and each task is done once.
func TestLateOrdersOfARelay(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c, first := relayedCell(t)
		relays := c.relaysOf(first)
		relays[0].callDelay.Store(int64(1200 * time.Millisecond))
		for i := range 6 {
			c.submit(first, c.work(fmt.Sprint("work", i), job.Step{Tasks: 8}))
		}
		time.Sleep(100 * time.Millisecond)
		c.kill(first)
		next := c.successor(first)
		time.Sleep(time.Second)
		relays[0].callDelay.Store(0)
		for i := range 6 {
			c.waitForState(next, fmt.Sprint("work", i), job.WorkCompleted, 20*time.Second)
		}
		is.True(next.disp.IsOwner())
		c.checkHistory()
	})
}
