//go:build knownred

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

// Guards against an owner that stays overloaded long after the load has ended: callers submit more than it can decide,
// waiting work makes each pass longer, and the backlog never shrinks. Excess work must be refused at once with a retry
// time, and accepted work must end soon after the load.
func TestOwnerBehindCatchesUp(t *testing.T) {
	for name, by := range map[string]string{"submitted to the owner": "vm1", "submitted to another VM": "vm2"} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) { runOverloadedOwner(t, by) })
		})
	}
}

// runOverloadedOwner submits more work at the VM named by than the owner can decide, and checks what becomes of it.
func runOverloadedOwner(t *testing.T, by string) {
	is := is.New(t)
	c := newCell(t, runsFor(300*time.Millisecond))
	// Examining all 20 workers takes 20 ms per work, and passes may use a third of the CPU.
	c.onExamined = func(examined int) { time.Sleep(time.Duration(examined) * time.Millisecond) }
	c.startVM("vm1")
	c.addWorkers(20, 16)
	c.waitForOwner()
	v := c.vms["vm1"]
	if by != v.id {
		v = c.startVM(by)
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
	left := 0
	for _, id := range accepted {
		if _, done := ends[id]; !done {
			left++
		}
	}
	is.Equal(left, 0)
	is.True(len(accepted) >= decidedPerSecond*seconds/2)
	c.checkHistory()
}
