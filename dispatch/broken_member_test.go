package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/standin/floor"
	"turmericgap/worker"
)

// Guards against starting a gang again while a start order of its last run may still be carried out. A member that ends
// as broken proves the end of the members that were present, not of one whose worker carries out its start later.
func TestBrokenGangWaitsForLateStart(t *testing.T) {
	for _, size := range []int{3, 5} {
		for _, delay := range []time.Duration{350 * time.Millisecond, 700 * time.Millisecond, time.Second, 1400 * time.Millisecond} {
			t.Run(fmt.Sprintf("gang of %d, start after %v", size, delay), func(t *testing.T) {
				inBubble(t, func(t *testing.T) { breakBeforeLateStart(t, size, delay) })
			})
		}
	}
}

// breakBeforeLateStart delays the start of one member, whose worker answers nothing, and crashes the worker of another.
func breakBeforeLateStart(t *testing.T, size int, delay time.Duration) {
	is := is.New(t)
	c := newCell(t, gangBehaviour(size, 2*time.Second, worker.OutcomeDone), "vm1", "vm2")
	workers := c.addWorkers(size, 4)
	v := c.waitForOwner()
	time.Sleep(5 * time.Second)
	late, crashing := workers[size-1], workers[size-2]
	late.SetFaults(floor.Faults{LaunchDelay: delay})
	c.submit(v, c.newWork("gang", gangStep(size)))
	late.SetFaults(floor.Faults{LaunchDelay: delay, ResetConnections: true})
	time.Sleep(150 * time.Millisecond)
	is.Equal(c.countRuns("gang"), size-1)
	crashing.Crash(false)
	for i := range size {
		c.addWorker(fmt.Sprintf("x%02d", i), 4)
	}
	time.Sleep(3 * time.Second)
	late.SetFaults(floor.Faults{})
	c.waitForState(v, "gang", "completed", 60*time.Second)
	c.checkHistory()
}

// Guards against counting a member whose start was carried out after its gang had broken, and was answered, as ended with
// the others: it waits on its worker, which answers nothing any more.
func TestBrokenGangWaitsForMemberStartedLater(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprint("gang of ", size), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				c := newCell(t, gangBehaviour(size, 2*time.Second, worker.OutcomeDone), "vm1", "vm2")
				workers := c.addWorkers(size, 4)
				v := c.waitForOwner()
				time.Sleep(5 * time.Second)
				late, crashing := workers[size-1], workers[size-2]
				late.SetFaults(floor.Faults{Unreachable: true})
				c.submit(v, c.newWork("gang", gangStep(size)))
				time.Sleep(100 * time.Millisecond)
				is.Equal(c.countRuns("gang"), size-1)
				crashing.Crash(false)
				time.Sleep(40 * time.Millisecond) // the order to stop the other members is lost
				late.SetFaults(floor.Faults{})
				time.Sleep(60 * time.Millisecond) // the second attempt of the start is answered
				is.Equal(c.countRuns("gang"), size)
				late.SetFaults(floor.Faults{ResetConnections: true})
				for i := range size {
					c.addWorker(fmt.Sprintf("x%02d", i), 4)
				}
				time.Sleep(3 * time.Second)
				late.SetFaults(floor.Faults{})
				c.waitForState(v, "gang", "completed", 60*time.Second)
				c.checkHistory()
			})
		})
	}
}
