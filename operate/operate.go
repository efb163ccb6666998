package operate

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"turmericgap/member"
	"turmericgap/rpc"
	"turmericgap/scheduler"
	"turmericgap/view"
)

const (
	// CallState is the RPC name of the request for a scheduler's state.
	CallState = "operate.state"
	// StateTimeout limits a state request to one owner, so that a dead owner does not delay a page.
	StateTimeout = 2 * time.Second
	// SilentAfter is the time without news of a process after which it is considered silent.
	SilentAfter = 30 * time.Second
)

// StateRequest asks a scheduler for its state.
type StateRequest struct {
	// Zone also requests the zone's state, which only its owner has.
	Zone bool `msgpack:"z"`
}

// State is the state of one scheduler.
type State struct {
	At      time.Time      `json:"at"`
	Members member.Status  `json:"members"`
	InForce []view.Process `json:"inForce"`
	// Zone is nil unless it was requested and this scheduler owns its zone.
	Zone *scheduler.State `json:"zone,omitempty"`
}

// Source provides the state of this process's scheduler.
type Source struct {
	Members func() member.Status
	InForce func() []view.Process
	Zone    func(context.Context) (*scheduler.State, error)
	View    func() *view.View
}

// Register serves the operators' calls.
func (s *Source) Register(server *rpc.Server) { rpc.Handle(server, CallState, s.State) }

// State handles the RPC "operate.state".
func (s *Source) State(ctx context.Context, req *StateRequest) (*State, error) {
	out := &State{At: time.Now().UTC(), Members: s.Members(), InForce: s.InForce()}
	if !req.Zone {
		return out, nil
	}
	zone, err := s.Zone(ctx)
	if fault := rpc.AsFault(err); fault != nil && fault.Code == rpc.CodeNotOwner {
		return out, nil
	}
	out.Zone = zone
	return out, err
}

// Zone is the state of one zone as reported by its owner.
type Zone struct {
	Name    string `json:"name"`
	Owner   string `json:"owner"`
	Address string `json:"address"`
	// Basis is what currently allows the owner to act; it is empty if the owner did not answer.
	Basis member.Basis `json:"basis,omitempty"`
	// State is nil if it is not available; Problem then gives the reason.
	State   *scheduler.State `json:"state,omitempty"`
	Problem string           `json:"problem,omitempty"`
}

// Cell is a snapshot of the cell, with its zones sorted by name.
type Cell struct {
	At      time.Time      `json:"at"`
	View    view.View      `json:"view"`
	InForce []view.Process `json:"inForce"`
	Zones   []Zone         `json:"zones"`
}

// Collect requests the state of all zones of the view from their owners in parallel. It takes at most
// StateTimeout.
func Collect(ctx context.Context, pool *rpc.Pool, v *view.View, inForce []view.Process) Cell {
	c := Cell{At: time.Now().UTC(), View: *v, InForce: inForce, Zones: listZones(v)}
	var wg sync.WaitGroup
	for i := range c.Zones {
		z := &c.Zones[i]
		if z.Address == "" {
			z.Problem = "the zone has no owner"
			continue
		}
		wg.Go(func() { z.fetchState(ctx, pool) })
	}
	wg.Wait()
	return c
}

func (z *Zone) fetchState(ctx context.Context, pool *rpc.Pool) {
	ctx, cancel := context.WithTimeout(ctx, StateTimeout)
	defer cancel()
	s, err := rpc.Call[StateRequest, State](ctx, pool.Get(z.Address), CallState, &StateRequest{Zone: true})
	if err == nil {
		z.Basis = s.Members.Basis
	}
	switch {
	case err != nil:
		z.Problem = "its owner gave no answer: " + strings.ReplaceAll(err.Error(), "\n", ": ")
	case s.Zone == nil:
		z.Problem = "its owner does not serve it just now"
	default:
		z.State = s.Zone
	}
}

// listZones returns every zone that has a member table or a worker.
func listZones(v *view.View) []Zone {
	names := make([]string, 0, len(v.Tables))
	for _, t := range v.Tables {
		names = append(names, t.Zone)
	}
	for i := range v.Workers {
		names = append(names, v.Workers[i].Zone)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	out := make([]Zone, len(names))
	for i, name := range names {
		out[i].Name = name
		if t, ok := v.Table(name, member.RoleScheduler); ok {
			m, _ := t.Find(t.Owner)
			out[i].Owner, out[i].Address = t.Owner, m.Address
		}
	}
	return out
}

// PendingClasses returns the classes with waiting tasks, the one with the most tasks first.
func PendingClasses(pending map[string]int) []string {
	return slices.SortedFunc(maps.Keys(pending), func(a, b string) int {
		return cmp.Or(cmp.Compare(pending[b], pending[a]), cmp.Compare(a, b))
	})
}

// Collector returns a function that collects the cell from this process's view.
func (s *Source) Collector(pool *rpc.Pool) func(context.Context) Cell {
	return func(ctx context.Context) Cell { return Collect(ctx, pool, s.View(), s.InForce()) }
}

// Warning describes why an owner that answers may still be unable to start anything; it is empty if there
// is no problem.
//
// If the store was lost or restored, and the owner's lease with it, the owner may not send heartbeats and
// its workers look as if their heartbeats failed. The basis distinguishes the two cases.
func (z *Zone) Warning() string {
	switch z.Basis {
	case member.ByNothing:
		return "its owner holds neither lease nor promises, so that it starts and renews nothing; see its log and the store"
	case member.ByPromises:
		return "its owner acts by its peers' promises: the store is out of its reach"
	default:
		return ""
	}
}
