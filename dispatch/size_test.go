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

// Batches of 1 to 16 tasks come half as fast again as the cell can take them. By the order of their goals
// each would be started shortly before it is late, and most would end late. The small ones first, more
// callers are served in time; the large ones must get their share all the same.
func TestSmallWorksFirstUnderOverload(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, func(worker.Task, int64) floor.Behaviour {
			return floor.Behaviour{Duration: 2 * time.Second, Ending: worker.OutcomeDone, Resources: job.Resources{Millicores: 1000}}
		}, "vm1")
		c.config.Queues[0].SlackFactor, c.config.Queues[0].TargetDuration = 3, time.Second
		c.workers(4, 8)
		v := c.owner()
		time.Sleep(5 * time.Second)
		tasks := []int{1, 2, 2, 3, 4, 16, 1, 2, 3, 4, 2, 8}
		handed := make(map[string]time.Time)
		for i := range 144 {
			id := fmt.Sprint("batch", i)
			c.submit(v, c.work(id, job.Step{Tasks: tasks[i%len(tasks)], Estimate: 2 * time.Second}))
			handed[id] = time.Now()
			time.Sleep(167 * time.Millisecond)
		}
		time.Sleep(2 * time.Minute)
		last := make(map[string]time.Time)
		for _, r := range c.floor.History() {
			if r.Ended.After(last[r.Task.Work]) {
				last[r.Task.Work] = r.Ended
			}
		}
		const objective = 7 * time.Second
		inTime, large := 0, 0
		for i := range 144 {
			id := fmt.Sprint("batch", i)
			took := last[id].Sub(handed[id])
			if took <= objective {
				inTime++
			}
			if tasks[i%len(tasks)] == 16 && took <= 3*objective {
				large++
			}
		}
		t.Logf("%d of 144 in time, of the 12 largest %d before they are worth nothing", inTime, large)
		is.True(inTime >= 110)
		is.True(large >= 8)
		c.checkHistory()
	})
}
