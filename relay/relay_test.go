package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/owner"
	"turmericgap/rpc"
	"turmericgap/worker"
)

// vms are relays in one process; each answers holds with its own name in a run's task.
type vms struct {
	servers map[string]*Server
	rpc     map[string]*rpc.Server
	nodes   []owner.Node
}

func newVMs(perZone int, zones ...string) *vms {
	v := &vms{servers: make(map[string]*Server), rpc: make(map[string]*rpc.Server)}
	for _, zone := range zones {
		for i := range perZone {
			id := fmt.Sprint(zone, i)
			v.servers[id] = NewServer(func(worker.Info) *worker.Agent { return answering(id, nil) })
			v.rpc[id] = rpc.NewServer()
			v.servers[id].Register(v.rpc[id])
			v.nodes = append(v.nodes, owner.Node{ID: id, Zone: zone, Address: id, Strength: 10 - i})
		}
	}
	return v
}

// answering is a worker that tells by whom it was asked, or fails.
func answering(by string, err error) *worker.Agent {
	return &worker.Agent{
		Launch: func(context.Context, *worker.Launch) (time.Duration, error) { return time.Second, err },
		Halt:   func(context.Context, *worker.Halt) (time.Duration, error) { return time.Second, err },
		Hold: func(context.Context, *worker.Hold) (*worker.Held, error) {
			return &worker.Held{Active: []worker.Active{{Task: worker.Task{Work: by}}}}, err
		},
	}
}

// relays reach two workers by themselves.
func (v *vms) relays() *Relays {
	return New(Options{
		Self: "self", MaxDirect: 2, DirectAgent: func(worker.Info) *worker.Agent { return answering("self", nil) },
		Nodes: func() []owner.Node { return v.nodes },
		NewClient: func(address string) *rpc.Client {
			return rpc.NewClient(address, rpc.Dial(func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				go v.rpc[address].ServeConn(far)
				return near, nil
			}))
		},
	})
}

func (v *vms) close(r *Relays) {
	r.Close()
	for id := range v.servers {
		v.servers[id].Close()
		v.rpc[id].Close()
	}
}

// by asks a worker, and tells which VM made the call.
func by(t *testing.T, a *worker.Agent) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	held, err := a.Hold(ctx, &worker.Hold{})
	if err != nil {
		t.Fatal(err)
	}
	return held.Active[0].Task.Work
}

// The first workers are the owner's own. The others go to few relays, the strongest VM of their availability zone
// first, each of which gets no more than it bears; what is given back is given to others, and a relay without workers is
// left alone.
func TestWorkersAreSharedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := newVMs(3, "north", "south")
		r := v.relays()
		made := make(map[string]int)
		var agents []*worker.Agent
		ask := func(zone string, n int) {
			for range n {
				a := r.Agent(worker.Info{ID: fmt.Sprint("w", len(agents)), Zone: zone})
				agents = append(agents, a)
				made[by(t, a)]++
			}
		}
		ask("north", 2)
		ask("north", workersMost+10)
		ask("south", 20)
		is.Equal(made, map[string]int{"self": 2, "north0": workersMost, "north1": 10, "south0": 20})
		for _, a := range agents[2 : 2+workersMost+10] {
			a.End()
		}
		is.Equal(len(r.links), 1)
		agents[0].End()
		ask("south", 1)
		is.Equal(made["self"], 3)
		v.close(r)
	})
}

// What a worker has answered, by whichever way it was asked, decides whether its task may run: every definite answer of
// a call must come through as itself, and every other one as open.
func TestEndingsComeThrough(t *testing.T) {
	is := is.New(t)
	for _, err := range []error{nil, worker.ErrReplaced, worker.ErrUnwell, worker.ErrNotSent} {
		var r result
		r.Ended, r.Reason, r.Text = endingOf(err)
		is.True(errors.Is(r.err(), err))
	}
	for _, reason := range []worker.Reason{
		worker.ReasonFenced, worker.ReasonOld, worker.ReasonLate, worker.ReasonRoom, worker.ReasonPermit, worker.ReasonInvalid,
	} {
		var r result
		r.Ended, r.Reason, r.Text = endingOf(fmt.Errorf("call: %w", &worker.Refusal{Reason: reason}))
		var refused *worker.Refusal
		is.True(errors.As(r.err(), &refused))
		is.Equal(refused.Reason, reason)
	}
	var r result
	r.Ended, r.Reason, r.Text = endingOf(context.DeadlineExceeded)
	is.Equal(r.Ended, endedOpen)
	for _, definite := range []error{worker.ErrReplaced, worker.ErrUnwell, worker.ErrNotSent} {
		is.True(!errors.Is(r.err(), definite))
	}
}

// A relay restarts and has forgotten what it was asked. The owner's calls must not wait for answers that never come.
func TestRelayRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := newVMs(1, "north")
		v.servers["north0"].direct = func(worker.Info) *worker.Agent {
			return &worker.Agent{Hold: func(ctx context.Context, _ *worker.Hold) (*worker.Held, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}}
		}
		r := v.relays()
		r.o.MaxDirect = 0
		a := r.Agent(worker.Info{ID: "w", Zone: "north"})
		go func() {
			time.Sleep(100 * time.Millisecond)
			s := v.servers["north0"]
			s.mu.Lock()
			defer s.mu.Unlock()
			s.process++
		}()
		asked := time.Now()
		is.Equal(by(t, a), "self")
		is.True(time.Since(asked) < 200*time.Millisecond)
		v.close(r)
	})
}
