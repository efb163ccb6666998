package dispatch_test

import (
	"context"
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
			play(t, func(t *testing.T) { catchUp(t, by) })
		})
	}
}

// catchUp has callers hand in too much at a VM.
func catchUp(t *testing.T, by string) {
	is := is.New(t)
	c := newCell(t, runsFor(300*time.Millisecond))
	// A look at each of 20 workers for each work takes 20 ms, and passes a third of the processor.
	c.spend = func(looks int) { time.Sleep(time.Duration(looks) * time.Millisecond) }
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
			fault := c.try(v, w)
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
	c.judge()
}

// An owner that is behind has taken works and not made them durable yet, as its store is slow; their callers have given
// up, and hand the same IDs in at another VM. Told "refused" there, they would believe that their works never run, and
// these run all the same: neither the store nor the other VM knows of them, the owner alone does.
func TestTakenWorkIsNotRefusedElsewhere(t *testing.T) {
	play(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(300*time.Millisecond))
		c.spend = func(looks int) { time.Sleep(time.Duration(looks) * time.Millisecond) }
		c.boot("vm1")
		c.workers(20, 16)
		first := c.owner()
		other := c.boot("vm2")
		time.Sleep(6 * time.Second)
		var callers sync.WaitGroup
		for i := range 400 {
			time.Sleep(20 * time.Millisecond)
			callers.Go(func() {
				c.try(other, c.work(fmt.Sprint("load", i), job.Step{Tasks: 1, Estimate: 300 * time.Millisecond}))
			})
		}
		first.store.Delay(600 * time.Millisecond)
		var mu sync.Mutex
		refused := make(map[string]bool)
		for i := range 100 {
			time.Sleep(20 * time.Millisecond)
			id := fmt.Sprint("twice", i)
			callers.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
				defer cancel()
				_ = first.front.Submit(ctx, c.work(id, job.Step{Tasks: 1, Estimate: 300 * time.Millisecond}))
				fault := c.try(other, c.work(id, job.Step{Tasks: 1, Estimate: 300 * time.Millisecond}))
				mu.Lock()
				defer mu.Unlock()
				refused[id] = fault != nil && fault.Code == rpc.CodeRefused
			})
		}
		callers.Wait()
		first.store.Delay(0)
		time.Sleep(20 * time.Second)
		ran := 0
		for id, no := range refused {
			if c.runs(id) > 0 {
				ran++
				if no {
					t.Errorf("%s was refused, and has run", id)
				}
			}
		}
		t.Logf("%d of %d have run", ran, len(refused))
		is.True(ran > 0)
		c.judge()
	})
}
