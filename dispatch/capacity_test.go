package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/permit"
	"turmericgap/standin/floor"
	"turmericgap/worker"
)

// setCapacity changes the capacity of a worker, which its entry shows at once.
func (c *cell) setCapacity(w *floor.Worker, cores int64) {
	w.SetCapacity(job.Resources{Millicores: cores * 1000, MemoryMB: 64000})
	c.register(worker.ListedWorker{Info: w.Info(), Pool: pool, Labels: []string{"a", "r1"}})
}

// Guards against overfilling a worker whose capacity shrinks between the decision to start tasks there and their start.
func TestShrunkWorkerIsNotOverfilled(t *testing.T) {
	cases := map[string]func(c *cell, v *vm, w *floor.Worker){
		"while the starts wait for their commit": func(c *cell, v *vm, w *floor.Worker) {
			v.store.Delay(900 * time.Millisecond)
			time.AfterFunc(50*time.Millisecond, func() { c.setCapacity(w, 4) })
			c.submit(v, c.newWork("batch", job.Step{Tasks: 12}))
			v.store.Delay(0)
		},
		"while permits are requested": func(c *cell, v *vm, w *floor.Worker) {
			c.config.Queues[0].Permit = &job.PermitCost{Base: 600 * time.Millisecond, PerWorker: 10 * time.Millisecond, Valid: 1500 * time.Millisecond}
			c.permits = func(req *permit.Request) ([]string, time.Duration) { return req.Workers, 600 * time.Millisecond }
			c.submit(v, c.newWork("batch", job.Step{Tasks: 12}))
			time.Sleep(300 * time.Millisecond)
			c.setCapacity(w, 4)
		},
		"under a gang that waits for capacity": func(c *cell, v *vm, w *floor.Worker) {
			c.submit(v, c.newWork("first", job.Step{Tasks: 16, Estimate: time.Second}))
			c.submit(v, c.newWork("batch", job.Step{Tasks: 4, Estimate: time.Second}))
			time.Sleep(300 * time.Millisecond)
			c.setCapacity(w, 4)
		},
		"and the owner dies": func(c *cell, v *vm, w *floor.Worker) {
			c.submit(v, c.newWork("batch", job.Step{Tasks: 24}))
			time.Sleep(100 * time.Millisecond)
			c.startVM("vm2")
			c.setCapacity(w, 4)
			c.kill(v)
		},
		"and the owner cannot read the entry": func(c *cell, v *vm, w *floor.Worker) {
			v.workersListCut.Store(true)
			time.Sleep(time.Second)
			c.setCapacity(w, 4)
			c.submit(v, c.newWork("batch", job.Step{Tasks: 12}))
			time.Sleep(5 * time.Second)
			v.workersListCut.Store(false)
		},
		"six times under load": func(c *cell, v *vm, w *floor.Worker) {
			for i := range 60 {
				c.submit(v, c.newWork(fmt.Sprint("load", i), job.Step{Tasks: 2, Estimate: time.Second}))
				if i%5 == 4 {
					time.Sleep(time.Second)
					c.setCapacity(w, 4+12*int64(i/5%2))
				}
			}
			c.submit(v, c.newWork("batch", job.Step{Tasks: 4}))
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				c := newCell(t, runsFor(time.Second), "vm1")
				ws := c.addWorkers(1, 16)
				v := c.waitForOwner()
				time.Sleep(2 * time.Second)
				disturb(c, v, ws[0])
				c.waitForState(c.waitForOwner(), "batch", job.WorkCompleted, time.Minute)
				is.Equal(c.countRuns("batch"), c.countDone("batch"))
				c.checkHistory()
			})
		})
	}
}

// countDone returns how many runs of a work have ended as done.
func (c *cell) countDone(id string) int {
	n := 0
	for _, r := range c.cluster.History() {
		if r.Task.Work == id && r.Ending == worker.OutcomeDone {
			n++
		}
	}
	return n
}
