//go:build knownred

package dispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"turmericgap/job"
	"turmericgap/standin/floor"
	"turmericgap/worker"
)

var soundTask = floor.Behaviour{Duration: 2 * time.Second, Ending: worker.OutcomeDone}

// crashes returns how many times a worker crashed under a task of a work with the prefix.
func (c *crashCell) crashes(prefix string) int {
	n := 0
	for _, r := range c.cluster.History() {
		if r.Crashed && r.Task.Index == 0 && strings.HasPrefix(r.Task.Work, prefix) {
			n++
		}
	}
	return n
}

// Guards against a task that crashes one worker after the other without end: its work must be shown as failed within
// the allowed starts, and sound work beside it must be done.
func TestCrashingTaskIsGivenUp(t *testing.T) {
	cases := map[string]struct {
		works int
		step  job.Step
		// killOwnerEvery is the interval at which the owner is killed; zero kills none.
		killOwnerEvery time.Duration
		id             string
	}{
		"one task":          {1, job.Step{Tasks: 1, Estimate: time.Second}, 0, "bad"},
		"one of many tasks": {1, job.Step{Tasks: 5, Estimate: time.Second}, 0, "bad"},
		"four works":        {4, job.Step{Tasks: 1, Estimate: time.Second}, 0, "bad"},
		"a gang member":     {1, job.Step{Tasks: 6, Gang: true, Estimate: time.Second}, 0, "bad-gang"},
		"a service":         {1, job.Step{Tasks: 1, Service: true}, 0, "bad"},
		"owners killed":     {2, job.Step{Tasks: 1, Estimate: time.Second}, 7 * time.Second, "bad"},
	}
	for name, tc := range cases {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					c := newCrashCell(t, seed, soundTask, "vm1", "vm2")
					c.owner()
					time.Sleep(4 * time.Second)
					for i := range tc.works {
						c.submit(c.owner(), c.newWork(fmt.Sprintf("%s%d", tc.id, i), tc.step))
					}
					if tc.killOwnerEvery > 0 {
						go c.killOwners(3, tc.killOwnerEvery)
					}
					sound := c.submitSound(20, 400*time.Millisecond)
					for i := range tc.works {
						c.waitForState(c.owner(), fmt.Sprintf("%s%d", tc.id, i), job.WorkFailed, 2*time.Minute)
					}
					for _, id := range sound {
						c.waitForState(c.owner(), id, job.WorkCompleted, time.Minute)
					}
					t.Logf("%d crashes", c.crashes(badPrefix))
					c.checkHistory()
				})
			})
		}
	}
}

// killOwners kills the owner that many times and starts another VM each time.
func (c *crashCell) killOwners(times int, interval time.Duration) {
	for i := range times {
		time.Sleep(interval + time.Duration(c.rand.Int64N(int64(time.Second))))
		c.kill(c.owner())
		c.startVM(fmt.Sprint("later", i))
	}
}

// Guards against sound work that is not done, or is given up, beside works that crash its workers again and again.
func TestSoundWorkBesideCrashingTasks(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				checkSoundWorkIsDone(t, seed, func(c *crashCell) {
					for i := range 6 {
						c.submit(c.owner(), c.newWork(fmt.Sprint(badPrefix, i), job.Step{Tasks: 1, Estimate: time.Second}))
						time.Sleep(2 * time.Second)
					}
				})
			})
		})
	}
}
