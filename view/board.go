package view

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"turmericgap/gate/target"
	"turmericgap/member"
	"turmericgap/metric"
	"turmericgap/worker"
)

// Rules is one version of the rule document.
type Rules struct {
	// Version is a counter inside the document, which only grows.
	Version int64
	Raw     []byte
}

// VMList is one reading of the VM list.
type VMList struct {
	Version int64
	Workers []worker.Info
	Targets []target.Info
	// Entries are the entry VMs by their ID.
	Entries map[string]bool
}

// View is what a process knows at one moment; it must not be changed.
type View struct {
	// Version is this process's own count of changes.
	Version uint64
	Rules   Rules
	Tables  []member.Table
	// ListVersion is zero before the first VM list.
	ListVersion int64
	Workers     []worker.Info
	Targets     []target.Info
	Entries     map[string]bool
	// Present holds the lease-bound keys of members that are there, nil before the first reading.
	Present map[string]bool
}

// Table gives the table of a zone and role.
func (v *View) Table(zone, role string) (member.Table, bool) {
	for _, t := range v.Tables {
		if t.Zone == zone && t.Role == role {
			return t, true
		}
	}
	return member.Table{}, false
}

// ListedVMs gives the entry VMs of the VM list, in the form that member.ListedVMs takes.
func (v *View) ListedVMs() (vms map[string]bool, known bool) { return v.Entries, v.ListVersion > 0 }

// board holds the newest view and takes in only what is newer.
type board struct {
	view    atomic.Pointer[View]
	groups  []*member.Group
	metrics *metric.Registry
	mu      sync.Mutex
	changed chan struct{}
}

func newBoard(o *Options) *board {
	b := &board{groups: o.Groups, metrics: o.Metrics, changed: make(chan struct{})}
	b.view.Store(&View{})
	return b
}

// update publishes what change makes of a copy of the view, if it says that it changed anything.
func (b *board) update(change func(v *View) bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := *b.view.Load()
	if !change(&v) {
		return false
	}
	v.Version++
	b.view.Store(&v)
	b.metrics.Gauge("view_rulesVersion").Update(v.Rules.Version)
	b.metrics.Gauge("view_listVersion").Update(v.ListVersion)
	close(b.changed)
	b.changed = make(chan struct{})
	return true
}

func (b *board) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// next waits for a view after a version; when ctx ends it gives the view as it is.
func (b *board) next(ctx context.Context, after uint64) *View {
	for {
		changed := b.wait()
		if v := b.view.Load(); v.Version > after {
			return v
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return b.view.Load()
		}
	}
}

// offerRules takes rules that are newer than those known. Without the comparison a slow watch or
// a restored store would bring back rules that an operator has replaced.
func (b *board) offerRules(r Rules) bool {
	return b.update(func(v *View) bool {
		if r.Version <= v.Rules.Version {
			return false
		}
		v.Rules = r
		return true
	})
}

// offerTables takes the tables that are newer than those known, and tells them to the groups.
func (b *board) offerTables(tables ...member.Table) {
	b.update(func(v *View) bool { return v.merge(tables) })
	for _, g := range b.groups {
		for _, t := range tables {
			g.UpdateTable(t)
		}
	}
}

func (v *View) merge(tables []member.Table) bool {
	changed := false
	merged := slices.Clone(v.Tables)
	for _, t := range tables {
		i, found := slices.BinarySearchFunc(merged, t, compareTables)
		switch {
		case !found:
			merged = slices.Insert(merged, i, t)
		case t.Version > merged[i].Version:
			merged[i] = t
		default:
			continue
		}
		changed = true
	}
	v.Tables = merged
	return changed
}

func compareTables(a, b member.Table) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Role, b.Role))
}

func (b *board) offerList(l VMList) bool {
	return b.update(func(v *View) bool {
		if l.Version <= v.ListVersion {
			return false
		}
		v.ListVersion, v.Workers, v.Targets, v.Entries = l.Version, l.Workers, l.Targets, l.Entries
		return true
	})
}

// offerPresent takes the whole set of present members' keys.
func (b *board) offerPresent(present map[string]bool) {
	changed := b.update(func(v *View) bool {
		if present == nil || v.Present != nil && maps.Equal(v.Present, present) {
			return false
		}
		v.Present = present
		return true
	})
	if !changed {
		return
	}
	for _, g := range b.groups {
		self := g.Self()
		for _, m := range g.Table().Members {
			g.UpdatePresence(m.ID, present[member.PresenceKey(self.Zone, self.Role, m.ID)])
		}
	}
}

// offerPresence takes the change of one member's key.
func (b *board) offerPresence(key string, there bool) {
	present := maps.Clone(b.view.Load().Present)
	if present == nil {
		return
	}
	if there {
		present[key] = true
	} else {
		delete(present, key)
	}
	b.offerPresent(present)
}
