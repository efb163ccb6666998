package list

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"turmericgap/gate/target"
	"turmericgap/vmlist"
	"turmericgap/worker"
)

const (
	// maxStates is the maximum number of past states kept within the lag.
	maxStates = 256
	// maxRemoved is the maximum number of deregistered VMs that are remembered.
	maxRemoved = 4096
)

var errDown = errors.New("VM list is down")

// List is the VM list of one cell.
type List struct {
	opts Options

	mu      sync.Mutex
	version int64
	vms     map[string]vm
	// leaving holds the VMs marked by SetLeaving. They are listed as leaving whatever they register.
	leaving map[string]bool
	// removed holds the deregistered VMs, whose registrations are ignored.
	removed map[string]bool
	states  []state
	down    bool
}

// vm is a registered VM; exactly one of worker, target and entry is set.
type vm struct {
	worker         *worker.Info
	target         *target.Info
	entry          *vmlist.EntryVM
	lastRegistered time.Time
}

// state is the content of the list since a point in time.
type state struct {
	since time.Time
	list  vmlist.List
}

// New returns an empty list.
func New(opts ...Option) *List {
	l := &List{vms: make(map[string]vm), leaving: make(map[string]bool), removed: make(map[string]bool)}
	for _, f := range opts {
		f(&l.opts)
	}
	l.states = []state{{}}
	return l
}

// Source returns a source that reads the list in process.
func (l *List) Source() *vmlist.Source { return &vmlist.Source{Read: l.read} }

func (l *List) read(ctx context.Context) (vmlist.List, error) {
	if err := ctx.Err(); err != nil {
		return vmlist.List{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return vmlist.List{}, errDown
	}
	now := time.Now()
	l.expire(now)
	l.dropStates(now)
	return l.states[0].list, nil
}

// Register adds VMs or renews their registration. Deregistered VMs are ignored.
func (l *List) Register(vms vmlist.List) {
	l.update(func(now time.Time) {
		for _, w := range vms.Workers {
			l.add("worker/", vm{worker: &w, lastRegistered: now})
		}
		for _, t := range vms.Targets {
			l.add("target/", vm{target: &t, lastRegistered: now})
		}
		for _, e := range vms.Entries {
			l.add("entry/", vm{entry: &e, lastRegistered: now})
		}
	})
}

func (l *List) add(kind string, v vm) {
	if !l.removed[v.id()] {
		l.vms[kind+v.id()] = v
	}
}

// Deregister removes the VMs with these ids until they are readmitted.
func (l *List) Deregister(ids ...string) {
	l.update(func(time.Time) {
		maps.DeleteFunc(l.vms, func(_ string, v vm) bool { return slices.Contains(ids, v.id()) })
		for _, id := range ids {
			delete(l.leaving, id)
			if len(l.removed) < maxRemoved {
				l.removed[id] = true
			}
		}
	})
}

// Readmit lets deregistered VMs register again.
func (l *List) Readmit(ids ...string) {
	l.update(func(time.Time) {
		for _, id := range ids {
			delete(l.removed, id)
		}
	})
}

// SetLeaving sets whether the VMs with these ids are leaving.
func (l *List) SetLeaving(leaving bool, ids ...string) {
	l.update(func(time.Time) {
		for _, id := range ids {
			if leaving {
				l.leaving[id] = true
			} else {
				delete(l.leaving, id)
			}
		}
	})
}

// SetDown makes the list unreadable, or readable again.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *List) update(f func(now time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	f(now)
	l.expire(now)
	l.dropStates(now)
	l.recordState(now)
}

// expire removes the VMs whose registration has expired.
func (l *List) expire(now time.Time) {
	if l.opts.Expiry <= 0 {
		return
	}
	before := len(l.vms)
	maps.DeleteFunc(l.vms, func(_ string, v vm) bool { return now.Sub(v.lastRegistered) > l.opts.Expiry })
	if len(l.vms) != before {
		l.recordState(now)
	}
}

// recordState appends the current state if it differs from the newest one.
func (l *List) recordState(now time.Time) {
	list := l.build()
	newest := l.states[len(l.states)-1].list
	if slices.Equal(list.Workers, newest.Workers) && slices.Equal(list.Targets, newest.Targets) &&
		slices.Equal(list.Entries, newest.Entries) {
		return
	}
	l.version++
	list.Version = l.version
	if len(l.states) == maxStates {
		l.states[maxStates-1].list = list
		return
	}
	l.states = append(l.states, state{since: now, list: list})
	l.dropStates(now)
}

// dropStates drops the states whose successor is at least as old as the lag.
func (l *List) dropStates(now time.Time) {
	for len(l.states) > 1 && !now.Before(l.states[1].since.Add(l.opts.Lag)) {
		l.states = slices.Delete(l.states, 0, 1)
	}
}

func (l *List) build() vmlist.List {
	var out vmlist.List
	for _, key := range slices.Sorted(maps.Keys(l.vms)) {
		switch v := l.vms[key]; {
		case v.worker != nil:
			w := *v.worker
			w.Leaving = w.Leaving || l.leaving[w.ID]
			out.Workers = append(out.Workers, w)
		case v.target != nil:
			t := *v.target
			t.Leaving = t.Leaving || l.leaving[t.ID]
			out.Targets = append(out.Targets, t)
		default:
			e := *v.entry
			e.Leaving = e.Leaving || l.leaving[e.ID]
			out.Entries = append(out.Entries, e)
		}
	}
	return out
}

func (v vm) id() string {
	switch {
	case v.worker != nil:
		return v.worker.ID
	case v.target != nil:
		return v.target.ID
	default:
		return v.entry.ID
	}
}
