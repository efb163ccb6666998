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

// Guards against ordering by deadline when batches arrive at one and a half times the capacity of the cell: each work
// would start shortly before it is late, and most would end late. Starting small works first serves more callers on
// time, and large works must still get their share.
func TestSmallWorksFirstUnderOverload(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, func(worker.Task, int64) floor.Behaviour {
			return floor.Behaviour{Duration: 2 * time.Second, Ending: worker.OutcomeDone, Resources: job.Resources{Millicores: 1000}}
		}, "vm1")
		c.config.Queues[0].SlackFactor, c.config.Queues[0].Objective = 3, time.Second
		c.addWorkers(4, 8)
		v := c.waitForOwner()
		time.Sleep(5 * time.Second)
		tasks := []int{1, 2, 2, 3, 4, 16, 1, 2, 3, 4, 2, 8}
		submitted := make(map[string]time.Time)
		for i := range 144 {
			id := fmt.Sprint("batch", i)
			c.submit(v, c.newWork(id, job.Step{Tasks: tasks[i%len(tasks)], Estimate: 2 * time.Second}))
			submitted[id] = time.Now()
			time.Sleep(167 * time.Millisecond)
		}
		time.Sleep(2 * time.Minute)
		endedAt := make(map[string]time.Time)
		for _, r := range c.cluster.History() {
			if r.Ended.After(endedAt[r.Task.Work]) {
				endedAt[r.Task.Work] = r.Ended
			}
		}
		const objective = 7 * time.Second
		onTime, largeBeforeExpiry := 0, 0
		for i := range 144 {
			id := fmt.Sprint("batch", i)
			elapsed := endedAt[id].Sub(submitted[id])
			if elapsed <= objective {
				onTime++
			}
			if tasks[i%len(tasks)] == 16 && elapsed <= 3*objective {
				largeBeforeExpiry++
			}
		}
		t.Logf("%d of 144 on time, %d of the 12 largest before they expire", onTime, largeBeforeExpiry)
		is.True(onTime >= 110)
		is.True(largeBeforeExpiry >= 8)
		c.checkHistory()
	})
}
