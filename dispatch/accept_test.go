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

// Guards against committing the acceptance of a check and its start one after the other. With a store that takes
// 160 ms per commit, the second commit waits for the first, and a check with 600 ms of slack loses more than half of
// it before it starts.
func TestStartIsCommittedWithAcceptance(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(800*time.Millisecond), "vm1")
		c.config.Queues[0].Permit = &job.PermitCost{Base: 8 * time.Millisecond, PerWorker: time.Millisecond}
		c.permits = func(req *permit.Request) ([]string, time.Duration) { return req.Workers, 18 * time.Millisecond }
		c.addWorkers(16, 16)
		v := c.waitForOwner()
		time.Sleep(time.Second)
		v.store.Delay(160 * time.Millisecond)
		submitted := make(map[string]time.Time)
		for i := range 40 {
			id := fmt.Sprintf("check%02d", i)
			submitted[id] = time.Now()
			w := c.newWork(id, job.Step{Tasks: 2, Estimate: 800 * time.Millisecond})
			go func() {
				if err := v.front.Submit(t.Context(), w); err != nil {
					t.Errorf("submit %s: %v", id, err)
				}
			}()
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		var totalDelay time.Duration
		for _, r := range c.cluster.History() {
			totalDelay += r.Started.Sub(submitted[r.Task.Work])
		}
		mean := totalDelay / time.Duration(len(c.cluster.History()))
		t.Logf("mean delay from submission to start: %v", mean)
		is.True(mean < 260*time.Millisecond)
		is.Equal(len(c.endTimes()), len(submitted))
		c.checkHistory()
	})
}

// Guards against accepting work that no worker can run: it would wait forever. Every VM must refuse it at once and
// without a retry time, and a worker with the label that registers later must be used.
func TestInfeasibleWorkIsRefused(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(time.Second), "vm1", "vm2")
		c.addWorkers(2, 4)
		first := c.waitForOwner()
		time.Sleep(6 * time.Second)
		step := job.Step{Tasks: 1, Label: "gpu"}
		for i, v := range []*vm{c.vms["vm1"], c.vms["vm2"]} {
			start := time.Now()
			fault := rpc.AsFault(v.front.Submit(t.Context(), c.newWork(fmt.Sprint("never", i), step)))
			is.True(fault != nil)
			is.Equal(fault.Code, rpc.CodeRefused)
			is.Equal(fault.RetryAfter, time.Duration(0))
			is.True(time.Since(start) < 100*time.Millisecond)
		}
		info := worker.Info{ID: "w09", Address: "w09", Zone: "kochi-hall", Has: job.Resources{Millicores: 4000, MemoryMB: 64000}}
		c.cluster.Add(info)
		c.register(worker.ListedWorker{Info: info, Pool: pool, Labels: []string{"gpu", "r2"}})
		time.Sleep(time.Second)
		c.submit(first, c.newWork("now", step))
		c.waitForState(first, "now", job.WorkCompleted, 5*time.Second)
		// The entry of the only worker with the label may merely have expired, so the work waits.
		c.put(store.Op{Delete: true, Key: workersPrefix + "w09"})
		time.Sleep(time.Second)
		c.submit(first, c.newWork("waits", step))
		is.Equal(c.countRuns("never0")+c.countRuns("never1")+c.countRuns("waits"), 0)
		c.checkHistory()
	})
}
