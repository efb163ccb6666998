package target_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/gate/target"
	"turmericgap/gate/target/web"
	"turmericgap/standin/endpoint"
	standin "turmericgap/standin/target"
	"turmericgap/webcall"
)

var info = target.Info{ID: "t", Address: "10.0.0.1:7300/t/0", Service: "course-desk", Slots: 2, Connections: 4}

// fixture is one target and a client for it.
type fixture struct {
	*is.I
	*target.Client
	target  *standin.Target
	ctx     context.Context
	pending sync.WaitGroup
}

// doAsync sends a request that must be answered before the case ends.
func (b *fixture) doAsync(r target.Request) { b.pending.Go(func() { b.mustDo(r) }) }

// mustDo sends a request that must be answered.
func (b *fixture) mustDo(r target.Request) (*target.Response, standin.Result) {
	resp, err := b.Do(b.ctx, &r)
	b.NoErr(err)
	var res standin.Result
	if !resp.Busy {
		b.NoErr(json.Unmarshal(resp.Answer.Body, &res))
	}
	return resp, res
}

// clientKinds creates a client of the simulated target for each implementation of the client.
var clientKinds = map[string]func(*standin.Target) (*target.Client, func()){
	"in process": func(t *standin.Target) (*target.Client, func()) { return t.Client(), func() {} },
	"over HTTP": func(t *standin.Target) (*target.Client, func()) {
		pipe := endpoint.NewPipe(http.StripPrefix("/t/0", t.Handler()))
		pool := webcall.New(webcall.Dial(pipe.Dial))
		return web.New(pool)(info, 4), func() { pool.Close(); pipe.Close() }
	},
}

type testCase struct {
	name string
	do   func(b *fixture)
}

// run runs each case with each kind of client on the virtual clock.
func run(t *testing.T, cases []testCase) {
	for kind, newClient := range clientKinds {
		for _, c := range cases {
			t.Run(kind+"/"+c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					at := standin.New(info, standin.ServiceTime(time.Second))
					client, stop := newClient(at)
					defer stop()
					defer at.SetFault(standin.Fault{})
					b := &fixture{I: is.New(t), Client: client, target: at, ctx: t.Context()}
					defer b.pending.Wait()
					c.do(b)
				})
			})
		}
	}
}

func TestContract(t *testing.T) {
	run(t, []testCase{
		{"an answer belongs to its request", func(b *fixture) {
			r, res := b.mustDo(target.Request{ID: "r1", Method: "book", Body: []byte("seat")})
			b.Equal(r.ID, "r1")
			b.Equal(res, standin.Result{Target: "t", Method: "book", Echo: []byte("seat")})
		}},
		{"a repeated key gets the first answer", func(b *fixture) {
			_, first := b.mustDo(target.Request{ID: "r1", Key: "k", Session: "s"})
			again, second := b.mustDo(target.Request{ID: "r2", Key: "k", Session: "s"})
			b.Equal(again.ID, "r2")
			b.Equal(first, second)
			b.Equal(b.target.State().Ran, int64(1))
		}},
		{"a repeat joins the work in progress", func(b *fixture) {
			b.doAsync(target.Request{ID: "r1", Key: "k"})
			synctest.Wait()
			b.mustDo(target.Request{ID: "r2", Key: "k"})
			b.Equal(b.target.State().Ran, int64(1))
		}},
		{"a repeat runs when the first request is canceled", func(b *fixture) {
			ctx, cancel := context.WithTimeout(b.ctx, time.Second/2)
			defer cancel()
			go func() { _, _ = b.Do(ctx, &target.Request{ID: "r1", Key: "k"}) }()
			synctest.Wait()
			b.mustDo(target.Request{ID: "r2", Key: "k"})
			b.Equal(b.target.State().Ran, int64(2))
		}},
		{"sessions have separate state", func(b *fixture) {
			for i := range 3 {
				_, res := b.mustDo(target.Request{ID: fmt.Sprint(i), Session: "s"})
				b.Equal(res.Count, int64(i+1))
			}
			_, res := b.mustDo(target.Request{ID: "other", Session: "o"})
			b.Equal(res.Count, int64(1))
		}},
		{"requests beyond its slots get a busy response", func(b *fixture) {
			for i := range info.Slots {
				b.doAsync(target.Request{ID: fmt.Sprint(i)})
			}
			synctest.Wait()
			r, _ := b.mustDo(target.Request{ID: "more", Key: "k"})
			b.True(r.Busy)
			b.Equal(b.target.Violations(), []string{"request more exceeds 2 slots"})
			time.Sleep(2 * time.Second)
			r, _ = b.mustDo(target.Request{ID: "again", Key: "k"})
			b.True(!r.Busy)
			b.Equal(b.target.State().Most, info.Slots)
		}},
		{"a leaving target keeps its sessions", func(b *fixture) {
			b.mustDo(target.Request{ID: "r1", Session: "s"})
			b.target.SetLeaving(true)
			r, _ := b.mustDo(target.Request{ID: "r2"})
			b.True(r.Leaving)
			time.Sleep(standin.DefaultLeavingGrace)
			b.mustDo(target.Request{ID: "r3", Session: "s"})
			b.Equal(len(b.target.Violations()), 0)
			b.mustDo(target.Request{ID: "r4"})
			b.Equal(b.target.Violations(), []string{"new work while leaving: r4"})
		}},
		{"canceling a request frees the slot", func(b *fixture) {
			ctx, cancel := context.WithCancel(b.ctx)
			go func() {
				time.Sleep(time.Second / 2)
				cancel()
			}()
			_, err := b.Do(ctx, &target.Request{ID: "r1"})
			b.True(errors.Is(err, context.Canceled))
			synctest.Wait()
			b.Equal(b.target.State().InUse, 0)
		}},
	})
}

// Guards against errors that hide whether the request may have run: only ErrNotSent and ErrRefused
// may say that it did not. The answer to another request and a truncated answer must never be
// returned.
func TestFaults(t *testing.T) {
	const unknown = "unknown"
	cases := []struct {
		name  string
		fault standin.Fault
		want  error // nil means an answer; errors.New(unknown) means an error that leaves open whether the request ran
		ran   int64
	}{
		{"down", standin.Fault{Down: true}, errors.New(unknown), 0},
		{"answer lost", standin.Fault{LoseAnswers: 1}, errors.New(unknown), 1},
		{"delayed beyond the deadline", standin.Fault{DelayMillis: 9000}, context.DeadlineExceeded, 0},
		{"late beyond the deadline", standin.Fault{LateMillis: 9000}, context.DeadlineExceeded, 1},
		{"frozen", standin.Fault{Frozen: true}, context.DeadlineExceeded, 0},
		{"truncated", standin.Fault{Truncate: 1}, target.ErrTruncated, 1},
		{"another request's answer", standin.Fault{Stale: 1}, target.ErrMismatch, 1},
		{"refused", standin.Fault{Refuse: 1}, target.ErrRefused, 0},
		{"truncated and lost", standin.Fault{Truncate: 1, LoseAnswers: 1}, errors.New(unknown), 1},
		{"fails all", standin.Fault{FailAll: true}, nil, 1},
	}
	var all []testCase
	for _, c := range cases {
		all = append(all, testCase{c.name, func(b *fixture) {
			b.mustDo(target.Request{ID: "before"})
			b.target.SetFault(c.fault)
			ctx, cancel := context.WithTimeout(b.ctx, 4*time.Second)
			defer cancel()
			resp, err := b.Do(ctx, &target.Request{ID: "r", Key: "k"})
			b.Equal(err == nil, c.want == nil)
			b.Equal(resp == nil, c.want != nil)
			b.True(!errors.Is(err, target.ErrNotSent))
			if c.want != nil && c.want.Error() != unknown {
				b.True(errors.Is(err, c.want))
			} else {
				b.True(!errors.Is(err, target.ErrRefused))
			}
			b.Equal(b.target.State().Ran, 1+c.ran)
			b.target.SetFault(standin.Fault{})
			r, _ := b.mustDo(target.Request{ID: "again", Key: "k"})
			b.Equal(r.ID, "again")
		}})
	}
	run(t, all)
}

// Guards against an ambiguous error when a request gives up while it waits for a free connection:
// it must get ErrNotSent, because nothing was sent.
func TestWaitForConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		at := standin.New(info, standin.ServiceTime(3*time.Second))
		pipe := endpoint.NewPipe(http.StripPrefix("/t/0", at.Handler()))
		defer pipe.Close()
		pool := webcall.New(webcall.Dial(pipe.Dial))
		defer pool.Close()
		c := web.New(pool)(info, 1)
		go func() { _, _ = c.Do(t.Context(), &target.Request{ID: "first"}) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.Do(ctx, &target.Request{ID: "second"})
		is.True(errors.Is(err, target.ErrNotSent))
		time.Sleep(5 * time.Second)
		is.Equal(at.State().Ran, int64(1))
	})
}

// Guards against more connections to a slow target than the gate was given: callers give up one
// after another, each leaves a dial behind, and the next caller dials again.
func TestConnectionsWithSlowDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var now, most atomic.Int32
		pool := webcall.New(webcall.Dial(func(context.Context, string) (net.Conn, error) {
			most.Store(max(most.Load(), now.Add(1)))
			time.Sleep(10 * time.Second)
			now.Add(-1)
			return nil, errors.New("refused")
		}))
		c := web.New(pool)(info, 2)
		for range 20 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err := c.Do(ctx, &target.Request{ID: "r"})
			is.True(errors.Is(err, target.ErrNotSent))
			cancel()
		}
		time.Sleep(time.Minute)
		is.Equal(most.Load(), int32(2))
		is.Equal(now.Load(), int32(0))
	})
}
