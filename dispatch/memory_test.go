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

// Guards against accepted works that fill the memory of the cell's owner, whichever VM accepts them, against works that are
// refused although they were accepted before, and against memory that is not returned.
func TestWorksBeyondMemoryAreRefused(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(time.Second))
		c.maxWorkBytes = 20000
		c.startVM("vm1")
		c.startVM("vm2")
		v := c.waitForOwner()
		time.Sleep(5 * time.Second)
		step := job.Step{Tasks: 1, Image: strings.Repeat("a", 6000)}
		submit := func(via *vm, id string) *rpc.Fault { return rpc.AsFault(c.submitFor(via, "", id, step)) }
		other := c.vms["vm1"]
		if other == v {
			other = c.vms["vm2"]
		}
		for i, via := range []*vm{v, other} {
			is.Equal(submit(via, fmt.Sprint("x", i)), nil)
		}
		for _, via := range []*vm{v, other} {
			refused := submit(via, "y"+via.id)
			is.Equal(refused.Code, rpc.CodeRefused)
			is.True(refused.RetryAfter > 0)
			is.Equal(submit(via, "x0"), nil) // accepted before
		}
		c.kill(v)
		v = c.waitForSuccessor(v)
		time.Sleep(5 * time.Second)
		is.Equal(submit(v, "z").Code, rpc.CodeRefused)
		c.addWorkers(2, 16)
		for i := range 2 {
			c.waitForState(v, fmt.Sprint("x", i), job.WorkCompleted, 5*time.Second)
		}
		time.Sleep(12 * time.Second)
		is.Equal(submit(v, "z"), nil)
		c.waitForState(v, "z", job.WorkCompleted, 5*time.Second)
		for _, id := range []string{"yvm1", "yvm2"} {
			is.Equal(c.countRuns(id), 0)
		}
		c.checkHistory()
	})
}
