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
	// Version is the version stored in the document; it only grows.
	Version int64
	Raw     []byte
}

// VMList is one version of the VM list.
type VMList struct {
	Version int64
	Workers []worker.Info
	Targets []target.Info
	// Entries holds the IDs of the entry VMs.
	Entries map[string]bool
}

// View is an immutable snapshot of what a process knows.
type View struct {
	// Version counts the changes of the view in this process.
	Version uint64
	Rules   Rules
	Tables  []member.Table
	// ListVersion is the version of the VM list, or zero before the first one.
	ListVersion int64
	Workers     []worker.Info
	Targets     []target.Info
	Entries     map[string]bool
	// Present holds the presence keys of members, or nil before they are first read.
	Present map[string]bool
}

// Table returns the member table of a zone and role.
func (v *View) Table(zone, role string) (member.Table, bool) {
	for _, t := range v.Tables {
		if t.Zone == zone && t.Role == role {
			return t, true
		}
	}
	return member.Table{}, false
}

// ListedVMs returns the entry VMs of the VM list in the form that member.ListedVMs expects.
func (v *View) ListedVMs() (vms map[string]bool, known bool) { return v.Entries, v.ListVersion > 0 }

// viewState holds the newest view and accepts only newer data.
type viewState struct {
	view    atomic.Pointer[View]
	groups  []*member.Group
	metrics *metric.Registry
	mu      sync.Mutex
	changed chan struct{}
}

func newViewState(o *Options) *viewState {
	s := &viewState{groups: o.Groups, metrics: o.Metrics, changed: make(chan struct{})}
	s.view.Store(&View{})
	return s
}

// update applies change to a copy of the view and publishes the copy if change returns true.
func (s *viewState) update(change func(v *View) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := *s.view.Load()
	if !change(&v) {
		return false
	}
	v.Version++
	s.view.Store(&v)
	s.metrics.Gauge("view_rulesVersion").Update(v.Rules.Version)
	s.metrics.Gauge("view_listVersion").Update(v.ListVersion)
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

func (s *viewState) changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// next waits for a view newer than the given version. It returns the current view when ctx is
// done.
func (s *viewState) next(ctx context.Context, after uint64) *View {
	for {
		changed := s.changes()
		if v := s.view.Load(); v.Version > after {
			return v
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return s.view.Load()
		}
	}
}

// updateRules accepts rules if they are newer. Without this check a slow watch or a restored store
// could bring back rules that an operator has replaced.
func (s *viewState) updateRules(r Rules) bool {
	return s.update(func(v *View) bool {
		if r.Version <= v.Rules.Version {
			return false
		}
		v.Rules = r
		return true
	})
}

// updateTables accepts newer tables and passes the tables to the member groups.
func (s *viewState) updateTables(tables ...member.Table) {
	s.update(func(v *View) bool { return v.merge(tables) })
	for _, g := range s.groups {
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

func (s *viewState) updateList(l VMList) bool {
	return s.update(func(v *View) bool {
		if l.Version <= v.ListVersion {
			return false
		}
		v.ListVersion, v.Workers, v.Targets, v.Entries = l.Version, l.Workers, l.Targets, l.Entries
		return true
	})
}

// setPresence replaces the set of presence keys.
func (s *viewState) setPresence(present map[string]bool) {
	changed := s.update(func(v *View) bool {
		if present == nil || v.Present != nil && maps.Equal(v.Present, present) {
			return false
		}
		v.Present = present
		return true
	})
	if !changed {
		return
	}
	for _, g := range s.groups {
		self := g.Self()
		for _, m := range g.Table().Members {
			g.UpdatePresence(m.ID, present[member.PresenceKey(self.Zone, self.Role, m.ID)])
		}
	}
}

// updatePresence adds or removes one presence key.
func (s *viewState) updatePresence(key string, exists bool) {
	present := maps.Clone(s.view.Load().Present)
	if present == nil {
		return
	}
	if exists {
		present[key] = true
	} else {
		delete(present, key)
	}
	s.setPresence(present)
}
