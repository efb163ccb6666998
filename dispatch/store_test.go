package dispatch_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/owner"
	"turmericgap/rpc"
	"turmericgap/store"
)

// Guards against losing accepted work, running tasks twice and overfilling workers when the store fails during
// submissions, with and without the death of the owner.
func TestCommitFaults(t *testing.T) {
	for name, fault := range map[string]func(v *vm){
		"answers are lost":                   func(v *vm) { v.store.LoseNext(12) },
		"all answers are lost for some time": func(v *vm) { v.store.LoseAnswer(true) },
		"writes are delayed":                 func(v *vm) { v.store.DeferNext(6, 2*time.Second) },
		"the store is down":                  func(v *vm) { v.store.Down(true) },
		"the store does not answer":          func(v *vm) { v.store.Cut(true) },
		"the store is slow":                  func(v *vm) { v.store.Delay(300 * time.Millisecond) },
		"the store is compacted":             func(*vm) {},
		"delayed writes and lost answers":    func(v *vm) { v.store.DeferNext(4, 3*time.Second); v.store.LoseNext(8) },
		"slow store and delayed writes":      func(v *vm) { v.store.Delay(200 * time.Millisecond); v.store.DeferNext(4, 3*time.Second) },
	} {
		for _, kill := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, owner dies %v", name, kill), func(t *testing.T) {
				inBubble(t, func(t *testing.T) { runCommitFault(t, fault, kill) })
			})
		}
	}
}

// runCommitFault submits work before and during a store fault of the owner and checks that all accepted work completes
// once.
func runCommitFault(t *testing.T, fault func(*vm), kill bool) {
	is := is.New(t)
	c := newCell(t, runsFor(1500*time.Millisecond), "vm1", "vm2", "vm3")
	c.addWorkers(4, 4)
	first := c.waitForOwner()
	var accepted []string
	submit := func(v *vm, id string) {
		if err := v.front.Submit(t.Context(), c.newWork(id, job.Step{Tasks: 2})); err == nil {
			accepted = append(accepted, id)
		}
	}
	for i := range 4 {
		submit(first, fmt.Sprint("before", i))
	}
	fault(first)
	c.kv.Compact()
	for i := range 3 {
		for _, v := range c.vms {
			if !v.dead.Load() {
				submit(v, fmt.Sprint("during", i, v.id))
			}
		}
		time.Sleep(300 * time.Millisecond)
		if kill && i == 1 {
			c.kill(first)
		}
	}
	time.Sleep(4 * time.Second)
	first.store.LoseAnswer(false)
	first.store.Cut(false)
	first.store.Delay(0)
	if !first.dead.Load() {
		first.store.Down(false)
	}
	v := c.waitForOwner()
	for _, id := range accepted {
		c.waitForState(v, id, job.WorkCompleted, 40*time.Second)
		is.Equal(c.countRuns(id), 2)
	}
	is.True(len(accepted) >= 4)
	c.checkHistory()
}

// Guards against an owner that keeps the cell after its key was deleted from the store and no answer has shown it: its
// next commit must be refused, another VM must take over, and nothing that runs may be started again.
func TestOwnerKeyTaken(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(3*time.Second), "vm1", "vm2", "vm3")
		c.addWorkers(3, 4)
		first := c.waitForOwner()
		c.submit(first, c.newWork("roster", job.Step{Tasks: 10}))
		time.Sleep(time.Second)
		for _, v := range c.vms {
			c.put(store.Op{Delete: true, Key: owner.NodePrefix + v.id})
		}
		c.put(store.Op{Delete: true, Key: "turmericgap/cell/owner"})
		time.Sleep(time.Second)
		v := c.waitForOwner()
		is.Equal(len(v.group.Nodes()), 3)
		c.submit(v, c.newWork("after", job.Step{Tasks: 2}))
		c.waitForState(v, "roster", job.WorkCompleted, 20*time.Second)
		c.waitForState(v, "after", job.WorkCompleted, 20*time.Second)
		is.Equal(c.countRuns("roster"), 10)
		c.checkHistory()
	})
}

// Guards against answering "refused" to a retry whose first submission had an unknown outcome: a VM that cannot reach
// the store knows no more than before, and the work may run.
func TestRetryAfterUnknownOutcome(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(time.Second), "vm1", "vm2")
		c.addWorkers(1, 4)
		first := c.waitForOwner()
		time.Sleep(time.Second)
		first.peersCut.Store(true)
		first.store.Cut(true)
		code := func() rpc.Code {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			return rpc.AsFault(first.front.Submit(ctx, c.newWork("roster", job.Step{Tasks: 1}))).Code
		}
		is.Equal(code(), rpc.CodeUnknown)
		first.store.Down(true)
		is.Equal(code(), rpc.CodeUnknown)
		time.Sleep(20 * time.Second)
		is.Equal(code(), rpc.CodeRefused)
	})
}
