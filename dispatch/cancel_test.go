package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/standin/floor"
	"turmericgap/worker"
)

// firstStart returns when the first task of a work began on a worker, zero if none has.
func (c *cell) firstStart(id string) (at time.Time) {
	for _, r := range c.cluster.History() {
		if r.Task.Work == id && (at.IsZero() || r.Started.Before(at)) {
			at = r.Started
		}
	}
	return at
}

// Guards against capacity that a cancelled work keeps: until its cancellation is durable in a slow store, until its starts
// are, or until a later pass because a gang had reserved it.
func TestCancelFreesCapacityAtOnce(t *testing.T) {
	const storeDelay = 600 * time.Millisecond
	for name, test := range map[string]struct {
		// running is the number of tasks that run at first, and for how long; gang is true if the cancelled work is one.
		running int
		runs    time.Duration
		gang    bool
		// slowAfter is when the store becomes slow, cancelAfter when the work is cancelled, and within how soon after that
		// the next work must start.
		slowAfter, cancelAfter, within time.Duration
	}{
		"its tasks run":                    {0, 0, false, time.Second, 1500 * time.Millisecond, storeDelay + 100*time.Millisecond},
		"its starts wait for their commit": {4, 2 * time.Second, false, time.Second, 2200 * time.Millisecond, storeDelay + 50*time.Millisecond},
		"it is a gang that waits":          {2, 20 * time.Second, true, time.Hour, 1460 * time.Millisecond, 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				behave := func(k worker.Task, _ int64) floor.Behaviour {
					duration := 20 * time.Second
					if k.Work == "running" {
						duration = test.runs
					}
					return runsFor(duration)(k, 0)
				}
				c := newCell(t, behave, "vm1")
				c.config.Queues[0].Objective = time.Minute
				c.addWorkers(1, 4)
				v := c.waitForOwner()
				time.Sleep(time.Second)
				if test.running > 0 {
					c.submit(v, c.newWork("running", job.Step{Tasks: test.running, Estimate: test.runs}))
				}
				begun := time.Now()
				c.submit(v, c.newWork("cancelled", job.Step{Tasks: 4, Estimate: 20 * time.Second, Gang: test.gang}))
				c.submit(v, c.newWork("next", job.Step{Tasks: 2, Estimate: 40 * time.Second}))
				time.AfterFunc(test.slowAfter, func() { v.store.Delay(storeDelay) })
				time.Sleep(time.Until(begun.Add(test.cancelAfter)))
				is.True(c.firstStart("next").IsZero())
				cancelled := time.Now()
				go v.front.Cancel(t.Context(), "cancelled", "")
				time.Sleep(5 * time.Second)
				started := c.firstStart("next")
				t.Log("started after", started.Sub(cancelled))
				is.True(!started.IsZero() && started.Sub(cancelled) <= test.within)
				c.checkHistory()
			})
		})
	}
}
