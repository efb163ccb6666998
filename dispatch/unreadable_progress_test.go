package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/store"
)

// Guards against starting a work from its beginning because its progress cannot be decoded: its tasks may be running, or
// done.
func TestUnreadableProgressIsNoFreshWork(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCell(t, runsFor(20*time.Second), "vm1", "vm2")
		c.addWorker("w00", 4)
		v := c.waitForOwner()
		time.Sleep(5 * time.Second)
		c.submit(v, c.newWork("roster", job.Step{Tasks: 1}))
		time.Sleep(2 * time.Second)
		c.addWorker("x00", 4)
		reached := "w00"
		for _, o := range c.vms {
			o.cutFrom.Store(&reached)
		}
		c.kill(v)
		c.put(store.Op{Key: "turmericgap/state/roster", Value: []byte("\xc1")})
		v = c.waitForOwner()
		time.Sleep(10 * time.Second)
		err := v.dispatcher.Cancel(t.Context(), "roster", "")
		is.New(t).NoErr(err)
		c.waitForState(v, "roster", job.WorkCancelled, time.Second)
		c.checkHistory()
	})
}
