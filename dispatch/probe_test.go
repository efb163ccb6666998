package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/standin/floor"
)

// Guards against late checks when the answer to a hold is lost: the ends that it should have reported would become
// known only when the hold times out after 1.5 s, but a check of 0.8 s must end within 1.4 s. Workers with overdue
// runs must be probed sooner.
func TestLostHoldsDelayFewChecks(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(800*time.Millisecond), "vm1")
		for _, w := range c.addWorkers(16, 16) {
			w.SetFaults(floor.Faults{DropHoldReplyEvery: 17})
		}
		v := c.waitForOwner()
		time.Sleep(time.Second)
		const checks = 400
		submitted := make(map[string]time.Time)
		for i := range checks {
			id := fmt.Sprintf("check%03d", i)
			submitted[id] = time.Now()
			c.submit(v, c.newWork(id, job.Step{Tasks: 2, Estimate: 750 * time.Millisecond}))
			time.Sleep(25 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		late := 0
		for id, at := range c.endTimes() {
			if at.Sub(submitted[id]) > 1400*time.Millisecond {
				late++
			}
		}
		t.Logf("%d of %d checks were late", late, checks)
		is.True(late <= checks/100)
		c.checkHistory()
	})
}
