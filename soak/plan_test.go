package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"turmericgap/standin/floor"
)

const (
	// faultPauseMost is the longest time between two faults; they last up to faultMost, so that they come in
	// series and overlap.
	faultPauseMost = 2500 * time.Millisecond
	faultMost      = 4 * time.Second
)

// plan draws faults and undoes them.
type plan struct {
	cell    *Cell
	r       *rand.Rand
	began   time.Time
	done    []string
	version int64
	wg      sync.WaitGroup
}

func newPlan(c *Cell, r *rand.Rand) *plan {
	return &plan{cell: c, r: r, began: time.Now(), version: 1}
}

// fault is one kind of trouble; it gives what ends it, or nil.
type fault struct {
	name   string
	strike func(p *plan, lasts time.Duration) (undo func())
}

var faults = []fault{
	{"a VM is killed", func(p *plan, _ time.Duration) func() { return p.signal(1, syscall.SIGKILL) }},
	{"two VMs are killed", func(p *plan, _ time.Duration) func() { return p.signal(2, syscall.SIGKILL) }},
	{"all VMs are killed", func(p *plan, _ time.Duration) func() { return p.signal(len(p.cell.vms), syscall.SIGKILL) }},
	{"a VM is stopped", func(p *plan, _ time.Duration) func() { return p.signal(1, syscall.SIGTERM) }},
	{"a VM is told to reload", func(p *plan, _ time.Duration) func() { return p.signal(1, syscall.SIGHUP) }},
	{"a VM stands still", func(p *plan, _ time.Duration) func() { return p.freeze(1) }},
	{"two VMs stand still", func(p *plan, _ time.Duration) func() { return p.freeze(2) }},
	{"the store is silent", func(p *plan, _ time.Duration) func() { return p.stores(len(p.cell.vms), Silencing) }},
	{"the store resets connections", func(p *plan, _ time.Duration) func() { return p.stores(len(p.cell.vms), Resetting) }},
	{"the store loses its answers", func(p *plan, _ time.Duration) func() { return p.stores(len(p.cell.vms), Deafening) }},
	{"the store is slow", func(p *plan, _ time.Duration) func() { return p.stores(len(p.cell.vms), Delaying) }},
	{"a VM is cut off from the store", func(p *plan, _ time.Duration) func() { return p.stores(1, Silencing) }},
	{"a VM loses the store's answers", func(p *plan, _ time.Duration) func() { return p.stores(1, Deafening) }},
	{"the policy service is silent", func(p *plan, _ time.Duration) func() { return p.permits() }},
	{"workers are cut off", func(p *plan, _ time.Duration) func() { return p.links(Silencing) }},
	{"answers of workers are lost", func(p *plan, _ time.Duration) func() { return p.links(Deafening) }},
	{"workers reset connections", func(p *plan, _ time.Duration) func() { return p.links(Resetting) }},
	{"orders are carried out late", func(p *plan, lasts time.Duration) func() { return p.workers(floor.Faults{LaunchDelay: lasts}) }},
	{"workers fail all", func(p *plan, _ time.Duration) func() { return p.workers(floor.Faults{FailRuns: true}) }},
	{"workers decline calls", func(p *plan, _ time.Duration) func() { return p.workers(floor.Faults{Unwell: true}) }},
	{"a worker crashes", func(p *plan, lasts time.Duration) func() {
		p.cell.workers[p.r.IntN(len(p.cell.workers))].crash(lasts)
		return nil
	}},
	{"the configuration changes", func(p *plan, _ time.Duration) func() {
		p.version++
		p.cell.note(p.cell.Configure(p.version))
		return nil
	}},
}

// run strikes until the time is over, then waits until all has been undone.
func (p *plan) run() []string {
	for {
		pause := time.Duration(p.r.Int64N(int64(faultPauseMost)))
		if time.Since(p.began)+pause+faultMost > p.cell.o.Lasts || p.cell.o.Context.Err() != nil {
			break
		}
		time.Sleep(pause)
		f := &faults[p.r.IntN(len(faults))]
		lasts := 200*time.Millisecond + time.Duration(p.r.Int64N(int64(faultMost-200*time.Millisecond)))
		p.done = append(p.done, fmt.Sprintf("%.1f s: %s, %.1f s", time.Since(p.began).Seconds(), f.name, lasts.Seconds()))
		if undo := f.strike(p, lasts); undo != nil {
			p.wg.Go(func() {
				time.Sleep(lasts)
				undo()
			})
		}
	}
	p.wg.Wait()
	return p.done
}

// some draws n of the VMs.
func (p *plan) some(n int) []*vm {
	var out []*vm
	for _, i := range p.r.Perm(len(p.cell.vms))[:min(n, len(p.cell.vms))] {
		out = append(out, p.cell.vms[i])
	}
	return out
}

func (p *plan) signal(n int, s syscall.Signal) func() {
	for _, v := range p.some(n) {
		v.process.signal(s)
	}
	return nil
}

func (p *plan) freeze(n int) func() {
	vms := p.some(n)
	for _, v := range vms {
		v.process.signal(syscall.SIGSTOP)
	}
	return func() {
		for _, v := range vms {
			v.process.signal(syscall.SIGCONT)
		}
	}
}

// slowStore is how late bytes of a slow store are.
const slowStore = 150 * time.Millisecond

func (p *plan) stores(n int, m Mode) func() {
	vms := p.some(n)
	for _, v := range vms {
		v.store.Set(m, slowStore)
	}
	return func() {
		for _, v := range vms {
			v.store.Set(Passing, 0)
		}
	}
}

func (p *plan) permits() func() {
	for _, v := range p.cell.vms {
		v.permits.Set(Silencing, 0)
	}
	return func() {
		for _, v := range p.cell.vms {
			v.permits.Set(Passing, 0)
		}
	}
}

// third draws a third of the workers.
func (p *plan) third() []*slot {
	var out []*slot
	for _, i := range p.r.Perm(len(p.cell.workers))[:(len(p.cell.workers)+2)/3] {
		out = append(out, p.cell.workers[i])
	}
	return out
}

func (p *plan) links(m Mode) func() {
	slots := p.third()
	for _, w := range slots {
		w.link.Set(m, 0)
	}
	return func() {
		for _, w := range slots {
			w.link.Set(Passing, 0)
		}
	}
}

func (p *plan) workers(f floor.Faults) func() {
	slots := p.third()
	for _, w := range slots {
		w.worker().SetFaults(f)
	}
	return func() {
		for _, w := range slots {
			w.worker().SetFaults(floor.Faults{})
		}
	}
}
