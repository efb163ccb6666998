package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/owner"
)

// Guards against a cell that has no owner until the lease expires, up to 1.2 s, when the owner dies or loses the
// store: nothing starts, no end is processed, and all checks are late. Another VM must own the cell within about half
// of that.
func TestOwnerIsReplacedSoon(t *testing.T) {
	for name, fail := range map[string]func(c *cell, v *vm){
		"dies":                   func(c *cell, v *vm) { c.kill(v) },
		"declined by the store":  func(_ *cell, v *vm) { v.store.Down(true) },
		"cut off from the store": func(_ *cell, v *vm) { v.store.Cut(true) },
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				c := newCell(t, runsFor(2*time.Second), "vm1", "vm2", "vm3", "vm4")
				c.addWorkers(3, 4)
				first := c.waitForOwner()
				for i := range 3 {
					c.submit(first, c.newWork(fmt.Sprint("work", i), job.Step{Tasks: 4}))
				}
				time.Sleep(time.Second)
				fail(c, first)
				lost := time.Now()
				next := c.waitForSuccessor(first)
				elapsed := time.Since(lost)
				t.Logf("new owner after %v", elapsed)
				is.True(elapsed < 700*time.Millisecond)
				first.store.Down(false)
				first.store.Cut(false)
				for i := range 3 {
					id := fmt.Sprint("work", i)
					c.waitForState(next, id, job.WorkCompleted, 10*time.Second)
					is.Equal(c.countRuns(id), 4)
				}
				c.checkHistory()
			})
		})
	}
}

// Guards against an owner that becomes slow and keeps the cell: it still answers pings and renews its lease, but all
// starts and ends wait for its loop. It must hand over to a faster VM, and keep the cell if all VMs are slow.
func TestSlowOwnerHandsOver(t *testing.T) {
	for name, all := range map[string]bool{"one VM is slow": false, "all are slow": true} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				c := newCell(t, runsFor(3*time.Second), "vm1", "vm2", "vm3")
				c.addWorkers(2, 4)
				first := c.waitForOwner()
				c.submit(first, c.newWork("roster", job.Step{Tasks: 8}))
				time.Sleep(time.Second)
				for _, v := range c.vms {
					v.overloaded.Store(all || v == first)
				}
				time.Sleep(3 * time.Second)
				is.Equal(first.dispatcher.IsOwner(), all)
				c.waitForState(c.waitForOwner(), "roster", job.WorkCompleted, 10*time.Second)
				is.Equal(c.countRuns("roster"), 8)
				c.checkHistory()
			})
		})
	}
}

// Guards against replacing a busy owner whose answers to peers are late although it serves the cell. The next owner
// would have the same load, would also have to sync with all workers, and would be replaced as well, once per second.
func TestBusyOwnerKeepsTheCell(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(2*time.Second), "vm1", "vm2", "vm3", "vm4", "vm5")
		c.addWorkers(3, 4)
		first := c.waitForOwner()
		time.Sleep(time.Second)
		for _, v := range c.vms {
			v.replyDelayAsOwner.Store(int64(350 * time.Millisecond))
		}
		c.submit(first, c.newWork("roster", job.Step{Tasks: 8}))
		for range 40 {
			time.Sleep(500 * time.Millisecond)
			is.True(first.dispatcher.IsOwner())
		}
		is.Equal(c.countRuns("roster"), 8)
		c.checkHistory()
	})
}

// Guards against waiting for the lease when the owner's process is frozen: connections to it open, but nothing answers.
func TestFrozenOwnerIsReplaced(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(2*time.Second), "vm1", "vm2", "vm3", "vm4")
		c.addWorkers(3, 4)
		first := c.waitForOwner()
		time.Sleep(time.Second)
		first.replyDelayAsOwner.Store(int64(time.Hour))
		first.store.Cut(true)
		frozen := time.Now()
		c.waitForSuccessor(first)
		elapsed := time.Since(frozen)
		t.Logf("new owner after %v", elapsed)
		is.True(elapsed < owner.DefaultTTL)
		first.replyDelayAsOwner.Store(0)
		first.store.Cut(false)
	})
}

// Guards against a VM that reaches the store but no peer, and takes the cell from an owner that serves all the others:
// only its own callers would be served.
func TestLonelyVMTakesNothing(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(time.Second), "vm1", "vm2", "vm3")
		c.addWorkers(1, 4)
		first := c.waitForOwner()
		for _, v := range c.vms {
			v.peersCut.Store(v != first && v.id != "vm3")
		}
		time.Sleep(5 * time.Second)
		is.True(first.dispatcher.IsOwner())
	})
}

// Guards against an owner that gives up the cell during a store outage: the cell would have no owner for the whole
// outage, and the leases of all runs would expire.
func TestOwnerStaysInOutage(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(7*time.Second), "vm1", "vm2", "vm3")
		c.addWorkers(2, 4)
		first := c.waitForOwner()
		c.submit(first, c.newWork("roster", job.Step{Tasks: 8}))
		time.Sleep(time.Second)
		for _, v := range c.vms {
			v.store.Down(true)
		}
		time.Sleep(4 * time.Second)
		is.True(first.dispatcher.IsOwner())
		for _, v := range c.vms {
			v.store.Down(false)
		}
		c.waitForState(first, "roster", job.WorkCompleted, 10*time.Second)
		is.Equal(c.countRuns("roster"), 8)
		c.checkHistory()
	})
}

// waitForSuccessor waits until another VM owns the cell and has read its state, and returns that VM.
func (c *cell) waitForSuccessor(of *vm) *vm {
	c.t.Helper()
	for range 400 {
		for _, v := range c.vms {
			if v != of && !v.dead.Load() && v.dispatcher.IsOwner() {
				return v
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.t.Fatal("no other VM owns the cell")
	return nil
}
