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

// testVMs runs relays in one process; each relay answers a hold with its own ID in the task of a run.
type testVMs struct {
	servers map[string]*Server
	rpc     map[string]*rpc.Server
	nodes   []owner.Node
}

func newVMs(perZone int, zones ...string) *testVMs {
	v := &testVMs{servers: make(map[string]*Server), rpc: make(map[string]*rpc.Server)}
	for _, zone := range zones {
		for i := range perZone {
			id := fmt.Sprint(zone, i)
			v.servers[id] = NewServer(func(worker.Info) *worker.Agent { return fakeAgent(id, nil) })
			v.rpc[id] = rpc.NewServer()
			v.servers[id].Register(v.rpc[id])
			v.nodes = append(v.nodes, owner.Node{ID: id, Zone: zone, Address: id, Strength: 10 - i})
		}
	}
	return v
}

// fakeAgent returns a worker that reports which VM called it, or fails with err.
func fakeAgent(by string, err error) *worker.Agent {
	return &worker.Agent{
		Launch: func(context.Context, *worker.Launch) (time.Duration, error) { return time.Second, err },
		Halt:   func(context.Context, *worker.Halt) (time.Duration, error) { return time.Second, err },
		Hold: func(context.Context, *worker.Hold) (*worker.HoldReply, error) {
			return &worker.HoldReply{Active: []worker.ActiveRun{{Task: worker.Task{Work: by}}}}, err
		},
	}
}

// newRelays returns Relays that reach two workers directly.
func (v *testVMs) newRelays() *Relays {
	return New(Options{
		Self: "self", MaxDirect: 2, DirectAgent: func(worker.Info) *worker.Agent { return fakeAgent("self", nil) },
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

func (v *testVMs) close(r *Relays) {
	r.Close()
	for id := range v.servers {
		v.servers[id].Close()
		v.rpc[id].Close()
	}
}

// callingVM calls a worker and returns the VM that made the call.
func callingVM(t *testing.T, a *worker.Agent) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	held, err := a.Hold(ctx, &worker.Hold{})
	if err != nil {
		t.Fatal(err)
	}
	return held.Active[0].Task.Work
}

// Workers must be distributed so that few relays are used and none is overloaded. The owner keeps the first workers;
// the others go to the strongest VM of their availability zone until it is full, then to the next. Released capacity is
// reused, and a relay without workers is dropped.
func TestWorkersAreSharedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := newVMs(3, "north", "south")
		r := v.newRelays()
		calls := make(map[string]int)
		var agents []*worker.Agent
		callNew := func(zone string, n int) {
			for range n {
				a := r.Agent(worker.Info{ID: fmt.Sprint("w", len(agents)), Zone: zone})
				agents = append(agents, a)
				calls[callingVM(t, a)]++
			}
		}
		callNew("north", 2)
		callNew("north", maxWorkersPerRelay+10)
		callNew("south", 20)
		is.Equal(calls, map[string]int{"self": 2, "north0": maxWorkersPerRelay, "north1": 10, "south0": 20})
		for _, a := range agents[2 : 2+maxWorkersPerRelay+10] {
			a.Release()
		}
		is.Equal(len(r.links), 1)
		agents[0].Release()
		callNew("south", 1)
		is.Equal(calls["self"], 3)
		v.close(r)
	})
}

// A worker's answer decides whether its task may run, whichever way the worker was called: every definite answer must
// pass through a relay unchanged, and every other one as unknown.
func TestEndingsComeThrough(t *testing.T) {
	is := is.New(t)
	for _, err := range []error{nil, worker.ErrReplaced, worker.ErrUnhealthy, worker.ErrNotSent} {
		var r result
		r.Outcome, r.Reason, r.Text = outcomeOf(err)
		is.True(errors.Is(r.toError(), err))
	}
	for _, reason := range []worker.RefusalReason{
		worker.ReasonFenced, worker.ReasonStaleRun, worker.ReasonExpired, worker.ReasonNoCapacity, worker.ReasonPermit, worker.ReasonInvalid,
	} {
		var r result
		r.Outcome, r.Reason, r.Text = outcomeOf(fmt.Errorf("call: %w", &worker.Refusal{Reason: reason}))
		var refused *worker.Refusal
		is.True(errors.As(r.toError(), &refused))
		is.Equal(refused.Reason, reason)
	}
	var r result
	r.Outcome, r.Reason, r.Text = outcomeOf(context.DeadlineExceeded)
	is.Equal(r.Outcome, outcomeUnknown)
	for _, definite := range []error{worker.ErrReplaced, worker.ErrUnhealthy, worker.ErrNotSent} {
		is.True(!errors.Is(r.toError(), definite))
	}
}

// A start that a lost relay had received may still reach the worker, whatever the worker answers to the repeated one: only
// answers that hold for both may pass as definite. An order that no relay has received is not affected.
func TestRefusalAfterLostRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for answer, definite := range map[error]bool{
			nil: true, worker.ErrReplaced: true, &worker.Refusal{Reason: worker.ReasonFenced}: true, worker.ErrUnhealthy: false,
			worker.ErrNotSent: false, &worker.Refusal{Reason: worker.ReasonNoCapacity}: false,
		} {
			for _, relayed := range []bool{false, true} {
				v := newVMs(1, "north")
				v.servers["north0"].direct = func(worker.Info) *worker.Agent {
					return &worker.Agent{Launch: func(ctx context.Context, _ *worker.Launch) (time.Duration, error) {
						v.rpc["north0"].Close()
						<-ctx.Done()
						return 0, ctx.Err()
					}}
				}
				r := v.newRelays()
				r.opts.DirectAgent = func(worker.Info) *worker.Agent { return fakeAgent("self", answer) }
				if relayed {
					r.opts.MaxDirect = 0
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				_, err := r.Agent(worker.Info{ID: "w", Zone: "north"}).Launch(ctx, &worker.Launch{})
				if errors.Is(err, answer) != (definite || !relayed) || ctx.Err() != nil {
					t.Errorf("answer %v, relayed %v: %v", answer, relayed, err)
				}
				cancel()
				v.close(r)
			}
		}
	})
}

// A restarted relay has lost its orders; the owner's calls must not wait for answers that never come.
func TestRelayRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := newVMs(1, "north")
		v.servers["north0"].direct = func(worker.Info) *worker.Agent {
			return &worker.Agent{Hold: func(ctx context.Context, _ *worker.Hold) (*worker.HoldReply, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}}
		}
		r := v.newRelays()
		r.opts.MaxDirect = 0
		a := r.Agent(worker.Info{ID: "w", Zone: "north"})
		go func() {
			time.Sleep(100 * time.Millisecond)
			s := v.servers["north0"]
			s.mu.Lock()
			defer s.mu.Unlock()
			s.processID++
		}()
		start := time.Now()
		is.Equal(callingVM(t, a), "self")
		is.True(time.Since(start) < 200*time.Millisecond)
		v.close(r)
	})
}
