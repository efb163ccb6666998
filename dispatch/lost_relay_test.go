package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/standin/floor"
)

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
	c := newCell(t, runsFor(4*time.Second))
	c.directWorkers = 2
	for i := range 3 {
		c.startVM(fmt.Sprint("vm", i+1))
	}
	workers := c.addWorkers(8, 4)
	v := c.waitForOwner()
	time.Sleep(5 * time.Second)
	relays := c.usedRelays(v)
	is.Equal(len(relays), 1)
	relays[0].callDelay.Store(int64(delay))
	c.submit(v, c.newWork("check", job.Step{Tasks: 20}))
	time.Sleep(100 * time.Millisecond)
	is.True(c.countRuns("check") < 20)
	for _, w := range workers {
		w.SetFaults(floor.Faults{Unwell: true})
	}
	relays[0].server.Close()
	time.Sleep(100 * time.Millisecond)
	for _, w := range workers {
		w.SetFaults(floor.Faults{})
	}
	c.waitForState(v, "check", job.WorkCompleted, 30*time.Second)
	c.checkHistory()
}
