package dispatch_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/dispatch"
	"turmericgap/job"
	"turmericgap/maintenance"
	"turmericgap/standin/floor"
	"turmericgap/store"
	"turmericgap/worker"
)

const (
	wavesPrefix         = "waves/"
	ownerLease          = 3 * time.Second
	maintenanceDuration = 2 * time.Second
)

var errCloudSilent = errors.New("no answer")

// fakeCloud stands in for the platform's VM service: a maintenance order ends all runs on a VM, which returns with
// another worker. It records orders that violate the protocol.
type fakeCloud struct {
	c  *cell
	mu sync.Mutex
	// vms holds the VMs, workers the current worker of each, and serviced those that have had their maintenance.
	vms        map[string]*maintenance.VM
	workers    map[string]*floor.Worker
	serviced   map[string]bool
	generation int
	// answersToDrop is how many of the next orders are executed without an answer, ordersToDrop how many are lost before.
	answersToDrop, ordersToDrop int
	// listDelay delays the answer to a list after the list was made, orderDelay an order before it is executed.
	listDelay, orderDelay time.Duration
	// suspendPerRead is the suspend time to add at each read of the clock that counts suspends, clockOffset its total.
	suspendPerRead   time.Duration
	clockOffset      time.Duration
	maxInMaintenance int
	inMaintenance    int
	violations       []string
	startedAt        time.Time
	holder           string
	lastOrderAt      time.Time
	fence            int64
}

func newFakeCloud(c *cell, ws []*floor.Worker, maxInUpkeep int) *fakeCloud {
	k := &fakeCloud{c: c, vms: make(map[string]*maintenance.VM), workers: make(map[string]*floor.Worker), serviced: make(map[string]bool), maxInMaintenance: maxInUpkeep, startedAt: time.Now()}
	for i, w := range ws {
		id := fmt.Sprint("host", i)
		k.vms[id] = &maintenance.VM{ID: id, Pool: pool, State: maintenance.Up, Worker: w.Info().ID}
		k.workers[id] = w
	}
	return k
}

func (k *fakeCloud) waves(self string) *dispatch.Waves {
	return &dispatch.Waves{
		Prefix: wavesPrefix, Self: self, Lease: ownerLease, MaintenanceDuration: maintenanceDuration,
		Decode: func(_ string, raw []byte) (w maintenance.Wave, err error) { return w, json.Unmarshal(raw, &w) },
		Status: func(n int64, completed bool) (string, []byte) {
			return fmt.Sprint("wavestatus/", n), fmt.Append(nil, completed)
		},
		Cloud:     maintenance.Cloud{List: k.list, OrderMaintenance: k.orderMaintenance},
		SinceBoot: k.sinceBoot,
	}
}

func (k *fakeCloud) sinceBoot() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.clockOffset += k.suspendPerRead
	return time.Since(k.startedAt) + k.clockOffset
}

func (k *fakeCloud) list(context.Context) ([]maintenance.VM, error) {
	out := k.snapshot()
	time.Sleep(k.listDelay)
	return out, nil
}

func (k *fakeCloud) snapshot() []maintenance.VM {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []maintenance.VM
	for _, vm := range k.vms {
		out = append(out, *vm)
	}
	return out
}

func (k *fakeCloud) orderMaintenance(ctx context.Context, o maintenance.Order) error {
	time.Sleep(k.orderDelay)
	lost, err := k.execute(o)
	if lost {
		<-ctx.Done()
		return errCloudSilent
	}
	return err
}

// execute carries out an order; lost reports that its answer never arrives.
func (k *fakeCloud) execute(o maintenance.Order) (lost bool, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ordersToDrop--; k.ordersToDrop >= 0 {
		return true, nil
	}
	now := time.Now()
	if o.Fence < k.fence {
		k.violations = append(k.violations, "an order with a lower fence after one with a higher fence")
	}
	if k.holder != "" && k.holder != o.Owner && now.Sub(k.lastOrderAt) < ownerLease {
		k.violations = append(k.violations, "an order of a second holder within the lease of the first")
	}
	k.holder, k.lastOrderAt, k.fence = o.Owner, now, o.Fence
	vm := k.vms[o.VM]
	if k.serviced[o.VM] {
		return false, nil
	}
	if vm.State != maintenance.Up {
		return false, maintenance.ErrBusy
	}
	if k.inMaintenance++; k.inMaintenance > k.maxInMaintenance {
		k.violations = append(k.violations, "too many VMs are in upkeep")
	}
	k.serviced[o.VM] = true
	vm.State, vm.Worker = maintenance.InMaintenance, ""
	oldWorker := k.workers[o.VM]
	oldWorker.Crash(true)
	time.AfterFunc(maintenanceDuration, func() { k.returnVM(vm, oldWorker) })
	k.answersToDrop--
	return k.answersToDrop >= 0, nil
}

// servicedCount returns how many VMs have had their maintenance.
func (k *fakeCloud) servicedCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.serviced)
}

// returnVM brings a VM back with another worker.
func (k *fakeCloud) returnVM(vm *maintenance.VM, oldWorker *floor.Worker) {
	k.c.put(store.Op{Delete: true, Key: workersPrefix + oldWorker.Info().ID})
	k.mu.Lock()
	defer k.mu.Unlock()
	k.inMaintenance--
	k.generation++
	w := k.c.addWorker(fmt.Sprintf("%s-%d", vm.ID, k.generation), 4)
	k.workers[vm.ID] = w
	vm.State, vm.Worker = maintenance.Up, w.Info().ID
}

func (c *cell) putWave(w maintenance.Wave) {
	raw, err := json.Marshal(&w)
	if err != nil {
		c.t.Fatal(err)
	}
	c.put(store.Op{Key: fmt.Sprint(wavesPrefix, w.Number), Value: raw})
}

// isWaveCompleted reports whether the owner has stored that a wave is completed.
func (c *cell) isWaveCompleted(number int) bool {
	res, err := c.kv.Store().Range(c.t.Context(), store.Range{Key: fmt.Sprint("wavestatus/", number)})
	return err == nil && len(res.Pairs) == 1 && string(res.Pairs[0].Value) == "true"
}

// Guards against maintenance that loses work, violates the limit of the wave or ends late: VMs are drained one at a
// time while batches run. It must also hold when the owner dies, whose successor has to wait for a lease before its
// own orders, and when orders or their answers are lost, since a repeated order changes nothing.
func TestWaveOfUpkeep(t *testing.T) {
	cases := []struct {
		name                        string
		kill                        bool
		answersToDrop, ordersToDrop int
		delay                       time.Duration
	}{
		{name: "no faults"},
		{name: "the owner dies", kill: true},
		{name: "answers are lost", answersToDrop: 2},
		{name: "orders are lost", ordersToDrop: 2},
		{name: "the platform is slow", delay: 900 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				c := newCell(t, runsFor(1500*time.Millisecond))
				ws := c.addWorkers(4, 4)
				k := newFakeCloud(c, ws, 1)
				k.answersToDrop, k.ordersToDrop = tc.answersToDrop, tc.ordersToDrop
				k.orderDelay, k.listDelay = tc.delay, tc.delay
				c.cloud = k
				kill := tc.kill
				c.startVM("vm1")
				c.startVM("vm2")
				v := c.waitForOwner()
				time.Sleep(3 * time.Second)
				c.putWave(maintenance.Wave{Number: 7, VMs: []string{"host0", "host1", "host2", "host3", "gone"}, TimeLimit: 40 * time.Second, MaxUnavailable: 1})
				start := time.Now()
				for i := 0; !c.isWaveCompleted(7); i++ {
					is.True(time.Since(start) < 40*time.Second)
					if !v.dead.Load() {
						_ = c.submitFault(v, c.newWork(fmt.Sprint("batch", i), job.Step{Tasks: 2}))
					}
					time.Sleep(500 * time.Millisecond)
					if kill && k.servicedCount() == 2 {
						kill = false
						c.kill(v)
						v = c.waitForOwner()
					}
				}
				is.Equal(k.servicedCount(), 4)
				is.Equal(k.violations, nil)
				time.Sleep(20 * time.Second)
				for _, r := range c.cluster.History() {
					is.True(r.Ending == worker.OutcomeDone)
				}
				c.checkHistory()
			})
		})
	}
}

// Guards against ordering maintenance of both VMs of a service that may miss one task at a time: the second VM must
// wait until the first task runs elsewhere, although the wave allows two VMs at once.
func TestUpkeepLeavesServices(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, func(worker.Task, int64) floor.Behaviour {
			return floor.Behaviour{Duration: time.Hour, Ending: worker.OutcomeDone, FullProgress: true, Resources: job.Resources{Millicores: 1000}}
		})
		ws := c.addWorkers(2, 4)
		k := newFakeCloud(c, ws, 2)
		c.cloud = k
		c.startVM("vm1")
		v := c.waitForOwner()
		time.Sleep(3 * time.Second)
		c.submit(v, c.newWork("desk", job.Step{Tasks: 2, Service: true, MaxPerWorker: 1, MaxUnavailable: 1}))
		time.Sleep(2 * time.Second)
		c.addWorker("spare", 4)
		time.Sleep(time.Second)
		c.putWave(maintenance.Wave{Number: 1, VMs: []string{"host0", "host1"}, TimeLimit: 20 * time.Second, MaxUnavailable: 2})
		start := time.Now()
		for !c.isWaveCompleted(1) {
			is.True(time.Since(start) < 30*time.Second)
			time.Sleep(50 * time.Millisecond)
		}
		is.Equal(k.violations, nil)
		is.True(alwaysRunning(c.cluster.History()))
		c.checkHistory()
	})
}

// newIdleCell returns a cell of four idle hosts, two of which may be in maintenance at a time.
func newIdleCell(t *testing.T, vms ...string) (*cell, *fakeCloud) {
	c := newCell(t, runsFor(time.Second))
	k := newFakeCloud(c, c.addWorkers(4, 4), 2)
	c.cloud = k
	for _, id := range vms {
		c.startVM(id)
	}
	c.waitForOwner()
	time.Sleep(4 * time.Second)
	return c, k
}

// putFullWave stores a wave of all hosts of an idle cell.
func (c *cell) putFullWave() {
	c.putWave(maintenance.Wave{Number: 1, VMs: []string{"host0", "host1", "host2", "host3"}, TimeLimit: 40 * time.Second, MaxUnavailable: 2})
}

// Guards against orders of a new owner while orders of the dead one may still be in flight. The platform does not
// compare fences, so the new owner must wait for the platform's lease first.
func TestNewOwnerWaitsBeforeUpkeep(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c, k := newIdleCell(t, "vm1", "vm2")
		c.putFullWave()
		for k.servicedCount() < 1 {
			time.Sleep(10 * time.Millisecond)
		}
		c.kill(c.waitForOwner())
		for start := time.Now(); !c.isWaveCompleted(1); time.Sleep(100 * time.Millisecond) {
			is.True(time.Since(start) < 30*time.Second)
		}
		is.Equal(k.servicedCount(), 4)
		is.Equal(k.violations, nil)
	})
}

// Guards against maintenance orders of an owner that is cut off from the store and the workers, hears of no successor
// and still reaches the platform: the next owner orders as well, and more VMs than allowed go down.
func TestCutOwnerOrdersNoUpkeep(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c, k := newIdleCell(t, "vm1", "vm2")
		cut := c.waitForOwner()
		c.putFullWave()
		for k.servicedCount() < 1 {
			time.Sleep(10 * time.Millisecond)
		}
		cut.store.Cut(true)
		cut.workersCut.Store(true)
		for start := time.Now(); k.servicedCount() < 4; time.Sleep(100 * time.Millisecond) {
			is.True(time.Since(start) < 30*time.Second)
		}
		time.Sleep(5 * time.Second)
		is.Equal(k.violations, nil)
	})
}

// Guards against an order after the owner's VM was suspended between the store's confirmation of ownership and the
// order. The VM's monotonic clock does not count the suspend, and the confirmation is too old when the VM resumes.
func TestNoUpkeepAfterSuspend(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c, k := newIdleCell(t, "vm1")
		k.suspendPerRead = time.Second
		c.putFullWave()
		time.Sleep(10 * time.Second)
		is.Equal(k.servicedCount(), 0)
		k.mu.Lock()
		k.suspendPerRead = 0
		k.mu.Unlock()
		time.Sleep(20 * time.Second)
		is.Equal(k.servicedCount(), 4)
		is.True(c.isWaveCompleted(1))
	})
}

// alwaysRunning reports whether another run was present whenever a run ended.
func alwaysRunning(history []floor.Run) bool {
	for _, ended := range history {
		others := 0
		for _, r := range history {
			if r.Started.Before(ended.Ended) && (r.Ended.IsZero() || r.Ended.After(ended.Ended)) {
				others++
			}
		}
		if !ended.Ended.IsZero() && others == 0 {
			return false
		}
	}
	return true
}
