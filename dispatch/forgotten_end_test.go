package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/standin/floor"
	"turmericgap/worker"
)

// Guards against acknowledging the ends of gang members while the commit that records the end of their work is in
// flight. The workers would forget them, and if the commit fails and the worker whose end was reported first is lost,
// the next owner would start the gang again.
func TestEndForgottenDuringCommit(t *testing.T) {
	outages := map[string]func(v *vm, on bool){
		"silent": func(v *vm, on bool) { v.store.Cut(on) },
		"slow": func(v *vm, on bool) {
			v.store.Delay(0)
			if on {
				v.store.Delay(20 * time.Second)
			}
		},
	}
	for _, size := range []int{2, 3, 5} {
		for outage, set := range outages {
			for _, after := range []time.Duration{900 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond} {
				t.Run(fmt.Sprintf("gang of %d, store %s for %v", size, outage, after), func(t *testing.T) {
					inBubble(t, func(t *testing.T) { endDuringOutage(t, size, after, set) })
				})
			}
		}
	}
}

// endDuringOutage lets a gang end while the store answers neither VM. The owner hears of the end from one worker; the
// replies of the others are lost once. Later that worker is replaced, the owner dies, and the store answers again.
func endDuringOutage(t *testing.T, size int, after time.Duration, setOutage func(v *vm, on bool)) {
	is := is.New(t)
	c := newCell(t, gangBehaviour(size, 2*time.Second, worker.OutcomeDone), "vm1", "vm2")
	workers := c.addWorkers(size, 4)
	first := c.waitForOwner()
	time.Sleep(5 * time.Second)
	c.submit(first, c.newWork("gang", gangStep(size)))
	time.Sleep(1500 * time.Millisecond)
	is.Equal(c.countRuns("gang"), size)
	for _, v := range c.vms {
		setOutage(v, true)
	}
	for _, w := range workers[1:] {
		w.SetFaults(floor.Faults{DropReplies: true})
	}
	time.Sleep(time.Second)
	for _, w := range workers[1:] {
		w.SetFaults(floor.Faults{})
	}
	time.Sleep(after)
	workers[0].Crash(true)
	c.kill(first)
	for _, v := range c.vms {
		if v != first {
			setOutage(v, false)
		}
	}
	c.addWorker("spare", 4)
	c.waitForState(c.waitForOwner(), "gang", "completed", 60*time.Second)
	c.checkHistory()
}
