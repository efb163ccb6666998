package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/permit"
	"turmericgap/rpc"
	"turmericgap/store"
	"turmericgap/worker"
)

// The store takes 160 ms for an answer while checks come that need a permit, which takes 18 ms. If a check is
// made durable first and its start afterwards, the second commit waits for the first, and a check that has
// 600 ms to spare has lost more than half of them before it starts.
func TestStartJoinsAcceptance(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(800*time.Millisecond), "vm1")
		c.config.Queues[0].Permit = &job.PermitCost{Base: 8 * time.Millisecond, PerWorker: time.Millisecond}
		c.permits = func(q *permit.Request) ([]string, time.Duration) { return q.Workers, 18 * time.Millisecond }
		c.workers(16, 16)
		v := c.owner()
		time.Sleep(time.Second)
		v.store.Delay(160 * time.Millisecond)
		handed := make(map[string]time.Time)
		for i := range 40 {
			id := fmt.Sprintf("check%02d", i)
			handed[id] = time.Now()
			w := c.work(id, job.Step{Tasks: 2, Estimate: 800 * time.Millisecond})
			go func() {
				if err := v.front.Submit(t.Context(), w); err != nil {
					t.Errorf("submit %s: %v", id, err)
				}
			}()
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		var begun time.Duration
		for _, r := range c.floor.History() {
			begun += r.Started.Sub(handed[r.Task.Work])
		}
		mean := begun / time.Duration(len(c.floor.History()))
		t.Logf("started %v after they were handed in", mean)
		is.True(mean < 260*time.Millisecond)
		is.Equal(len(c.endedAt()), len(handed))
		c.checkHistory()
	})
}

// A caller asks for a label that no worker has. Accepted, its work would wait for ever; it is refused at once,
// by every VM, without a time to come again, and a worker that comes with the label later is used.
func TestHopelessWorkIsRefused(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(time.Second), "vm1", "vm2")
		c.workers(2, 4)
		first := c.owner()
		time.Sleep(6 * time.Second)
		step := job.Step{Tasks: 1, Label: "gpu"}
		for i, v := range []*vm{c.vms["vm1"], c.vms["vm2"]} {
			begun := time.Now()
			fault := rpc.AsFault(v.front.Submit(t.Context(), c.work(fmt.Sprint("never", i), step)))
			is.True(fault != nil)
			is.Equal(fault.Code, rpc.CodeRefused)
			is.Equal(fault.RetryAfter, time.Duration(0))
			is.True(time.Since(begun) < 100*time.Millisecond)
		}
		info := worker.Info{ID: "w09", Address: "w09", Zone: "kochi-hall", Has: job.Resources{Millicores: 4000, MemoryMB: 64000}}
		c.floor.Add(info)
		c.register(worker.ListedWorker{Info: info, Pool: pool, Labels: []string{"gpu", "r2"}})
		time.Sleep(time.Second)
		c.submit(first, c.work("now", step))
		c.waitForState(first, "now", job.WorkCompleted, 5*time.Second)
		// The entry of the one worker with the label may only have lapsed: its work waits.
		c.put(store.Op{Delete: true, Key: workersPrefix + "w09"})
		time.Sleep(time.Second)
		c.submit(first, c.work("waits", step))
		is.Equal(c.runs("never0")+c.runs("never1")+c.runs("waits"), 0)
		c.checkHistory()
	})
}
