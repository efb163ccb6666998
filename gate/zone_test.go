package gate

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/gate/target"
	"turmericgap/job"
	"turmericgap/rpc"
	"turmericgap/share"
)

// testZone is a zone of several gates with the same targets. Calls between gates are direct.
type testZone struct {
	*fakeTargets
	mu    sync.Mutex
	gates map[string]*Gate
	// current counts the requests in progress per target; maxConcurrent is the highest count of any
	// target.
	current       map[string]int
	maxConcurrent int
}

func newTestZone(targets, slots int, run time.Duration, gates ...string) *testZone {
	z := &testZone{gates: make(map[string]*Gate), current: make(map[string]int)}
	z.fakeTargets = newFakeTargets(targets, func(ctx context.Context, id string, r *target.Request) (*target.Response, error) {
		z.count(id, 1)
		defer z.count(id, -1)
		select {
		case <-time.After(run):
			return answer(r, id), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
	for i := range z.infos {
		z.infos[i].Slots = slots
	}
	for _, id := range gates {
		z.gates[id] = z.newGate(ID(id), alwaysMember, directSiblings(z.gates, 0))
	}
	z.setTable(1, gates...)
	time.Sleep(20 * time.Second) // The gates of a new zone wait for the last requests of earlier gates.
	return z
}

func (z *testZone) count(id string, n int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.current[id] += n
	z.maxConcurrent = max(z.maxConcurrent, z.current[id])
}

func (z *testZone) peak() int {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.maxConcurrent
}

// directSiblings connects gates by direct calls; loan requests take the given time.
func directSiblings(gates map[string]*Gate, delay time.Duration) Option {
	return Siblings(SiblingClient{
		func(ctx context.Context, gate string, request *share.LoanRequest) (*share.LoanReply, error) {
			time.Sleep(delay)
			return gates[gate].HandleBorrow(ctx, request)
		},
		func(ctx context.Context, gate string, r *share.LoanReturn) error {
			_, err := gates[gate].AcceptReturn(ctx, r)
			return err
		},
		func(ctx context.Context, gate string, c *share.Confirmation) (*share.Confirmation, error) {
			return gates[gate].HandleConfirmation(ctx, c)
		},
	})
}

var alwaysMember = Member(func() bool { return true }, func() int64 { return 1 })

func (z *testZone) setTable(version int64, gates ...string) {
	for _, id := range gates {
		z.gates[id].SetTable(share.Table{Version: version, Gates: gates})
	}
}

func (z *testZone) close() {
	for _, g := range z.gates {
		g.Close()
	}
}

// Guards against checks that wait at a busy gate while targets are idle. All callers use one of
// three gates, which owns a third of the slots. It must borrow the idle slots of its siblings, and
// together they must never exceed the slots of a target.
func TestIdleShareReachesBusyGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newTestZone(10, 8, 100*time.Millisecond, "g1", "g2", "g3")
		defer z.close()
		for _, g := range []string{"g2", "g3"} {
			// The siblings have a little load as well.
			go z.gates[g].Do(context.Background(), &Check{Service: "desk"})
		}
		var done atomic.Int64
		for range 60 {
			go func() {
				for range 20 {
					if z.gates["g1"].Do(context.Background(), &Check{Service: "desk"}).Outcome == job.Done {
						done.Add(1)
					}
				}
			}()
		}
		start := time.Now()
		time.Sleep(time.Second)
		synctest.Wait()
		rate := float64(done.Load()) / time.Since(start).Seconds()
		t.Logf("%.0f checks a second by one gate of three; its own share alone gives at most %d", rate, 10*8/3*10)
		is.True(rate > 1.8*10*8/3*10)
		is.True(z.peak() <= 8)
		time.Sleep(10 * time.Second)
		is.Equal(done.Load(), int64(60*20))
		is.Equal(len(z.gates["g1"].shares.ReturnIdle(time.Now())), 0) // Idle loans have been returned.
	})
}

// Guards against a gate that sends checks after its membership ended. Its lease expired while it
// was paused, and its siblings took its share.
func TestNoShareWithoutMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeTargets(1, func(ctx context.Context, _ string, r *target.Request) (*target.Response, error) {
			return completeAnswer(ctx, r)
		})
		member := true
		g := f.newGate(Member(func() bool { return member }, func() int64 { return 1 }))
		defer g.Close()
		g.SetTable(share.Table{Version: 1, Gates: []string{"g1"}})
		is.Equal(g.Ready(), errNotAgreed)
		time.Sleep(20 * time.Second)
		is.NoErr(g.Ready())
		is.Equal(g.Do(context.Background(), &Check{Service: "desk"}).Outcome, job.Done)
		member = false
		is.Equal(g.Ready(), errNotMember)
		start := time.Now()
		r := g.Do(context.Background(), &Check{Service: "desk"})
		is.Equal(r.Outcome, job.NotRun)
		is.Equal(time.Since(start), time.Duration(0))
		is.True(r.RetryAfter > 0)
		is.Equal(f.calls.Load(), int64(1))
	})
}

// Guards against forwarding to another zone although the own zone has a usable target, and against
// a wrong outcome when a gate of that zone is down, stopping, or loses its answer.
func TestForward(t *testing.T) {
	refusal := func() (*Result, error) { return nil, rpc.Refused(time.Second, "gate is stopping") }
	good := func() (*Result, error) {
		a := job.NewAnswer(0, []byte("seat"))
		return &Result{Outcome: job.Done, Answer: &a, Attempts: 1}, nil
	}
	dead := func() (*Result, error) { return nil, fmt.Errorf("dial: %w", rpc.ErrNotSent) }
	gone := func() (*Result, error) { return nil, errors.New("cut") }
	cases := []struct {
		name    string
		local   bool
		peers   []func() (*Result, error)
		want    job.Outcome
		reached int
	}{
		{"own zone serves", true, []func() (*Result, error){good}, job.Done, 0},
		{"other zone serves", false, []func() (*Result, error){good}, job.Done, 1},
		{"first gate dead", false, []func() (*Result, error){dead, good}, job.Done, 2},
		{"first gate stopping", false, []func() (*Result, error){refusal, good}, job.Done, 2},
		{"all dead", false, []func() (*Result, error){dead, dead}, job.NotRun, 2},
		{"answer lost", false, []func() (*Result, error){gone, good}, job.Unknown, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFakeTargets(2, func(ctx context.Context, _ string, r *target.Request) (*target.Response, error) {
					return completeAnswer(ctx, r)
				})
				f.infos[0].Zone = "z2"
				f.infos[1].Leaving = !c.local
				reached := 0
				g := f.newGate(Peers(func(string) []string { return []string{"10.0.0.2:1", "10.0.0.3:1"} },
					func(_ context.Context, _ string, in *Check) (*Result, error) {
						is.True(in.Forwarded)
						reached++
						return c.peers[reached-1]()
					}))
				defer g.Close()
				r := g.Do(context.Background(), &Check{Service: "desk"})
				is.Equal(r.Outcome, c.want)
				is.Equal(reached, c.reached)
			})
		})
	}
}

// Guards against messages between gates that do not survive encoding: a gate borrows slots over
// rpc, and a gate of another zone forwards a check.
func TestOverRPC(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		servers := map[string]*rpc.Server{"g1": rpc.NewServer(), "g2": rpc.NewServer(), "g3": rpc.NewServer()}
		pool := rpc.NewPool(rpc.Dial(func(_ context.Context, address string) (net.Conn, error) {
			near, far := net.Pipe()
			go servers[address].ServeConn(far)
			return near, nil
		}))
		z := newTestZone(1, 8, time.Second)
		reach := OverRPC(pool, func(gate string) (string, bool) { return gate, true }, func(string) []string { return []string{"g1"} })
		for id, zone := range map[string]string{"g1": "z1", "g2": "z1", "g3": "z2"} {
			z.gates[id] = z.newGate(ID(id), Zone(zone), alwaysMember, reach)
			z.gates[id].Register(servers[id])
		}
		z.setTable(1, "g1", "g2")
		time.Sleep(20 * time.Second)
		results := make(chan *Result, 7)
		for range 6 {
			go func() { results <- z.gates["g1"].Do(context.Background(), &Check{Service: "desk"}) }()
		}
		time.Sleep(200 * time.Millisecond)
		status := z.gates["g1"].Status()
		is.Equal(status.Shares, share.Report{Valid: true, Version: 1, Agreed: 1, Used: 4, Borrowed: 2})
		is.Equal(status.Services[0].Targets[0].Outstanding, 6)
		go func() {
			results <- z.gates["g3"].Do(context.Background(), &Check{Service: "desk", Deadline: 10 * time.Second})
		}()
		for range 7 {
			is.Equal((<-results).Outcome, job.Done)
		}
		time.Sleep(3 * time.Second) // Loans have been returned.
		is.Equal(z.gates["g2"].Drain(time.Now()), 0)
		z.setTable(2, "g1")
		is.Equal(z.gates["g1"].Status().Shares.Agreed, int64(2)) // The gate that left need not confirm the table.
		z.close()
		pool.Close()
		for _, s := range servers {
			s.Close()
		}
	})
}
