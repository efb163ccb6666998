package dispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/rpc"
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
	c.maxValueBytes = 700
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
				c.maxValueBytes = 700
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
