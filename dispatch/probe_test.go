package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/standin/floor"
)

// Forty checks a second run on sixteen workers, each of which loses the answer to one hold of seventeen. The
// ends that such a hold should have told of are heard only once it is given up, after a second and a half:
// a check of 800 ms that should be done within 1.4 s is late then, though its tasks ended in time.
func TestLostHoldsDelayFewChecks(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(800*time.Millisecond), "vm1")
		for _, w := range c.workers(16, 16) {
			w.SetFaults(floor.Faults{DropHoldReplyEvery: 17})
		}
		v := c.owner()
		time.Sleep(time.Second)
		const checks = 400
		handed := make(map[string]time.Time)
		for i := range checks {
			id := fmt.Sprintf("check%03d", i)
			handed[id] = time.Now()
			c.submit(v, c.work(id, job.Step{Tasks: 2, Estimate: 750 * time.Millisecond}))
			time.Sleep(25 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		late := 0
		for id, at := range c.endedAt() {
			if at.Sub(handed[id]) > 1400*time.Millisecond {
				late++
			}
		}
		t.Logf("%d of %d checks were late", late, checks)
		is.True(late <= checks/100)
		c.checkHistory()
	})
}
