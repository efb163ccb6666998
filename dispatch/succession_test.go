package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/owner"
)

// The owner is lost in one of several ways. Nothing starts and no end is heard until another VM owns the
// cell; the lease alone keeps it standing for up to 1.2 s, in which every check is late. Another VM owns it
// within half of that, and what ran goes on, each task once.
func TestOwnerIsReplacedSoon(t *testing.T) {
	for name, lose := range map[string]func(c *cell, v *vm){
		"dies":                   func(c *cell, v *vm) { c.kill(v) },
		"declined by the store":  func(_ *cell, v *vm) { v.store.Down(true) },
		"cut off from the store": func(_ *cell, v *vm) { v.store.Cut(true) },
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T) {
				is := is.New(t)
				c := newCell(t, runsFor(2*time.Second), "vm1", "vm2", "vm3", "vm4")
				c.workers(3, 4)
				first := c.owner()
				for i := range 3 {
					c.submit(first, c.work(fmt.Sprint("work", i), job.Step{Tasks: 4}))
				}
				time.Sleep(time.Second)
				lose(c, first)
				lost := time.Now()
				next := c.successor(first)
				took := time.Since(lost)
				t.Logf("owned again after %v", took)
				is.True(took < 700*time.Millisecond)
				first.store.Down(false)
				first.store.Cut(false)
				for i := range 3 {
					id := fmt.Sprint("work", i)
					c.until(next, id, job.WorkCompleted, 10*time.Second)
					is.Equal(c.runs(id), 4)
				}
				c.judge()
			})
		})
	}
}

// The VM that owns the cell turns slow. It answers pings and keeps its lease, but every start and end waits for
// its loop: it hands the cell over to a VM that is faster, and keeps it where all are slow.
func TestSlowOwnerHandsOver(t *testing.T) {
	for name, all := range map[string]bool{"one VM is slow": false, "all are slow": true} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T) {
				is := is.New(t)
				c := newCell(t, runsFor(3*time.Second), "vm1", "vm2", "vm3")
				c.workers(2, 4)
				first := c.owner()
				c.submit(first, c.work("roster", job.Step{Tasks: 8}))
				time.Sleep(time.Second)
				for _, v := range c.vms {
					v.slow.Store(all || v == first)
				}
				time.Sleep(3 * time.Second)
				is.Equal(first.disp.IsOwner(), all)
				c.until(c.owner(), "roster", job.WorkCompleted, 10*time.Second)
				is.Equal(c.runs("roster"), 8)
				c.judge()
			})
		})
	}
}

// Work comes in a burst, and whichever VM owns the cell has so much to do that its answers to the other VMs take
// longer than they usually wait for one. It serves the cell all the same. Were it taken for dead, the next owner
// would have the same load and all workers to meet besides, and be taken for dead as well, once in each second.
func TestBusyOwnerKeepsTheCell(t *testing.T) {
	play(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(2*time.Second), "vm1", "vm2", "vm3", "vm4", "vm5")
		c.workers(3, 4)
		first := c.owner()
		time.Sleep(time.Second)
		for _, v := range c.vms {
			v.busy.Store(int64(350 * time.Millisecond))
		}
		c.submit(first, c.work("roster", job.Step{Tasks: 8}))
		for range 40 {
			time.Sleep(500 * time.Millisecond)
			is.True(first.disp.IsOwner())
		}
		is.Equal(c.runs("roster"), 8)
		c.judge()
	})
}

// The process of the owner stands still: connections to it are opened, and nothing answers on them. Another VM owns
// the cell before the lease alone would let it.
func TestFrozenOwnerIsReplaced(t *testing.T) {
	play(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(2*time.Second), "vm1", "vm2", "vm3", "vm4")
		c.workers(3, 4)
		first := c.owner()
		time.Sleep(time.Second)
		first.busy.Store(int64(time.Hour))
		first.store.Cut(true)
		frozen := time.Now()
		c.successor(first)
		took := time.Since(frozen)
		t.Logf("owned again after %v", took)
		is.True(took < owner.DefaultTTL)
		first.busy.Store(0)
		first.store.Cut(false)
	})
}

// A VM is cut off from all others, and reaches the store. It must not take the cell from an owner that
// serves the rest: its callers alone would be served.
func TestLonelyVMTakesNothing(t *testing.T) {
	play(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(time.Second), "vm1", "vm2", "vm3")
		c.workers(1, 4)
		first := c.owner()
		for _, v := range c.vms {
			v.apart.Store(v != first && v.id != "vm3")
		}
		time.Sleep(5 * time.Second)
		is.True(first.disp.IsOwner())
	})
}

// The store answers nobody. An owner that gave the cell up then would leave it without one for the whole
// outage, and the leases of what runs would lapse.
func TestOwnerStaysInOutage(t *testing.T) {
	play(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(7*time.Second), "vm1", "vm2", "vm3")
		c.workers(2, 4)
		first := c.owner()
		c.submit(first, c.work("roster", job.Step{Tasks: 8}))
		time.Sleep(time.Second)
		for _, v := range c.vms {
			v.store.Down(true)
		}
		time.Sleep(4 * time.Second)
		is.True(first.disp.IsOwner())
		for _, v := range c.vms {
			v.store.Down(false)
		}
		c.until(first, "roster", job.WorkCompleted, 10*time.Second)
		is.Equal(c.runs("roster"), 8)
		c.judge()
	})
}

// successor waits for another VM that owns the cell and has read its state.
func (c *cell) successor(of *vm) *vm {
	c.t.Helper()
	for range 400 {
		for _, v := range c.vms {
			if v != of && !v.dead.Load() && v.disp.IsOwner() {
				return v
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.t.Fatal("no other VM owns the cell")
	return nil
}
