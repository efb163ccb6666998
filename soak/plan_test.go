package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"turmericgap/standin/floor"
)

const (
	// maxFaultInterval is the longest time between two faults. It is shorter than maxFaultDuration, so that faults
	// overlap.
	maxFaultInterval = 2500 * time.Millisecond
	maxFaultDuration = 4 * time.Second
)

// minNotice is the shortest notice of a worker that leaves, that of spot workers on the platform.
const minNotice = 1800 * time.Millisecond

// faultPlan injects random faults and reverts them.
type faultPlan struct {
	cell      *Cell
	rand      *rand.Rand
	startedAt time.Time
	injected  []string
	wg        sync.WaitGroup
}

func newFaultPlan(c *Cell, r *rand.Rand) *faultPlan {
	return &faultPlan{cell: c, rand: r, startedAt: time.Now()}
}

// fault is a kind of fault. The inject function returns a function that reverts it, or nil.
type fault struct {
	name   string
	inject func(p *faultPlan, duration time.Duration) (revert func())
}

var faults = []fault{
	{"a VM is killed", func(p *faultPlan, _ time.Duration) func() { return p.signal(1, syscall.SIGKILL) }},
	{"two VMs are killed", func(p *faultPlan, _ time.Duration) func() { return p.signal(2, syscall.SIGKILL) }},
	{"all VMs are killed", func(p *faultPlan, _ time.Duration) func() { return p.signal(len(p.cell.vms), syscall.SIGKILL) }},
	{"a VM is stopped", func(p *faultPlan, _ time.Duration) func() { return p.signal(1, syscall.SIGTERM) }},
	{"a VM is told to reload", func(p *faultPlan, _ time.Duration) func() { return p.signal(1, syscall.SIGHUP) }},
	{"a VM is frozen", func(p *faultPlan, _ time.Duration) func() { return p.freeze(1) }},
	{"two VMs are frozen", func(p *faultPlan, _ time.Duration) func() { return p.freeze(2) }},
	{"the store does not answer", func(p *faultPlan, _ time.Duration) func() { return p.storeProxies(len(p.cell.vms), Blackholing) }},
	{"the store resets connections", func(p *faultPlan, _ time.Duration) func() { return p.storeProxies(len(p.cell.vms), Resetting) }},
	{"the store loses its answers", func(p *faultPlan, _ time.Duration) func() { return p.storeProxies(len(p.cell.vms), DroppingReplies) }},
	{"the store is slow", func(p *faultPlan, _ time.Duration) func() { return p.storeProxies(len(p.cell.vms), Delaying) }},
	{"a VM is cut off from the store", func(p *faultPlan, _ time.Duration) func() { return p.storeProxies(1, Blackholing) }},
	{"a VM loses the store's answers", func(p *faultPlan, _ time.Duration) func() { return p.storeProxies(1, DroppingReplies) }},
	{"the policy service does not answer", func(p *faultPlan, _ time.Duration) func() { return p.silencePermits() }},
	{"workers are cut off", func(p *faultPlan, _ time.Duration) func() { return p.workerProxies(Blackholing) }},
	{"answers of workers are lost", func(p *faultPlan, _ time.Duration) func() { return p.workerProxies(DroppingReplies) }},
	{"workers reset connections", func(p *faultPlan, _ time.Duration) func() { return p.workerProxies(Resetting) }},
	{"launches are executed late", func(p *faultPlan, d time.Duration) func() { return p.workerFaults(floor.Faults{LaunchDelay: d}) }},
	{"workers fail all runs", func(p *faultPlan, _ time.Duration) func() { return p.workerFaults(floor.Faults{FailRuns: true}) }},
	{"workers reject calls", func(p *faultPlan, _ time.Duration) func() { return p.workerFaults(floor.Faults{Unwell: true}) }},
	{"a worker crashes", func(p *faultPlan, duration time.Duration) func() {
		p.cell.workers[p.rand.IntN(len(p.cell.workers))].crash(duration)
		return nil
	}},
	{"workers shrink", func(p *faultPlan, _ time.Duration) func() { return p.shrinkWorkers() }},
	{"a rack loses power", func(p *faultPlan, duration time.Duration) func() {
		rack := p.cell.workers[p.rand.IntN(len(p.cell.workers))].rack
		for _, w := range p.cell.workers {
			if w.rack == rack {
				w.crash(duration)
			}
		}
		return nil
	}},
	{"the configuration changes", func(p *faultPlan, _ time.Duration) func() {
		p.cell.addError(p.cell.reconfigure())
		return nil
	}},
}

// unevenFaults are the faults of cells with uneven workers and load, in addition to the others.
var unevenFaults = []fault{
	{"a worker leaves with notice", func(p *faultPlan, duration time.Duration) func() {
		notice := minNotice + time.Duration(p.rand.Int64N(int64(minNotice)))
		p.cell.addError(p.cell.workers[p.rand.IntN(len(p.cell.workers))].leave(notice, duration))
		return nil
	}},
	{"a worker starts again under its ID", func(p *faultPlan, _ time.Duration) func() {
		p.cell.addError(p.cell.workers[p.rand.IntN(len(p.cell.workers))].startAgain())
		return nil
	}},
	{"an account submits a burst", func(p *faultPlan, _ time.Duration) func() {
		p.flood(burstRate, burstDuration)
		return nil
	}},
}

// run injects faults for the duration of the run, then waits until all of them have been reverted.
func (p *faultPlan) run() []string {
	kinds := faults
	if p.cell.opts.Accounts {
		kinds = slices.Concat(faults, accountFaults, accountFaults)
	}
	if p.cell.opts.Uneven {
		kinds = slices.Concat(kinds, unevenFaults, unevenFaults, unevenFaults)
	}
	for {
		pause := time.Duration(p.rand.Int64N(int64(maxFaultInterval)))
		if time.Since(p.startedAt)+pause+maxFaultDuration > p.cell.opts.Duration || p.cell.opts.Context.Err() != nil {
			break
		}
		time.Sleep(pause)
		f := &kinds[p.rand.IntN(len(kinds))]
		duration := 200*time.Millisecond + time.Duration(p.rand.Int64N(int64(maxFaultDuration-200*time.Millisecond)))
		p.injected = append(p.injected, fmt.Sprintf("%.1f s: %s, %.1f s", time.Since(p.startedAt).Seconds(), f.name, duration.Seconds()))
		if revert := f.inject(p, duration); revert != nil {
			p.wg.Go(func() {
				time.Sleep(duration)
				revert()
			})
		}
	}
	p.wg.Wait()
	return p.injected
}

// randomVMs returns n random VMs.
func (p *faultPlan) randomVMs(n int) []*vm {
	var out []*vm
	for _, i := range p.rand.Perm(len(p.cell.vms))[:min(n, len(p.cell.vms))] {
		out = append(out, p.cell.vms[i])
	}
	return out
}

func (p *faultPlan) signal(n int, s syscall.Signal) func() {
	p.cell.lags.disturb(time.Now(), time.Now(), disturbedFor)
	for _, v := range p.randomVMs(n) {
		v.process.signal(s)
	}
	return nil
}

func (p *faultPlan) freeze(n int) func() {
	vms := p.randomVMs(n)
	from := time.Now()
	p.cell.lags.disturb(from, from.Add(maxFaultDuration), disturbedFor)
	for _, v := range vms {
		v.process.signal(syscall.SIGSTOP)
	}
	return func() {
		for _, v := range vms {
			v.process.signal(syscall.SIGCONT)
		}
	}
}

// slowStoreDelay is the delay of bytes to and from a slow store.
const slowStoreDelay = 150 * time.Millisecond

func (p *faultPlan) storeProxies(n int, m Mode) func() {
	vms := p.randomVMs(n)
	for _, v := range vms {
		v.store.Set(m, slowStoreDelay)
	}
	return func() {
		for _, v := range vms {
			v.store.Set(Forwarding, 0)
		}
	}
}

func (p *faultPlan) silencePermits() func() {
	for _, v := range p.cell.vms {
		v.permits.Set(Blackholing, 0)
	}
	return func() {
		for _, v := range p.cell.vms {
			v.permits.Set(Forwarding, 0)
		}
	}
}

// randomWorkers returns a random third of the workers.
func (p *faultPlan) randomWorkers() []*workerSlot {
	var out []*workerSlot
	for _, i := range p.rand.Perm(len(p.cell.workers))[:(len(p.cell.workers)+2)/3] {
		out = append(out, p.cell.workers[i])
	}
	return out
}

func (p *faultPlan) workerProxies(m Mode) func() {
	slots := p.randomWorkers()
	for _, w := range slots {
		w.proxy.Set(m, 0)
	}
	return func() {
		for _, w := range slots {
			w.proxy.Set(Forwarding, 0)
		}
	}
}

func (p *faultPlan) shrinkWorkers() func() {
	slots := p.randomWorkers()
	set := func(millicores int64) {
		for _, w := range slots {
			p.cell.addError(w.setCapacity(millicores))
		}
	}
	set(shrunkMillicores)
	return func() { set(fullMillicores) }
}

func (p *faultPlan) workerFaults(f floor.Faults) func() {
	slots := p.randomWorkers()
	for _, w := range slots {
		w.currentWorker().SetFaults(f)
	}
	return func() {
		for _, w := range slots {
			w.currentWorker().SetFaults(floor.Faults{})
		}
	}
}
