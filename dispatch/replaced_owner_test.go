package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/standin/floor"
)

// Guards against an owner that extends leases for as long as it renews its own, although another VM has taken the key:
// it has no commits to make, hears neither the store's watches nor its peers, and is the only one to reach a worker. The
// next owner would start the worker's tasks again while they still run.
func TestReplacedOwnerStopsExtendingLeases(t *testing.T) {
	for name, keyReadsSilent := range map[string]bool{"all reads are silent": true, "watches are silent": false} {
		for _, rate := range []float64{1, 0.98} {
			t.Run(fmt.Sprintf("%s, clocks at %v", name, rate), func(t *testing.T) {
				inBubble(t, func(t *testing.T) { replaceUnheard(t, keyReadsSilent, rate) })
			})
		}
	}
}

// replaceUnheard lets a VM take the cell from an owner that does not hear of it.
func replaceUnheard(t *testing.T, keyReadsSilent bool, rate float64) {
	is := is.New(t)
	c := newCell(t, runsFor(time.Minute), "vm1", "vm2", "vm3")
	c.cluster.ClockRate = rate
	near := c.addWorker("near", 4)
	first := c.waitForOwner()
	time.Sleep(time.Second)
	c.submit(first, c.newWork("roster", job.Step{Tasks: 4}))
	time.Sleep(4 * time.Second)
	is.Equal(near.ActiveRuns(), 4)
	c.isolateOwnerWith(first, near)
	first.keyReadsSilent.Store(keyReadsSilent)
	c.addWorker("far", 4)
	c.waitForSuccessor(first)
	time.Sleep(1500 * time.Millisecond)
	is.Equal(first.dispatcher.IsOwner(), keyReadsSilent)
	time.Sleep(30 * time.Second)
	c.checkHistory()
	is.Equal(c.countRuns("roster"), 8)
	is.Equal(near.ActiveRuns(), 0)
	first.repliesCut.Store(false)
}

// Guards against an idle owner that reads its key more often than needed: each call to the store has a price.
func TestIdleOwnerReadsItsKeySeldom(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(time.Second), "vm1", "vm2")
		first := c.waitForOwner()
		time.Sleep(time.Second)
		reads := make(map[string]int64)
		for id, v := range c.vms {
			reads[id] -= v.keyReads.Load()
		}
		time.Sleep(20 * time.Second)
		for id, v := range c.vms {
			reads[id] += v.keyReads.Load()
			is.True(v == first || reads[id] == 0)
		}
		t.Logf("reads of the owner in 20 s: %d", reads[first.id])
		is.True(reads[first.id] <= 21) // one a second, and one at each end of the time
		is.True(first.dispatcher.IsOwner())
	})
}

// isolateOwnerWith cuts an owner off from the other VMs and from all reads of lists and watches. The other VMs do not
// reach a worker that the owner goes on reaching.
func (c *cell) isolateOwnerWith(v *vm, w *floor.Worker) {
	id := w.Info().ID
	for _, other := range c.vms {
		if other != v {
			other.cutFrom.Store(&id)
		}
	}
	time.Sleep(500 * time.Millisecond) // until the owner knows the worker
	v.readsSilent.Store(true)
	v.peersCut.Store(true)
	v.repliesCut.Store(true)
}

// Guards against an owner that stops extending leases as soon as the store is silent, or that has no recent evidence of its
// tenure because the cell was idle: the tasks must outlive an outage by a lease and most of the owner's grace.
func TestRunsOutliveOutage(t *testing.T) {
	for name, set := range map[string]func(v *vm, on bool){
		"refuses calls": func(v *vm, on bool) { v.store.Down(on) }, "is silent": func(v *vm, on bool) { v.store.Cut(on) },
	} {
		for _, phase := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond} {
			t.Run(fmt.Sprintf("store %s, after %v", name, phase), func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					is := is.New(t)
					c := newCell(t, runsFor(40*time.Second), "vm1", "vm2")
					w := c.addWorker("w", 4)
					first := c.waitForOwner()
					time.Sleep(time.Second)
					c.submit(first, c.newWork("roster", job.Step{Tasks: 4}))
					time.Sleep(10*time.Second + phase)
					for _, v := range c.vms {
						set(v, true)
					}
					lost := time.Now()
					for w.ActiveRuns() == 4 && time.Since(lost) < 25*time.Second {
						time.Sleep(10 * time.Millisecond)
					}
					t.Logf("runs lapsed after %v", time.Since(lost))
					is.True(time.Since(lost) > 12*time.Second)
				})
			})
		}
	}
}
