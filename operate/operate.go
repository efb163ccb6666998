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
	// CallState is the rpc name under which a scheduler tells its state.
	CallState = "operate.state"
	// StateTimeout bounds one question to an owner, so that a dead one does not hold up a page.
	StateTimeout = 2 * time.Second
	// SilentAfter is after which time without a sign a process is not known to be there.
	SilentAfter = 30 * time.Second
)

// StateRequest asks a scheduler for its state.
type StateRequest struct {
	// Zone asks for the zone's state too, which only its owner has.
	Zone bool `msgpack:"z"`
}

// State is what one scheduler knows.
type State struct {
	At      time.Time      `json:"at"`
	Members member.Status  `json:"members"`
	InForce []view.Process `json:"inForce"`
	// Zone is nil unless this scheduler owns its zone and was asked for it.
	Zone *scheduler.State `json:"zone,omitempty"`
}

// Source is where a scheduler's process finds its own state.
type Source struct {
	Members func() member.Status
	InForce func() []view.Process
	Zone    func(context.Context) (*scheduler.State, error)
	View    func() *view.View
}

// Register serves the operators' calls.
func (s *Source) Register(server *rpc.Server) { rpc.Handle(server, CallState, s.State) }

// State serves rpc "operate.state".
func (s *Source) State(ctx context.Context, a *StateRequest) (*State, error) {
	out := &State{At: time.Now().UTC(), Members: s.Members(), InForce: s.InForce()}
	if !a.Zone {
		return out, nil
	}
	zone, err := s.Zone(ctx)
	if fault := rpc.AsFault(err); fault != nil && fault.Code == rpc.CodeNotOwner {
		return out, nil
	}
	out.Zone = zone
	return out, err
}

// Zone is one zone as its owner tells it.
type Zone struct {
	Name    string `json:"name"`
	Owner   string `json:"owner"`
	Address string `json:"address"`
	// Basis is what lets the owner act just now; empty where it gave no answer.
	Basis member.Basis `json:"basis,omitempty"`
	// State is nil where Problem says why.
	State   *scheduler.State `json:"state,omitempty"`
	Problem string           `json:"problem,omitempty"`
}

// Cell is what can be known of the cell at one moment, its zones in the order of their names.
type Cell struct {
	At      time.Time      `json:"at"`
	View    view.View      `json:"view"`
	InForce []view.Process `json:"inForce"`
	Zones   []Zone         `json:"zones"`
}

// Collect asks the owners of all zones of the view at once; one that is silent costs AskTimeout.
func Collect(ctx context.Context, pool *rpc.Pool, v *view.View, inForce []view.Process) Cell {
	c := Cell{At: time.Now().UTC(), View: *v, InForce: inForce, Zones: zonesOf(v)}
	var wg sync.WaitGroup
	for i := range c.Zones {
		z := &c.Zones[i]
		if z.Address == "" {
			z.Problem = "the zone has no owner"
			continue
		}
		wg.Go(func() { z.ask(ctx, pool) })
	}
	wg.Wait()
	return c
}

func (z *Zone) ask(ctx context.Context, pool *rpc.Pool) {
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

// zonesOf gives every zone that has a table or a worker.
func zonesOf(v *view.View) []Zone {
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

// PendingClasses gives the classes with waiting tasks, the fullest first.
func PendingClasses(pending map[string]int) []string {
	return slices.SortedFunc(maps.Keys(pending), func(a, b string) int {
		return cmp.Or(cmp.Compare(pending[b], pending[a]), cmp.Compare(a, b))
	})
}

// Collector gives a function that collects the cell as this process sees it.
func (s *Source) Collector(pool *rpc.Pool) func(context.Context) Cell {
	return func(ctx context.Context) Cell { return Collect(ctx, pool, s.View(), s.InForce()) }
}

// Warning says in a sentence why an owner that answers may still start nothing; empty if all is well.
//
// Failure: the store was lost or restored and the owner's lease with it. Symptom: its workers look
// as if their heartbeats failed, because it may not send any. The basis tells the two apart.
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
