package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
)

// The store declines one entry VM, and the owner that this VM knows of dies. It hears nothing of the
// take-over from the store, and would tell its callers to come again for as long as it is declined, though
// the cell serves everybody else. The other VMs tell it who owns the cell.
func TestDeclinedVMFindsOwner(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(time.Second), "vm1", "vm2", "vm3")
		c.workers(2, 4)
		first := c.owner()
		time.Sleep(time.Second)
		var declined *vm
		for _, v := range c.vms {
			if v != first {
				declined = v
			}
		}
		declined.store.Down(true)
		c.kill(first)
		time.Sleep(2500 * time.Millisecond)
		is.True(c.owner() != declined)
		for _, id := range []string{"one", "two", "three"} {
			c.submit(declined, c.work(id, job.Step{Tasks: 2}))
			state, err := c.state(declined, id)
			is.NoErr(err)
			is.True(!state.Final())
		}
		c.waitForState(declined, "three", job.WorkCompleted, 10*time.Second)
		is.NoErr(declined.front.Cancel(t.Context(), "one"))
		c.checkHistory()
	})
}
