package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/standin/floor"
	"turmericgap/store"
)

// newCellWithRelay returns a cell whose owner calls two of its eight workers directly and the others through one relay,
// which delays each call.
func newCellWithRelay(t *testing.T, delay time.Duration) (c *cell, v *vm, workers []*floor.Worker) {
	c = newCell(t, runsFor(4*time.Second))
	c.directWorkers = 2
	for i := range 3 {
		c.startVM(fmt.Sprint("vm", i+1))
	}
	workers = c.addWorkers(8, 4)
	v = c.waitForOwner()
	time.Sleep(5 * time.Second)
	relays := c.usedRelays(v)
	if len(relays) != 1 {
		t.Fatalf("%d relays are used, want 1", len(relays))
	}
	relays[0].callDelay.Store(int64(delay))
	return c, v, workers
}

// Guards against starting a task again because its worker declined the direct repeat of a start order, while a relay that
// was lost has the order under way: it arrives within its validity and starts the task twice.
func TestOrderOfALostRelayArrivesLate(t *testing.T) {
	for _, delay := range []time.Duration{400 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(fmt.Sprint("after ", delay), func(t *testing.T) {
			inBubble(t, func(t *testing.T) { loseRelayWithOrders(t, delay) })
		})
	}
}

// loseRelayWithOrders breaks the connection to a relay that has taken start orders, while the workers decline all calls
// for a moment. The relay's calls reach the workers later.
func loseRelayWithOrders(t *testing.T, delay time.Duration) {
	is := is.New(t)
	c, v, workers := newCellWithRelay(t, delay)
	c.submit(v, c.newWork("check", job.Step{Tasks: 20}))
	time.Sleep(100 * time.Millisecond)
	is.True(c.countRuns("check") < 20)
	for _, w := range workers {
		w.SetFaults(floor.Faults{Unwell: true})
	}
	c.usedRelays(v)[0].server.Close()
	time.Sleep(100 * time.Millisecond)
	for _, w := range workers {
		w.SetFaults(floor.Faults{})
	}
	c.waitForState(v, "check", job.WorkCompleted, 30*time.Second)
	c.checkHistory()
}

// Guards against trusting an answer of a former tenure of the same VM, or an order of its relays that is still under way:
// each tenure has a fence of its own, and its first answers end the runs that a worker does not list.
func TestVMOwnsAgain(t *testing.T) {
	for _, delay := range []time.Duration{0, 300 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(fmt.Sprint("relay is late by ", delay), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				c, first, _ := newCellWithRelay(t, delay)
				relay := c.usedRelays(first)[0]
				for i := range 3 {
					c.submit(first, c.newWork(fmt.Sprint("work", i), job.Step{Tasks: 8}))
				}
				time.Sleep(100 * time.Millisecond)
				last, again := first, 0
				for range 3 {
					c.put(store.Op{Delete: true, Key: "turmericgap/cell/owner"})
					time.Sleep(800 * time.Millisecond)
					next := c.waitForOwner()
					if next == last {
						again++
					}
					last = next
				}
				is.True(again >= 2)
				relay.callDelay.Store(0)
				for i := range 3 {
					c.waitForState(last, fmt.Sprint("work", i), job.WorkCompleted, 20*time.Second)
				}
				c.checkHistory()
			})
		})
	}
}
