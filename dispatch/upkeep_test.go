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
	wavesPrefix = "waves/"
	holderLease = 3 * time.Second
	upkeepTakes = 2 * time.Second
)

var errCloudSilent = errors.New("no answer")

// cloud is the platform's service for VMs: each order ends what runs on a VM, which comes back with another
// worker. It notes what no order may do.
type cloud struct {
	c  *cell
	mu sync.Mutex
	// vms holds the VMs, workers the present worker of each, done those that have had their upkeep.
	vms        map[string]*maintenance.VM
	workers    map[string]*floor.Worker
	done       map[string]bool
	generation int
	// answersToDrop ordersToDrop the answers of the next orders, which are carried out; ordersToDrop answersToDrop the next orders.
	answersToDrop, ordersToDrop int
	// slowList is how long a list is under way after it was made, slowOrder an order before it is carried out.
	slowList, slowOrder time.Duration
	// suspends is how much each look at the clock that counts suspends is later than the one before.
	suspends time.Duration
	looks    time.Duration
	most     int
	away     int
	faults   []string
	began    time.Time
	holder   string
	last     time.Time
	fence    int64
}

func newCloud(c *cell, ws []*floor.Worker, most int) *cloud {
	k := &cloud{c: c, vms: make(map[string]*maintenance.VM), workers: make(map[string]*floor.Worker), done: make(map[string]bool), most: most, began: time.Now()}
	for i, w := range ws {
		id := fmt.Sprint("host", i)
		k.vms[id] = &maintenance.VM{ID: id, Pool: pool, State: maintenance.Up, Worker: w.Info().ID}
		k.workers[id] = w
	}
	return k
}

func (k *cloud) waves(self string) *dispatch.Waves {
	return &dispatch.Waves{
		Prefix: wavesPrefix, Self: self, Lease: holderLease, UpkeepDuration: upkeepTakes,
		Decode: func(_ string, raw []byte) (w maintenance.Wave, err error) { return w, json.Unmarshal(raw, &w) },
		Status: func(n int64, completed bool) (string, []byte) {
			return fmt.Sprint("wavestatus/", n), fmt.Append(nil, completed)
		},
		Cloud:     maintenance.Cloud{List: k.list, Upkeep: k.upkeep},
		SinceBoot: k.sinceBoot,
	}
}

func (k *cloud) sinceBoot() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.looks += k.suspends
	return time.Since(k.began) + k.looks
}

func (k *cloud) list(context.Context) ([]maintenance.VM, error) {
	out := k.present()
	time.Sleep(k.slowList)
	return out, nil
}

func (k *cloud) present() []maintenance.VM {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []maintenance.VM
	for _, vm := range k.vms {
		out = append(out, *vm)
	}
	return out
}

func (k *cloud) upkeep(ctx context.Context, o maintenance.UpkeepOrder) error {
	time.Sleep(k.slowOrder)
	lost, err := k.carryOut(o)
	if lost {
		<-ctx.Done()
		return errCloudSilent
	}
	return err
}

// carryOut does what an order says; lost says that its answer never arrives.
func (k *cloud) carryOut(o maintenance.UpkeepOrder) (lost bool, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ordersToDrop--; k.ordersToDrop >= 0 {
		return true, nil
	}
	now := time.Now()
	if o.Fence < k.fence {
		k.faults = append(k.faults, "an order with a lower fence after a higher one")
	}
	if k.holder != "" && k.holder != o.Holder && now.Sub(k.last) < holderLease {
		k.faults = append(k.faults, "two holders take turns within a lease")
	}
	k.holder, k.last, k.fence = o.Holder, now, o.Fence
	vm := k.vms[o.VM]
	if k.done[o.VM] {
		return false, nil
	}
	if vm.State != maintenance.Up {
		return false, maintenance.ErrBusy
	}
	if k.away++; k.away > k.most {
		k.faults = append(k.faults, "too many VMs are away")
	}
	k.done[o.VM] = true
	vm.State, vm.Worker = maintenance.Upkeep, ""
	old := k.workers[o.VM]
	old.Crash(true)
	time.AfterFunc(upkeepTakes, func() { k.returnVM(vm, old) })
	k.answersToDrop--
	return k.answersToDrop >= 0, nil
}

// served counts the VMs that have had their upkeep.
func (k *cloud) served() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.done)
}

// returnVM lets a VM come returnVM with another worker.
func (k *cloud) returnVM(vm *maintenance.VM, old *floor.Worker) {
	k.c.put(store.Op{Delete: true, Key: workersPrefix + old.Info().ID})
	k.mu.Lock()
	defer k.mu.Unlock()
	k.away--
	k.generation++
	w := k.c.worker(fmt.Sprintf("%s-%d", vm.ID, k.generation), 4)
	k.workers[vm.ID] = w
	vm.State, vm.Worker = maintenance.Up, w.Info().ID
}

func (c *cell) wave(w maintenance.Wave) {
	raw, err := json.Marshal(&w)
	if err != nil {
		c.t.Fatal(err)
	}
	c.put(store.Op{Key: fmt.Sprint(wavesPrefix, w.Number), Value: raw})
}

// completed reports whether a wave is said to be completed.
func (c *cell) completed(number int) bool {
	res, err := c.kv.Store().Range(c.t.Context(), store.Range{Key: fmt.Sprint("wavestatus/", number)})
	return err == nil && len(res.Pairs) == 1 && string(res.Pairs[0].Value) == "true"
}

// Operators ask for the upkeep of all VMs, one at a time, while batches run. Each is emptied first, so that no
// work is lost; the wave is in time and is said to be completed when the last VM has begun. That holds also
// where the owner dies in the middle, whose successor must wait for a lease before its own orders, and where
// answers to orders are lost: the same order again changes nothing.
func TestWaveOfUpkeep(t *testing.T) {
	cases := []struct {
		name         string
		kill         bool
		loses, drops int
		slow         time.Duration
	}{
		{name: "calm"},
		{name: "the owner dies", kill: true},
		{name: "answers are lost", loses: 2},
		{name: "orders are lost", drops: 2},
		{name: "the platform is slow", slow: 900 * time.Millisecond},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				c := newCell(t, runsFor(1500*time.Millisecond))
				ws := c.workers(4, 4)
				k := newCloud(c, ws, 1)
				k.answersToDrop, k.ordersToDrop = one.loses, one.drops
				k.slowOrder, k.slowList = one.slow, one.slow
				c.cloud = k
				kill := one.kill
				c.boot("vm1")
				c.boot("vm2")
				v := c.owner()
				time.Sleep(3 * time.Second)
				c.wave(maintenance.Wave{Number: 7, VMs: []string{"host0", "host1", "host2", "host3", "gone"}, TimeLimit: 40 * time.Second, MaxUnavailable: 1})
				begun := time.Now()
				for i := 0; !c.completed(7); i++ {
					is.True(time.Since(begun) < 40*time.Second)
					if !v.dead.Load() {
						_ = c.trySubmit(v, c.work(fmt.Sprint("batch", i), job.Step{Tasks: 2}))
					}
					time.Sleep(500 * time.Millisecond)
					if kill && k.served() == 2 {
						kill = false
						c.kill(v)
						v = c.owner()
					}
				}
				is.Equal(k.served(), 4)
				is.Equal(k.faults, nil)
				time.Sleep(20 * time.Second)
				for _, r := range c.floor.History() {
					is.True(r.Ending == worker.OutcomeDone)
				}
				c.checkHistory()
			})
		})
	}
}

// A service runs on two VMs and may miss one task at a time. Both VMs are to have their upkeep, two at once as
// far as the wave is concerned: the second must wait until the first task is at work elsewhere.
func TestUpkeepLeavesServices(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, func(worker.Task, int64) floor.Behaviour {
			return floor.Behaviour{Duration: time.Hour, Ending: worker.OutcomeDone, FullProgress: true, Resources: job.Resources{Millicores: 1000}}
		})
		ws := c.workers(2, 4)
		k := newCloud(c, ws, 2)
		c.cloud = k
		c.boot("vm1")
		v := c.owner()
		time.Sleep(3 * time.Second)
		c.submit(v, c.work("desk", job.Step{Tasks: 2, Service: true, MaxPerWorker: 1, MaxUnavailable: 1}))
		time.Sleep(2 * time.Second)
		c.worker("spare", 4)
		time.Sleep(time.Second)
		c.wave(maintenance.Wave{Number: 1, VMs: []string{"host0", "host1"}, TimeLimit: 20 * time.Second, MaxUnavailable: 2})
		begun := time.Now()
		for !c.completed(1) {
			is.True(time.Since(begun) < 30*time.Second)
			time.Sleep(50 * time.Millisecond)
		}
		is.Equal(k.faults, nil)
		is.True(alwaysRunning(c.floor.History()))
		c.checkHistory()
	})
}

// idleWave is a cell of four idle VMs and a wave that allows two of them at a time.
func idleWave(t *testing.T, vms ...string) (*cell, *cloud) {
	c := newCell(t, runsFor(time.Second))
	k := newCloud(c, c.workers(4, 4), 2)
	c.cloud = k
	for _, id := range vms {
		c.boot(id)
	}
	c.owner()
	time.Sleep(4 * time.Second)
	return c, k
}

func (c *cell) wholeWave() {
	c.wave(maintenance.Wave{Number: 1, VMs: []string{"host0", "host1", "host2", "host3"}, TimeLimit: 40 * time.Second, MaxUnavailable: 2})
}

// An owner dies just after an order, and two VMs that could go at once are left. Orders of the dead owner may
// still be under way for the platform's lease, and the platform compares no fences: the next owner must give
// none before that time has passed.
func TestNewOwnerWaitsBeforeUpkeep(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c, k := idleWave(t, "vm1", "vm2")
		c.wholeWave()
		for k.served() < 1 {
			time.Sleep(10 * time.Millisecond)
		}
		c.kill(c.owner())
		for begun := time.Now(); !c.completed(1); time.Sleep(100 * time.Millisecond) {
			is.True(time.Since(begun) < 30*time.Second)
		}
		is.Equal(k.served(), 4)
		is.Equal(k.faults, nil)
	})
}

// An owner is cut off from the store and from all workers, so that it hears of no successor, and still reaches
// the platform's service for VMs. It must not order upkeep on its own word: the next owner does so, and a VM
// would go down for two of them, or more VMs than the wave allows.
func TestCutOwnerOrdersNoUpkeep(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c, k := idleWave(t, "vm1", "vm2")
		cut := c.owner()
		c.wholeWave()
		for k.served() < 1 {
			time.Sleep(10 * time.Millisecond)
		}
		cut.store.Cut(true)
		cut.workersCut.Store(true)
		for begun := time.Now(); k.served() < 4; time.Sleep(100 * time.Millisecond) {
			is.True(time.Since(begun) < 30*time.Second)
		}
		time.Sleep(5 * time.Second)
		is.Equal(k.faults, nil)
	})
}

// The VM of the owner is suspended each time between the store's word that it owns the cell and its order. Its
// own steady clock does not show that. The word is old when it wakes: no order may be sent.
func TestNoUpkeepAfterSuspend(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c, k := idleWave(t, "vm1")
		k.suspends = time.Second
		c.wholeWave()
		time.Sleep(10 * time.Second)
		is.Equal(k.served(), 0)
		k.mu.Lock()
		k.suspends = 0
		k.mu.Unlock()
		time.Sleep(20 * time.Second)
		is.Equal(k.served(), 4)
		is.True(c.completed(1))
	})
}

// alwaysRunning reports whether another run was there whenever one ended.
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
