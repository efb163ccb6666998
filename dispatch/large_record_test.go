package dispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/rpc"
	"turmericgap/standin/floor"
	"turmericgap/worker"
)

// Guards against a work whose record the store rejects, and which keeps all others from being recorded: each commit that
// holds it fails as a whole.
func TestRejectedRecordStopsNoOthers(t *testing.T) {
	for name, large := range map[string]job.Step{
		"its progress is too large": {Tasks: 400},
		"its gang is too large":     {Tasks: 100, Gang: true},
	} {
		for _, takeOver := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, owner is lost %v", name, takeOver), func(t *testing.T) {
				inBubble(t, func(t *testing.T) { commitBesideRejected(t, large, takeOver) })
			})
		}
	}
}

// commitBesideRejected submits a work whose progress outgrows what the store takes once its tasks start, beside others.
func commitBesideRejected(t *testing.T, large job.Step, takeOver bool) {
	is := is.New(t)
	c := newCell(t, runsFor(time.Second), "vm1", "vm2")
	c.maxValueBytes.Store(700)
	v := c.waitForOwner()
	time.Sleep(5 * time.Second)
	c.submit(v, c.newWork("large", large)) // no worker is there, so that only the work itself is recorded
	c.addWorkers(8, 16)
	var ids []string
	for i := range 10 {
		ids = append(ids, fmt.Sprint("x", i))
		c.submit(v, c.newWork(ids[i], job.Step{Tasks: 2}))
		time.Sleep(100 * time.Millisecond)
	}
	if takeOver {
		c.kill(v)
		v = c.waitForSuccessor(v)
	}
	for _, id := range ids {
		c.waitForState(v, id, job.WorkCompleted, 5*time.Second)
	}
	c.waitForState(v, "large", job.WorkFailed, 20*time.Second)
	is.Equal(c.countRuns("large"), 0)
	c.checkHistory()
}

// Guards against telling the caller of a work that the store does not take that it may have been accepted, or that a retry
// could help, whoever creates the work.
func TestWorkThatCannotBeRecordedIsInvalid(t *testing.T) {
	for _, owned := range []bool{true, false} {
		t.Run(fmt.Sprint("by an owner ", owned), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				c := newCell(t, runsFor(time.Second), "vm1", "vm2")
				c.maxValueBytes.Store(700)
				v := c.waitForOwner()
				time.Sleep(5 * time.Second)
				if !owned {
					c.kill(v)
					for _, v = range c.vms {
						if !v.dead.Load() {
							break
						}
					}
				}
				w := c.newWork("x", job.Step{Tasks: 1})
				w.Spec = strings.Repeat("s", 1000)
				fault := rpc.AsFault(v.front.Submit(t.Context(), w))
				is.True(fault != nil && fault.Code == rpc.CodeInvalid)
				if owned {
					c.submit(v, c.newWork("y", job.Step{Tasks: 1}))
				}
			})
		})
	}
}

// Guards against a work that grows beyond what the store takes for one record, and against one that keeps others waiting.
func TestLargeWorkRunsBesideOthers(t *testing.T) {
	steps := map[string][]job.Step{
		"many tasks":       {{Tasks: 600}, {Tasks: 600}, {Tasks: 600}},
		"gangs and tasks":  {{Tasks: 10, Gang: true}, {Tasks: 900}, {Tasks: 10, Gang: true, DependsOn: []int{0}}},
		"with checkpoints": {{Tasks: 500, Checkpoints: true}},
	}
	for name, s := range steps {
		for _, takeOver := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, owner is lost %v", name, takeOver), func(t *testing.T) {
				inBubble(t, func(t *testing.T) { runBesideLarge(t, s, takeOver) })
			})
		}
	}
}

// runBesideLarge submits a work beside others, in a cell whose store takes a fraction of what its progress would need task
// by task.
func runBesideLarge(t *testing.T, steps []job.Step, takeOver bool) {
	is := is.New(t)
	c := newCell(t, func(task worker.Task, _ int64) floor.Behaviour {
		b := floor.Behaviour{Duration: 300 * time.Millisecond, Ending: worker.OutcomeDone, Resources: job.Resources{Millicores: 100, MemoryMB: 10}}
		if steps[task.Step].Gang && task.Work == "large" {
			b.GangSize = steps[task.Step].Tasks
		}
		if steps[task.Step].Checkpoints {
			b.CheckpointInterval = 50 * time.Millisecond
		}
		return b
	})
	c.knowsMaxValue = true
	c.maxValueBytes.Store(4 << 10)
	c.startVM("vm1")
	c.startVM("vm2")
	c.addWorkers(6, 16)
	v := c.waitForOwner()
	time.Sleep(5 * time.Second)
	w := c.newWork("large", job.Step{Tasks: 1})
	w.Steps = steps
	for i := range w.Steps {
		w.Steps[i].TaskResources = job.Resources{Millicores: 100, MemoryMB: 10}
	}
	c.submit(v, w)
	small := job.Step{Tasks: 2, TaskResources: job.Resources{Millicores: 100, MemoryMB: 10}}
	for i := range 20 {
		c.submit(v, c.newWork(fmt.Sprint("x", i), small))
		time.Sleep(100 * time.Millisecond)
		if takeOver && i == 10 {
			c.kill(v)
			v = c.waitForSuccessor(v)
		}
	}
	for i := range 20 {
		c.waitForState(v, fmt.Sprint("x", i), job.WorkCompleted, 4*time.Second)
	}
	c.waitForState(v, "large", job.WorkCompleted, time.Minute)
	is.Equal(v.metrics.Counter("dispatch.commitsRejected").Count(), int64(0))
	c.checkHistory()
}

// Guards against a work whose occurrences are all due at once, and which takes the owner's memory and time.
func TestOpenOccurrencesAreBounded(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCell(t, runsFor(100*time.Millisecond), "vm1", "vm2")
		c.addWorkers(6, 16)
		v := c.waitForOwner()
		time.Sleep(5 * time.Second)
		w := c.newWork("often", job.Step{Tasks: 1})
		w.Occurrences, w.FirstDue = 1_000_000_000, time.Now().Add(-time.Second)
		c.submit(v, w)
		c.submit(v, c.newWork("x", job.Step{Tasks: 2}))
		c.waitForState(v, "x", job.WorkCompleted, 4*time.Second)
		time.Sleep(10 * time.Second)
		if n := c.countRuns("often"); n < 3000 {
			t.Errorf("%d of its occurrences have run, with room for 960 at a time", n)
		}
		c.checkHistory()
	})
}

// Guards against accepting a work whose services need a larger record than the store takes, and against keeping its caller
// waiting for the answer.
func TestWorkTooLargeToRecordIsInvalid(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(time.Second), "vm1", "vm2")
		v := c.waitForOwner()
		w := c.newWork("x", job.Step{Tasks: job.MaxStepTasks, Service: true})
		w.Steps = append(w.Steps, w.Steps[0], w.Steps[0])
		fault := rpc.AsFault(v.front.Submit(t.Context(), w))
		is.True(fault != nil && fault.Code == rpc.CodeInvalid && len(fault.Findings) == 1)
		_, err := c.state(v, "x")
		is.True(isNotFound(err))
	})
}
