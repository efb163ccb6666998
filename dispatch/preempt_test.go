package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/feature"
	"turmericgap/job"
	"turmericgap/standin/floor"
	"turmericgap/worker"
)

// Guards against an urgent work that is late because long tasks hold all workers, against stopping what must go on, and
// against losing the stopped work.
func TestUrgentWorkTakesThePlaceOfOthers(t *testing.T) {
	for name, test := range map[string]struct {
		choice string
		others job.Step
		inTime bool
	}{
		"tasks that save their progress": {"preemption=on", job.Step{Tasks: 20, Checkpoints: true}, true},
		"tasks with unsaved work":        {"preemption=on", job.Step{Tasks: 20}, false},
		"a gang":                         {"preemption=on", job.Step{Tasks: 20, Checkpoints: true, Gang: true}, false},
		"off":                            {"preemption=off", job.Step{Tasks: 20, Checkpoints: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				behave := func(k worker.Task, _ int64) floor.Behaviour {
					if k.Work == "urgent" {
						return runsFor(time.Second)(k, 0)
					}
					return runsFor(10*time.Second)(k, 0)
				}
				c := newCell(t, behave)
				c.pressure = true
				c.features, _ = feature.Parse([]string{test.choice})
				c.config.Queues[0].Objective = 500 * time.Millisecond
				c.config.Queues = append(c.config.Queues, job.Queue{Name: "batch", Pool: pool, Priority: 2, MaxAttempts: 1, SlackFactor: 4, Objective: time.Minute})
				c.addWorkers(5, 4)
				v := c.startVM("vm1")
				c.waitForOwner()
				time.Sleep(time.Second)
				test.others.Estimate = 10 * time.Second
				c.enqueue(v, "batch", "others", test.others)
				time.Sleep(2 * time.Second)
				submitted := time.Now()
				c.submit(v, c.newWork("urgent", job.Step{Tasks: 2, Estimate: time.Second}))
				c.waitForState(v, "urgent", job.WorkCompleted, 15*time.Second)
				took := c.endTimes()["urgent"].Sub(submitted)
				t.Log("done after", took)
				is.Equal(took <= 2500*time.Millisecond, test.inTime)
				c.waitForState(v, "others", job.WorkCompleted, time.Minute)
				restarts := 0
				if test.inTime {
					restarts = 2
				}
				is.Equal(c.countRuns("others"), 20+restarts)
				c.checkHistory()
			})
		})
	}
}
