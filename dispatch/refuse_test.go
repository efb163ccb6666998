package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/rpc"
)

// newOverloadedCell returns a cell of three VMs whose owner gets more work than it can decide until stop is called.
func newOverloadedCell(t *testing.T) (c *cell, stop func()) {
	c = newCell(t, runsFor(300*time.Millisecond))
	c.onExamined = func(examined int) { time.Sleep(time.Duration(examined) * time.Millisecond) }
	c.startVM("vm1")
	c.addWorkers(20, 16)
	c.waitForOwner()
	vms := []*vm{c.startVM("vm2"), c.startVM("vm3")}
	time.Sleep(6 * time.Second)
	ended := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-ended:
				return
			case <-time.After(20 * time.Millisecond):
				callers.Go(func() {
					c.submitFault(vms[i%2], c.newWork(fmt.Sprint("load", i), job.Step{Tasks: 1, Estimate: 300 * time.Millisecond}))
				})
			}
		}
	})
	time.Sleep(5 * time.Second)
	return c, func() {
		close(ended)
		callers.Wait()
	}
}

// Guards against refusing a work that an earlier submission with an unknown outcome still creates: through the owner,
// through the store beside it, late, or under the next owner.
func TestRefusedWorkNeverRuns(t *testing.T) {
	cases := map[string]func(c *cell, first *vm){
		"slow store":           func(_ *cell, first *vm) { first.store.Delay(600 * time.Millisecond) },
		"answers lost":         func(c *cell, _ *vm) { c.eachStore(func(v *vm) { v.store.LoseNext(20) }) },
		"calls executed late":  func(c *cell, _ *vm) { c.eachStore(func(v *vm) { v.store.DeferNext(20, 3*time.Second) }) },
		"owner dies":           func(c *cell, first *vm) { time.AfterFunc(time.Second, func() { c.kill(first) }) },
		"owner without store":  func(_ *cell, first *vm) { first.store.Cut(true) },
		"slow store, VM alone": func(c *cell, _ *vm) { c.vms["vm2"].store.Delay(600 * time.Millisecond) },
	}
	for name, disturb := range cases {
		refused := 0
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				inBubble(t, func(t *testing.T) { refused += checkRefusedWorkNeverRuns(t, seed, disturb) })
			})
		}
		is.New(t).True(refused > 0)
	}
}

// eachStore calls f for each VM.
func (c *cell) eachStore(f func(v *vm)) {
	for _, v := range c.vms {
		f(v)
	}
}

// checkRefusedWorkNeverRuns submits each of many works twice to random VMs, first with little time, and fails the test
// if a work runs that its second submission was refused and its first was not accepted. It returns how many were refused.
func checkRefusedWorkNeverRuns(t *testing.T, seed uint64, disturb func(c *cell, first *vm)) int {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 0))
	c, stop := newOverloadedCell(t)
	first := c.waitForOwner()
	disturb(c, first)
	vms := []*vm{first, c.vms["vm2"], c.vms["vm3"]}
	var mu sync.Mutex
	refused := make(map[string]bool)
	var callers sync.WaitGroup
	for i := range 150 {
		time.Sleep(20 * time.Millisecond)
		id, one, two, patience := fmt.Sprint("twice", i), vms[r.IntN(3)], vms[1+r.IntN(2)], time.Duration(20+r.IntN(400))*time.Millisecond
		callers.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			err := one.front.Submit(ctx, c.newWork(id, job.Step{Tasks: 1, Estimate: 300 * time.Millisecond}))
			fault := c.submitFault(two, c.newWork(id, job.Step{Tasks: 1, Estimate: 300 * time.Millisecond}))
			mu.Lock()
			defer mu.Unlock()
			refused[id] = err != nil && fault != nil && fault.Code == rpc.CodeRefused
		})
	}
	callers.Wait()
	c.eachStore(func(v *vm) {
		v.store.Delay(0)
		v.store.Cut(false)
	})
	stop()
	time.Sleep(40 * time.Second)
	count, ran := 0, 0
	for id, wasRefused := range refused {
		runs := c.countRuns(id)
		if runs > 0 {
			ran++
		}
		if !wasRefused {
			continue
		}
		count++
		if runs > 0 {
			t.Errorf("%s was refused but has run", id)
		}
	}
	t.Logf("%d of %d refused, %d have run", count, len(refused), ran)
	c.checkHistory()
	return count
}

// submitWithRetries submits a work, and repeats that up to four times, each when the refusal says so.
func (c *cell) submitWithRetries(v *vm, w *job.Work) (fault *rpc.Fault) {
	for range 5 {
		if fault = c.submitFault(v, w); fault == nil {
			return nil
		}
		time.Sleep(fault.RetryAfter)
	}
	return fault
}

// Guards against a refusal that outlives the overload: a refused work that is submitted again is accepted and done.
func TestRefusedWorkIsAcceptedLater(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c, stop := newOverloadedCell(t)
		other := c.vms["vm2"]
		var refused []string
		for i := range 40 {
			id := fmt.Sprint("again", i)
			if fault := c.submitFault(other, c.newWork(id, job.Step{Tasks: 1, Estimate: 300 * time.Millisecond})); fault != nil {
				is.Equal(fault.Code, rpc.CodeRefused)
				is.True(fault.RetryAfter >= time.Second)
				refused = append(refused, id)
			}
		}
		is.True(len(refused) > 10)
		stop()
		var callers sync.WaitGroup
		for _, id := range refused {
			callers.Go(func() {
				is.Equal(c.submitWithRetries(other, c.newWork(id, job.Step{Tasks: 1, Estimate: 300 * time.Millisecond})), nil)
			})
		}
		callers.Wait()
		for _, id := range refused {
			c.waitForState(other, id, job.WorkCompleted, 10*time.Second)
		}
		c.checkHistory()
	})
}
