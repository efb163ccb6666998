package dispatch_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/standin/floor"
	"turmericgap/worker"
)

// A caller hands work in at any entry VM and sees it completed at any other.
func TestWorkIsDone(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCell(t, runsFor(time.Second), "vm1", "vm2", "vm3")
		c.workers(3, 4)
		c.owner()
		for _, v := range c.vms {
			c.submit(v, c.work("0000-"+v.id, job.Step{Tasks: 6}))
		}
		for _, v := range c.vms {
			for _, o := range c.vms {
				c.waitForState(o, "0000-"+v.id, job.WorkCompleted, 10*time.Second)
			}
		}
		c.checkHistory()
	})
}

// Steps run in their order, and a task that fails runs again, elsewhere, until its attempts are used up.
func TestStepsAndAttempts(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, func(task worker.Task, run int64) floor.Behaviour {
			b := floor.Behaviour{Duration: time.Second, Ending: worker.OutcomeDone, MaxAttempts: 2, Resources: job.Resources{Millicores: 1000}}
			if task.Work == "bad" || (task.Step == 0 && task.Index == 0 && run == 1) {
				b.Ending = worker.OutcomeFailed
			}
			return b
		}, "vm1", "vm2")
		c.workers(3, 4)
		v := c.owner()
		w := c.work("good", job.Step{Tasks: 2})
		w.Steps = append(w.Steps, job.Step{Tasks: 2, TaskResources: w.Steps[0].TaskResources, DependsOn: []int{0}})
		c.submit(v, w)
		c.submit(v, c.work("bad", job.Step{Tasks: 1}))
		c.waitForState(v, "good", job.WorkCompleted, 10*time.Second)
		c.waitForState(v, "bad", job.WorkFailed, 10*time.Second)
		is.Equal(c.runs("good"), 5)
		is.Equal(c.runs("bad"), 2)
		c.checkHistory()
	})
}

// A repeat of an ID is the same work, also after its end; work that nobody handed in is not found.
func TestRepeatedID(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(time.Second), "vm1", "vm2")
		c.workers(1, 4)
		c.owner()
		for range 2 {
			for _, v := range c.vms {
				c.submit(v, c.work("same", job.Step{Tasks: 1}))
			}
			c.waitForState(c.owner(), "same", job.WorkCompleted, 10*time.Second)
		}
		is.Equal(c.runs("same"), 1)
		_, err := c.state(c.owner(), "other")
		is.True(isNotFound(err))
		c.checkHistory()
	})
}

// A caller cancels while tasks run: the state is shown at once, the tasks are stopped, none starts again.
func TestCancel(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(time.Minute), "vm1", "vm2")
		ws := c.workers(2, 4)
		c.owner()
		v := c.vms["vm2"]
		c.submit(v, c.work("long", job.Step{Tasks: 10}))
		time.Sleep(time.Second)
		is.Equal(ws[0].ActiveRuns()+ws[1].ActiveRuns(), 8)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.NoErr(v.front.Cancel(ctx, "long"))
		state, err := c.state(v, "long")
		is.NoErr(err)
		is.Equal(state, job.WorkCancelled)
		time.Sleep(time.Second)
		is.Equal(ws[0].ActiveRuns()+ws[1].ActiveRuns(), 0)
		is.Equal(c.runs("long"), 8)
		c.checkHistory()
	})
}

// The owner dies: another VM takes over, what runs goes on, and nothing runs twice.
func TestOwnerDies(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(8*time.Second), "vm1", "vm2", "vm3")
		c.workers(3, 4)
		first := c.owner()
		c.submit(first, c.work("roster", job.Step{Tasks: 15}))
		time.Sleep(2 * time.Second)
		c.kill(first)
		second := c.owner()
		is.True(second != first)
		c.waitForState(second, "roster", job.WorkCompleted, 30*time.Second)
		is.Equal(c.runs("roster"), 15)
		c.checkHistory()
	})
}

// A planned stop hands the cell over without the wait for a lease.
func TestHandOver(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(time.Second), "vm1", "vm2")
		c.workers(1, 4)
		first := c.owner()
		begun := time.Now()
		first.group.Resign(t.Context())
		second := c.owner()
		is.True(second != first)
		is.True(time.Since(begun) < 500*time.Millisecond)
	})
}

// All entry VMs lose power and come back while the owner's lease has not lapsed. The owner's VM knows
// the key as that of its own dead process and goes on at once, so that nobody waits for the lease.
func TestAllRestart(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(4*time.Second), "vm1", "vm2", "vm3")
		c.workers(2, 4)
		v := c.owner()
		c.submit(v, c.work("roster", job.Step{Tasks: 10}))
		time.Sleep(2 * time.Second)
		for _, each := range c.vms {
			c.kill(each)
		}
		begun := time.Now()
		for _, id := range []string{"vm1", "vm2", "vm3"} {
			c.boot(id)
		}
		again := c.owner()
		is.True(time.Since(begun) < 700*time.Millisecond)
		c.waitForState(again, "roster", job.WorkCompleted, 20*time.Second)
		is.Equal(c.runs("roster"), 10)
		c.checkHistory()
	})
}

// A weak VM owns the cell because it came first. When a strong one has been there for a while it gets
// the cell, keeps it when more weak ones come, and nothing that runs is run again.
func TestStrongVMOwns(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(6*time.Second), "a-weak")
		c.workers(2, 4)
		is.Equal(c.owner().id, "a-weak")
		c.submit(c.owner(), c.work("roster", job.Step{Tasks: 8}))
		time.Sleep(time.Second)
		c.bootStrong("z-strong", 4)
		c.boot("b-weak")
		time.Sleep(4 * time.Second)
		strong := c.owner()
		is.Equal(strong.id, "z-strong")
		c.waitForState(strong, "roster", job.WorkCompleted, 20*time.Second)
		is.Equal(c.runs("roster"), 8)
		time.Sleep(10 * time.Second)
		is.Equal(c.owner().id, "z-strong")
		c.kill(strong)
		is.True(c.owner().id != "z-strong")
		c.checkHistory()
	})
}
