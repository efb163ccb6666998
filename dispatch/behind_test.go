package dispatch_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/rpc"
)

// Guards against an owner that stays overloaded long after the load has ended: for 20 s callers submit three times as
// much as it can decide, although the workers have capacity for all of it. Waiting work makes each pass longer, so the
// backlog never shrinks. Excess work must be refused at once with a retry time, and accepted work must end soon after
// the load.
func TestOwnerBehindCatchesUp(t *testing.T) {
	for name, vmID := range map[string]string{"submitted to the owner": "vm1", "submitted to another VM": "vm2"} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) { runOverloadedOwner(t, vmID) })
		})
	}
}

// runOverloadedOwner submits more work through a VM than the owner can decide, and checks the outcome.
func runOverloadedOwner(t *testing.T, vmID string) {
	is := is.New(t)
	c := newCell(t, runsFor(300*time.Millisecond))
	// Examining all 20 workers takes 20 ms per work, and passes may use a third of the CPU.
	c.onExamined = func(examined int) { time.Sleep(time.Duration(examined) * time.Millisecond) }
	c.startVM("vm1")
	c.addWorkers(20, 16)
	c.waitForOwner()
	v := c.vms["vm1"]
	if vmID != v.id {
		v = c.startVM(vmID)
	}
	time.Sleep(6 * time.Second)
	const perSecond, seconds, decidedPerSecond = 50, 20, 17
	var mu sync.Mutex
	var accepted []string
	refused := 0
	var callers sync.WaitGroup
	for i := range perSecond * seconds {
		time.Sleep(time.Second / perSecond)
		callers.Go(func() {
			w := c.newWork(fmt.Sprint("check", i), job.Step{Tasks: 1, Estimate: 300 * time.Millisecond})
			fault := c.submitFault(v, w)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case fault == nil:
				accepted = append(accepted, w.ID)
			case fault.Code == rpc.CodeRefused:
				refused++
				is.True(fault.RetryAfter >= time.Second)
			default:
				t.Errorf("%s: %v", w.ID, fault)
			}
		})
	}
	callers.Wait()
	t.Logf("%d accepted, %d refused", len(accepted), refused)
	for loadEnd := time.Now(); time.Since(loadEnd) < 10*time.Second; {
		time.Sleep(500 * time.Millisecond)
	}
	ends := c.endTimes()
	unfinished := 0
	for _, id := range accepted {
		if _, done := ends[id]; !done {
			unfinished++
		}
	}
	is.Equal(unfinished, 0)
	is.True(len(accepted) >= decidedPerSecond*seconds/2)
	c.checkHistory()
}
