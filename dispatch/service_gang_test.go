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

// Guards against taking a service's progress for the presence of its whole gang: a member that reports 100 percent while
// it waits does not show that the start of another one has been carried out.
func TestBrokenServiceGangWaitsForLateStart(t *testing.T) {
	for _, after := range []time.Duration{1100 * time.Millisecond, 1200 * time.Millisecond, 1300 * time.Millisecond} {
		t.Run(fmt.Sprint("gang breaks after ", after), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				const size, delay = 3, 1450 * time.Millisecond
				c := newCell(t, func(worker.Task, int64) floor.Behaviour {
					return floor.Behaviour{Duration: time.Hour, Ending: worker.OutcomeDone, FullProgress: true, GangSize: size, Resources: job.Resources{Millicores: 3000}}
				}, "vm1", "vm2")
				workers := c.addWorkers(size, 4)
				v := c.waitForOwner()
				time.Sleep(5 * time.Second)
				late, crashing := workers[size-1], workers[size-2]
				late.SetFaults(floor.Faults{LaunchDelay: delay})
				step := gangStep(size)
				step.Service = true
				c.submit(v, c.newWork("gang", step))
				late.SetFaults(floor.Faults{LaunchDelay: delay, ResetConnections: true})
				time.Sleep(after)
				is.Equal(c.countRuns("gang"), size-1)
				crashing.Crash(false)
				for i := range size {
					c.addWorker(fmt.Sprintf("x%02d", i), 4)
				}
				time.Sleep(3 * time.Second)
				late.SetFaults(floor.Faults{})
				time.Sleep(20 * time.Second)
				c.checkHistory()
			})
		})
	}
}
