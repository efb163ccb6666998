package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/standin/floor"
	"turmericgap/worker"
)

// Guards against acknowledging a failure that is heard late while the end of its work is decided but not durable. The
// worker would forget it, and if the owner dies before the work has ended, its successor would start the gang once too
// often.
func TestFailureHeardLateDuringEnd(t *testing.T) {
	for _, after := range []time.Duration{900 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(fmt.Sprint("owner dies after ", after), func(t *testing.T) {
			inBubble(t, func(t *testing.T) { failLateDuringCancel(t, after) })
		})
	}
}

// failLateDuringCancel cancels a gang while the store answers no VM, and then lets the worker answer that has yet to
// report the first of the gang's two failures.
func failLateDuringCancel(t *testing.T, after time.Duration) {
	is := is.New(t)
	c := newCell(t, gangBehaviour(2, 2*time.Second, worker.OutcomeFailed), "vm1", "vm2")
	workers := c.addWorkers(6, 4)
	first := c.waitForOwner()
	time.Sleep(5 * time.Second)
	c.submit(first, c.newWork("gang", gangStep(2)))
	time.Sleep(time.Second)
	for _, r := range c.cluster.History() {
		for _, w := range workers {
			if r.Task.Index == 0 && r.Worker == w.Info().ID {
				w.SetFaults(floor.Faults{Unreachable: true})
			}
		}
	}
	time.Sleep(6500 * time.Millisecond)
	is.Equal(c.countRuns("gang"), 4) // the second run has failed as well
	for _, v := range c.vms {
		v.store.Cut(true)
	}
	go func() { _ = first.dispatcher.Cancel(t.Context(), "gang", "") }()
	time.Sleep(10 * time.Millisecond)
	for _, w := range workers {
		w.SetFaults(floor.Faults{})
	}
	time.Sleep(after)
	c.kill(first)
	for _, v := range c.vms {
		if v != first {
			v.store.Cut(false)
		}
	}
	c.waitForState(c.waitForOwner(), "gang", job.WorkFailed, time.Minute)
	c.checkHistory()
	is.Equal(c.countRuns("gang"), 4)
}
