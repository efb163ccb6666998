package dispatch_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/rpc"
	"turmericgap/store"
)

// Callers hand work in while the store fails in one of its ways, and the owner dies in the middle of it.
// Whatever was accepted is done in the end, each task once, on workers that are never overfilled.
func TestCommitFaults(t *testing.T) {
	for name, fault := range map[string]func(v *vm){
		"answers are lost":                  func(v *vm) { v.store.LoseNext(12) },
		"all answers are lost for a while":  func(v *vm) { v.store.LoseAnswer(true) },
		"writes are carried out late":       func(v *vm) { v.store.DeferNext(6, 2*time.Second) },
		"the store is down":                 func(v *vm) { v.store.Down(true) },
		"the store is silent":               func(v *vm) { v.store.Cut(true) },
		"the store is slow":                 func(v *vm) { v.store.Delay(300 * time.Millisecond) },
		"the store forgets its history":     func(*vm) {},
		"late writes beside lost answers":   func(v *vm) { v.store.DeferNext(4, 3*time.Second); v.store.LoseNext(8) },
		"slow, and writes carried out late": func(v *vm) { v.store.Delay(200 * time.Millisecond); v.store.DeferNext(4, 3*time.Second) },
	} {
		for _, kill := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, owner dies %v", name, kill), func(t *testing.T) {
				inBubble(t, func(t *testing.T) { runCommitFault(t, fault, kill) })
			})
		}
	}
}

func runCommitFault(t *testing.T, fault func(*vm), kill bool) {
	is := is.New(t)
	c := newCell(t, runsFor(1500*time.Millisecond), "vm1", "vm2", "vm3")
	c.workers(4, 4)
	first := c.owner()
	var accepted []string
	hand := func(v *vm, id string) {
		if err := v.front.Submit(t.Context(), c.work(id, job.Step{Tasks: 2})); err == nil {
			accepted = append(accepted, id)
		}
	}
	for i := range 4 {
		hand(first, fmt.Sprint("before", i))
	}
	fault(first)
	c.kv.Compact()
	for i := range 3 {
		for _, v := range c.vms {
			if !v.dead.Load() {
				hand(v, fmt.Sprint("during", i, v.id))
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
	v := c.owner()
	for _, id := range accepted {
		c.waitForState(v, id, job.WorkCompleted, 40*time.Second)
		is.Equal(c.runs(id), 2)
	}
	is.True(len(accepted) >= 4)
	c.checkHistory()
}

// The store takes the owner's key away without any answer that shows it. Its next commit is refused, a
// VM takes the cell over, and nothing of what ran is run again.
func TestOwnerKeyTaken(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(3*time.Second), "vm1", "vm2", "vm3")
		c.workers(3, 4)
		first := c.owner()
		c.submit(first, c.work("roster", job.Step{Tasks: 10}))
		time.Sleep(time.Second)
		for _, v := range c.vms {
			c.put(store.Op{Delete: true, Key: "turmericgap/cell/node/" + v.id})
		}
		c.put(store.Op{Delete: true, Key: "turmericgap/cell/owner"})
		time.Sleep(time.Second)
		v := c.owner()
		is.Equal(len(v.group.Nodes()), 3)
		c.submit(v, c.work("after", job.Step{Tasks: 2}))
		c.waitForState(v, "roster", job.WorkCompleted, 20*time.Second)
		c.waitForState(v, "after", job.WorkCompleted, 20*time.Second)
		is.Equal(c.runs("roster"), 10)
		c.checkHistory()
	})
}

// A VM is cut off from the store and from the owner while it hands work in. Its caller was told that the
// outcome is open; a repeat at the same VM, refused for want of the store, must not say "never runs".
func TestRepeatAfterOpenOutcome(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(time.Second), "vm1", "vm2")
		c.workers(1, 4)
		first := c.owner()
		time.Sleep(time.Second)
		first.peersCut.Store(true)
		first.store.Cut(true)
		code := func() rpc.Code {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			return rpc.AsFault(first.front.Submit(ctx, c.work("roster", job.Step{Tasks: 1}))).Code
		}
		is.Equal(code(), rpc.CodeUnknown)
		first.store.Down(true)
		is.Equal(code(), rpc.CodeUnknown)
		time.Sleep(20 * time.Second)
		is.Equal(code(), rpc.CodeRefused)
	})
}
