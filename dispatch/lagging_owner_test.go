package dispatch_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/store"
	"turmericgap/worker"
)

// Guards against taking the expired entry of a leaving worker for one that the worker removed itself, because the owner's
// loop lags: an answer that waited for the loop makes the worker's clock, and so the entry, seem younger than it is.
func TestLaggingOwnerAndExpiredEntry(t *testing.T) {
	for _, blockAfter := range []time.Duration{time.Second, 1200 * time.Millisecond, 1500 * time.Millisecond, 1800 * time.Millisecond} {
		t.Run(blockAfter.String(), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				c := newCell(t, runsFor(30*time.Second))
				var block atomic.Int64
				c.onExamined = func(int) { time.Sleep(time.Duration(block.Swap(0))) }
				v := c.startVM("vm1")
				leaving := c.addWorker("leaving", 4)
				c.waitForOwner()
				time.Sleep(time.Second)
				c.submit(v, c.newWork("roster", job.Step{Tasks: 4}))
				time.Sleep(time.Second)
				is.Equal(leaving.ActiveRuns(), 4)
				info := leaving.Info()
				info.Leaving = true
				c.register(worker.ListedWorker{Info: info, Pool: pool, Labels: []string{"a", "r1"}, Clock: leaving.Clock()})
				c.submit(v, c.newWork("waiting", job.Step{Tasks: 1}))
				time.AfterFunc(4500*time.Millisecond, func() { c.put(store.Op{Key: workersPrefix + info.ID, Delete: true}) })
				time.Sleep(blockAfter)
				block.Store(int64(4600*time.Millisecond - blockAfter))
				time.Sleep(4 * time.Second)
				c.addWorker("spare", 8)
				time.Sleep(5 * time.Second)
				c.checkHistory()
				is.Equal(c.countRuns("roster"), 4)
			})
		})
	}
}
