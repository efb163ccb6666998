package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/standin/floor"
)

// Guards against restarting the tasks of a silent worker whose clock is slow, so that its lease ends later: after a
// silence of the worker alone, and after its owner has died meanwhile.
func TestSilentWorkerWithSlowClock(t *testing.T) {
	for _, rate := range []float64{1, 0.98} {
		for _, ownerDies := range []bool{false, true} {
			for _, phase := range []time.Duration{0, 400 * time.Millisecond, 900 * time.Millisecond} {
				t.Run(fmt.Sprintf("clock at %v, owner dies %v, after %v", rate, ownerDies, phase), func(t *testing.T) {
					inBubble(t, func(t *testing.T) { silenceWorker(t, rate, ownerDies, phase) })
				})
			}
		}
	}
}

// silenceWorker keeps all calls from a worker until its tasks have started elsewhere.
func silenceWorker(t *testing.T, rate float64, ownerDies bool, phase time.Duration) {
	is := is.New(t)
	c := newCell(t, runsFor(90*time.Second), "vm1", "vm2")
	c.cluster.ClockRate = rate
	silent := c.addWorker("silent", 4)
	v := c.waitForOwner()
	time.Sleep(time.Second)
	c.submit(v, c.newWork("roster", job.Step{Tasks: 4}))
	time.Sleep(30*time.Second + phase)
	is.Equal(silent.ActiveRuns(), 4)
	silent.SetFaults(floor.Faults{Unreachable: true})
	c.addWorker("spare", 4)
	if ownerDies {
		time.Sleep(2 * time.Second)
		c.kill(v)
	}
	time.Sleep(20 * time.Second)
	c.checkHistory()
	is.Equal(c.countRuns("roster"), 8)
}
