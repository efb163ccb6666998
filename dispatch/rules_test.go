package dispatch_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/owner"
	"turmericgap/rpc"
	_ "turmericgap/rule/standard" // Registers the actions.
	"turmericgap/store"
)

// rules stores a version of the operators' rules, as their command line does.
func (c *cell) rules(version int, rules string) {
	c.put(store.Op{Key: owner.RulesKey, Value: fmt.Appendf(nil, `{"version":%d,"editor":"asha","rules":{"version":%d,"rules":%s}}`, version, version, rules)})
	time.Sleep(500 * time.Millisecond)
}

func (c *cell) trySubmit(v *vm, w *job.Work) *rpc.Fault {
	ctx, cancel := context.WithTimeout(c.t.Context(), 3*time.Second)
	defer cancel()
	return rpc.AsFault(v.front.Submit(ctx, w))
}

// Operators refuse large work for a while. Each entry VM says so within a second, with the rule, its reason
// and when to come again; nothing of the work ever runs. A caller whose work was accepted before, and who
// repeats it, must be told that it is accepted. Rules with findings and older ones change nothing.
func TestRulesRefuse(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(time.Second), "vm1", "vm2")
		c.workers(4, 4)
		c.owner()
		time.Sleep(5 * time.Second)
		before := c.work("before", job.Step{Tasks: 8})
		c.submit(c.vms["vm1"], before)
		c.rules(3, `[{"id":"no-large","when":"tasks > 4 && class == \"roster\"","then":[{"kind":"refuse","with":{"reason":"month end","retryAfterSeconds":7}}]}]`)
		for _, v := range c.vms {
			fault := c.trySubmit(v, c.work("large-"+v.id, job.Step{Tasks: 8}))
			is.True(fault != nil)
			is.Equal(fault.Code, rpc.CodeRefused)
			is.Equal(fault.Reason, "rule no-large: month end")
			is.Equal(fault.RetryAfter, 7*time.Second)
			is.True(c.trySubmit(v, before) == nil)
			is.True(c.trySubmit(v, c.work("small-"+v.id, job.Step{Tasks: 2})) == nil)
		}
		c.rules(2, `[]`)
		c.rules(4, `[{"id":"","then":[]}]`)
		is.True(c.trySubmit(c.vms["vm2"], c.work("large", job.Step{Tasks: 8})) != nil)
		time.Sleep(10 * time.Second)
		is.Equal(c.runs("large-vm1")+c.runs("large-vm2")+c.runs("large"), 0)
		c.rules(5, `[]`)
		c.submit(c.vms["vm2"], c.work("large", job.Step{Tasks: 8}))
		c.waitForState(c.vms["vm1"], "large", job.WorkCompleted, 10*time.Second)
		c.checkHistory()
	})
}

// Sweeps may use three cores at a time, and batches go before the checks that are otherwise more urgent:
// the first rule that holds decides, for what waits already too, and after a take-over as before.
func TestRulesGovern(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(2*time.Second), "vm1", "vm2")
		c.config.Queues = []job.Queue{
			{Name: "sweep", Pool: pool, Priority: 1, MaxAttempts: 2, SlackFactor: 9, TargetDuration: time.Minute},
			{Name: "check", Pool: pool, MaxAttempts: 2, SlackFactor: 9, TargetDuration: time.Minute},
			{Name: "batch", Pool: pool, Priority: 2, MaxAttempts: 2, SlackFactor: 9, TargetDuration: time.Minute},
		}
		c.workers(2, 4)
		v := c.owner()
		time.Sleep(5 * time.Second)
		hand := func(queue, id string, tasks int) {
			c.submitTo(v, queue, id, job.Step{Tasks: tasks, Estimate: 2 * time.Second})
		}
		c.rules(1, `[{"id":"sweeps","when":"class == \"sweep\"","then":[{"kind":"limit","with":{"mostRunning":3}}]},
			{"id":"batches","when":"class in [\"sweep\", \"batch\"]","then":[{"kind":"queue","with":{"priority":4}}]}]`)
		hand("sweep", "sweep", 9)
		time.Sleep(time.Second)
		is.Equal(c.runs("sweep"), 3)
		hand("check", "check", 10)
		hand("batch", "batch", 5)
		time.Sleep(500 * time.Millisecond)
		c.kill(v)
		v = c.owner()
		for _, id := range []string{"sweep", "check", "batch"} {
			c.waitForState(v, id, job.WorkCompleted, time.Minute)
		}
		first := make(map[string]time.Time)
		for _, r := range c.floor.History() {
			first[r.Task.Work] = laterOf(first[r.Task.Work], r.Started)
		}
		is.True(first["batch"].Before(first["check"])) // its last task began before the last check
		is.True(maxConcurrent(c, "sweep") <= 3)
		c.checkHistory()
	})
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// maxConcurrent counts the runs of a work that were present together.
func maxConcurrent(c *cell, id string) int {
	most := 0
	for _, at := range c.floor.History() {
		n := 0
		for _, r := range c.floor.History() {
			if r.Task.Work == id && !r.Started.After(at.Started) && r.Ended.After(at.Started) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
