package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/standin/floor"
	"turmericgap/worker"
)

// newRelayedCell returns a cell whose owner calls two of its 24 workers directly and the others through relays.
func newRelayedCell(t *testing.T) (c *cell, first *vm, workers []*floor.Worker) {
	c = newCell(t, runsFor(2*time.Second))
	c.directWorkers = 2
	for i := range 5 {
		c.startVM(fmt.Sprint("vm", i+1))
	}
	workers = c.addWorkers(24, 4)
	first = c.waitForOwner()
	time.Sleep(2 * time.Second)
	return c, first, workers
}

// usedRelays returns the VMs that have relayed calls for an owner.
func (c *cell) usedRelays(v *vm) []*vm {
	var list []*vm
	for _, other := range c.vms {
		if other != v && other.relayedCalls.Load() > 0 {
			list = append(list, other)
		}
	}
	return list
}

// Guards against treating the silence of a relay as that of its workers: their runs would count as unresolved until
// their leases expire. No task may be lost or run twice, and new work must be served as usual.
func TestRelayIsLost(t *testing.T) {
	for name, fail := range map[string]func(c *cell, r *vm){
		"dies":                      func(c *cell, r *vm) { c.kill(r) },
		"is cut off from the owner": func(_ *cell, r *vm) { r.repliesCut.Store(true) },
		"is cut off from workers":   func(_ *cell, r *vm) { r.workersCut.Store(true) },
		"answers late":              func(_ *cell, r *vm) { r.replyDelay.Store(int64(400 * time.Millisecond)) },
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				c, first, _ := newRelayedCell(t)
				for i := range 6 {
					c.submit(first, c.newWork(fmt.Sprint("before", i), job.Step{Tasks: 8}))
				}
				time.Sleep(time.Second)
				relays := c.usedRelays(first)
				is.Equal(len(relays), 1) // no more relays than needed
				fail(c, relays[0])
				for i := range 6 {
					c.submit(first, c.newWork(fmt.Sprint("after", i), job.Step{Tasks: 8}))
				}
				for i := range 6 {
					for _, phase := range []string{"before", "after"} {
						id := fmt.Sprint(phase, i)
						c.waitForState(first, id, job.WorkCompleted, 6*time.Second)
						is.Equal(c.countRuns(id), 8)
					}
				}
				for _, r := range c.cluster.History() {
					is.Equal(r.Ending, worker.OutcomeDone)
				}
				is.True(first.dispatcher.IsOwner())
				c.checkHistory()
			})
		})
	}
}

// Guards against running tasks twice when the owner dies while a relay delays its launches: they reach the workers
// after the next owner has, and the workers must refuse them.
func TestLateOrdersOfARelay(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c, first, _ := newRelayedCell(t)
		relays := c.usedRelays(first)
		relays[0].callDelay.Store(int64(1200 * time.Millisecond))
		for i := range 6 {
			c.submit(first, c.newWork(fmt.Sprint("work", i), job.Step{Tasks: 8}))
		}
		time.Sleep(100 * time.Millisecond)
		c.kill(first)
		next := c.waitForSuccessor(first)
		time.Sleep(time.Second)
		relays[0].callDelay.Store(0)
		for i := range 6 {
			c.waitForState(next, fmt.Sprint("work", i), job.WorkCompleted, 20*time.Second)
		}
		is.True(next.dispatcher.IsOwner())
		c.checkHistory()
	})
}

// Guards against believing a worker's refusal of an order that a lost relay had taken before: the owner repeats the order
// itself, and the relay's own call may still be carried out when the worker is well again.
func TestRefusalAfterALostRelay(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c, first, workers := newRelayedCell(t)
		setUnwell := func(on bool) {
			for _, w := range workers {
				w.SetFaults(floor.Faults{Unwell: on})
			}
		}
		r := c.usedRelays(first)[0]
		r.callDelay.Store(int64(time.Second))
		for i := range 6 {
			c.submit(first, c.newWork(fmt.Sprint("work", i), job.Step{Tasks: 8}))
		}
		time.Sleep(50 * time.Millisecond)
		setUnwell(true)
		r.server.Close()
		time.Sleep(100 * time.Millisecond)
		setUnwell(false)
		for i := range 6 {
			c.waitForState(first, fmt.Sprint("work", i), job.WorkCompleted, 20*time.Second)
		}
		c.checkHistory()
	})
}
