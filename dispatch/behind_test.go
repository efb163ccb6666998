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

// For 20 s callers hand in three times as much as the owner has time to decide, though the workers have room for all.
// Taken, it would wait, each pass would take longer for what waits, and the cell would stand long after the load has
// gone. What is too much is turned away at once, with a time to come back; what was taken is done soon after.
func TestOwnerBehindCatchesUp(t *testing.T) {
	for name, by := range map[string]string{"at the owner": "vm1", "at another VM": "vm2"} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) { catchUp(t, by) })
		})
	}
}

// catchUp has callers hand in too much at a VM.
func catchUp(t *testing.T, by string) {
	is := is.New(t)
	c := newCell(t, runsFor(300*time.Millisecond))
	// A look at each of 20 workers for each work takes 20 ms, and passes a third of the processor.
	c.onExamined = func(looks int) { time.Sleep(time.Duration(looks) * time.Millisecond) }
	c.boot("vm1")
	c.workers(20, 16)
	c.owner()
	v := c.vms["vm1"]
	if by != v.id {
		v = c.boot(by)
	}
	time.Sleep(6 * time.Second)
	const perSecond, seconds, decides = 50, 20, 17
	var mu sync.Mutex
	var taken []string
	refused := 0
	var callers sync.WaitGroup
	for i := range perSecond * seconds {
		time.Sleep(time.Second / perSecond)
		callers.Go(func() {
			w := c.work(fmt.Sprint("check", i), job.Step{Tasks: 1, Estimate: 300 * time.Millisecond})
			fault := c.trySubmit(v, w)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case fault == nil:
				taken = append(taken, w.ID)
			case fault.Code == rpc.CodeRefused:
				refused++
				is.True(fault.RetryAfter >= time.Second)
			default:
				t.Errorf("%s: %v", w.ID, fault)
			}
		})
	}
	callers.Wait()
	t.Logf("%d taken, %d turned away", len(taken), refused)
	for ended := time.Now(); time.Since(ended) < 10*time.Second; {
		time.Sleep(500 * time.Millisecond)
	}
	at := c.endedAt()
	left := 0
	for _, id := range taken {
		if _, done := at[id]; !done {
			left++
		}
	}
	is.Equal(left, 0)
	is.True(len(taken) >= decides*seconds/2)
	c.checkHistory()
}
