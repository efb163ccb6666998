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

// bench is one target and a client of it.
type bench struct {
	*is.I
	*target.Client
	at   *standin.Target
	ctx  context.Context
	asks sync.WaitGroup
}

// askBeside sends a request that must be answered before the case ends.
func (b *bench) askBeside(r target.Request) { b.asks.Go(func() { b.ask(r) }) }

// ask sends a request that must be answered.
func (b *bench) ask(r target.Request) (*target.Response, standin.Result) {
	resp, err := b.Do(b.ctx, &r)
	b.NoErr(err)
	var res standin.Result
	if !resp.Busy {
		b.NoErr(json.Unmarshal(resp.Answer.Body, &res))
	}
	return resp, res
}

// kinds makes a client of the stand-in in each way that the project has.
var kinds = map[string]func(*standin.Target) (*target.Client, func()){
	"in process": func(t *standin.Target) (*target.Client, func()) { return t.Client(), func() {} },
	"over HTTP": func(t *standin.Target) (*target.Client, func()) {
		pipe := endpoint.NewPipe(http.StripPrefix("/t/0", t.Handler()))
		pool := webcall.New(webcall.Dial(pipe.Dial))
		return web.New(pool)(info, 4), func() { pool.Close(); pipe.Close() }
	},
}

type testCase struct {
	name string
	do   func(b *bench)
}

// run runs each case over each kind of client, on the virtual clock.
func run(t *testing.T, cases []testCase) {
	for kind, build := range kinds {
		for _, c := range cases {
			t.Run(kind+"/"+c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					at := standin.New(info, standin.ServiceTime(time.Second))
					client, stop := build(at)
					defer stop()
					defer at.SetFault(standin.Fault{})
					b := &bench{I: is.New(t), Client: client, at: at, ctx: t.Context()}
					defer b.asks.Wait()
					c.do(b)
				})
			})
		}
	}
}

func TestContract(t *testing.T) {
	run(t, []testCase{
		{"an answer belongs to its request", func(b *bench) {
			r, res := b.ask(target.Request{ID: "r1", Method: "book", Body: []byte("seat")})
			b.Equal(r.ID, "r1")
			b.Equal(res, standin.Result{Target: "t", Method: "book", Echo: []byte("seat")})
		}},
		{"a repeated key gets the first answer", func(b *bench) {
			_, first := b.ask(target.Request{ID: "r1", Key: "k", Session: "s"})
			again, second := b.ask(target.Request{ID: "r2", Key: "k", Session: "s"})
			b.Equal(again.ID, "r2")
			b.Equal(first, second)
			b.Equal(b.at.State().Ran, int64(1))
		}},
		{"a repeat joins the work in progress", func(b *bench) {
			b.askBeside(target.Request{ID: "r1", Key: "k"})
			synctest.Wait()
			b.ask(target.Request{ID: "r2", Key: "k"})
			b.Equal(b.at.State().Ran, int64(1))
		}},
		{"a repeat takes over when the first gives up", func(b *bench) {
			ctx, cancel := context.WithTimeout(b.ctx, time.Second/2)
			defer cancel()
			go func() { _, _ = b.Do(ctx, &target.Request{ID: "r1", Key: "k"}) }()
			synctest.Wait()
			b.ask(target.Request{ID: "r2", Key: "k"})
			b.Equal(b.at.State().Ran, int64(2))
		}},
		{"a session counts its own requests", func(b *bench) {
			for i := range 3 {
				_, res := b.ask(target.Request{ID: fmt.Sprint(i), Session: "s"})
				b.Equal(res.Count, int64(i+1))
			}
			_, res := b.ask(target.Request{ID: "other", Session: "o"})
			b.Equal(res.Count, int64(1))
		}},
		{"beyond its slots it is busy and tells", func(b *bench) {
			for i := range info.Slots {
				b.askBeside(target.Request{ID: fmt.Sprint(i)})
			}
			synctest.Wait()
			r, _ := b.ask(target.Request{ID: "more", Key: "k"})
			b.True(r.Busy)
			b.Equal(b.at.Violations(), []string{"request more exceeds 2 slots"})
			time.Sleep(2 * time.Second)
			r, _ = b.ask(target.Request{ID: "again", Key: "k"})
			b.True(!r.Busy)
			b.Equal(b.at.State().Most, info.Slots)
		}},
		{"a leaving target keeps its sessions", func(b *bench) {
			b.ask(target.Request{ID: "r1", Session: "s"})
			b.at.SetLeaving(true)
			r, _ := b.ask(target.Request{ID: "r2"})
			b.True(r.Leaving)
			time.Sleep(standin.DefaultLeavingGrace)
			b.ask(target.Request{ID: "r3", Session: "s"})
			b.Equal(len(b.at.Violations()), 0)
			b.ask(target.Request{ID: "r4"})
			b.Equal(b.at.Violations(), []string{"new work while leaving: r4"})
		}},
		{"giving up frees the slot", func(b *bench) {
			ctx, cancel := context.WithCancel(b.ctx)
			go func() {
				time.Sleep(time.Second / 2)
				cancel()
			}()
			_, err := b.Do(ctx, &target.Request{ID: "r1"})
			b.True(errors.Is(err, context.Canceled))
			synctest.Wait()
			b.Equal(b.at.State().InUse, 0)
		}},
	})
}

// The caller of a request gets an error or a failed answer, and learns from it whether the request
// may have run: only ErrNotSent and ErrRefused say that it has not.
// The answer of another request, or a part of an answer, is never shown.
func TestFaults(t *testing.T) {
	const unknown = "unknown"
	cases := []struct {
		name  string
		fault standin.Fault
		want  error // nil means an answer; a plain error means an open outcome.
		ran   int64
	}{
		{"down", standin.Fault{Down: true}, errors.New(unknown), 0},
		{"answer lost", standin.Fault{LoseAnswers: 1}, errors.New(unknown), 1},
		{"delayed beyond the deadline", standin.Fault{DelayMillis: 9000}, context.DeadlineExceeded, 0},
		{"late beyond the deadline", standin.Fault{LateMillis: 9000}, context.DeadlineExceeded, 1},
		{"frozen", standin.Fault{Frozen: true}, context.DeadlineExceeded, 0},
		{"cut", standin.Fault{Truncate: 1}, target.ErrTruncated, 1},
		{"another request's answer", standin.Fault{Stale: 1}, target.ErrMismatch, 1},
		{"refused", standin.Fault{Refuse: 1}, target.ErrRefused, 0},
		{"cut and lost", standin.Fault{Truncate: 1, LoseAnswers: 1}, errors.New(unknown), 1},
		{"fails all", standin.Fault{FailAll: true}, nil, 1},
	}
	var all []testCase
	for _, c := range cases {
		all = append(all, testCase{c.name, func(b *bench) {
			b.ask(target.Request{ID: "before"})
			b.at.SetFault(c.fault)
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
			b.Equal(b.at.State().Ran, 1+c.ran)
			b.at.SetFault(standin.Fault{})
			r, _ := b.ask(target.Request{ID: "again", Key: "k"})
			b.Equal(r.ID, "again")
		}})
	}
	run(t, all)
}

// A gate sends more requests than its connections to a target; those that wait give up in time.
// They hear ErrNotSent, as no byte of theirs has left.
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

// A target is slow to accept connections, and the callers of a gate give up one after another.
// Each leaves a dial behind; the next caller's dial comes on top of it.
// The target must never see more connections than the gate was given.
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
