package webcall

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/standin/endpoint"
)

type body struct {
	Text string `json:"text"`
}

// callee counts the calls whose whole body arrived, and answers as do says.
func callee(do http.HandlerFunc) (*endpoint.Pipe, *atomic.Int32) {
	var arrived atomic.Int32
	return endpoint.NewPipe(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			arrived.Add(1)
		}
		do(rw, r)
	})), &arrived
}

func answer(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, `{"text":"yes"}`) }

func never() bool { return false }

func TestDo(t *testing.T) {
	long := `{"text":"` + strings.Repeat("x", 200) + `"}`
	cases := []struct {
		name    string
		do      http.HandlerFunc
		valid   func() bool
		notSent bool
		status  int
		fails   bool
		arrived int32
	}{
		{"answer", answer, nil, false, 0, false, 1},
		{"status", func(rw http.ResponseWriter, _ *http.Request) { http.Error(rw, "no", http.StatusConflict) }, nil, false, http.StatusConflict, true, 1},
		{"not valid", answer, never, true, 0, true, 0},
		{"cut", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, nil, false, 0, true, 1},
		{"too long", func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, long) }, nil, false, 0, true, 1},
		{"half an answer", func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Content-Length", "14")
			_, _ = io.WriteString(rw, `{"text"`)
		}, nil, false, 0, true, 1},
		{"no answer in time", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, nil, false, 0, true, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				server, arrived := callee(c.do)
				pool := New(Dial(server.Dial), MaxReplyBytes(100))
				defer server.Close()
				defer pool.Close()
				var out body
				err := pool.Do(t.Context(), &Call{Address: "10.0.0.1:1", Path: "/", In: body{"ask"}, Out: &out, Valid: c.valid})
				is.Equal(err != nil, c.fails)
				is.Equal(errors.Is(err, ErrNotSent), c.notSent)
				is.Equal(StatusCode(err), c.status)
				is.Equal(arrived.Load(), c.arrived)
			})
		})
	}
}

// The owner of a worker is paused while its start waits for a connection, and its lease lapses.
// The check before the wait had said yes; the successor may have acted by the time of the write.
// No byte of the start may leave, and the caller may say so.
func TestPauseBetweenCheckAndWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server, arrived := callee(answer)
		lapses := time.Now().Add(time.Second)
		valid := func() bool { return time.Now().Before(lapses) }
		pool := New(Dial(func(ctx context.Context, address string) (net.Conn, error) {
			time.Sleep(2 * time.Second)
			return server.Dial(ctx, address)
		}))
		defer server.Close()
		defer pool.Close()
		is.True(valid())
		err := pool.Do(t.Context(), &Call{Address: "10.0.0.1:1", Path: "/", In: body{"start"}, Valid: valid})
		is.True(errors.Is(err, ErrNotSent))
		is.Equal(arrived.Load(), int32(0))
	})
}

// The owner is paused in the midst of a long start: its first bytes have left, the lease lapses.
// The rest stays here, so that the worker never has the whole start.
// As bytes did leave, the caller hears an open outcome and asks the worker.
func TestPauseWithinWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server, arrived := callee(answer)
		pool := New(Dial(server.Dial))
		defer server.Close()
		defer pool.Close()
		asked := 0
		valid := func() bool { asked++; return asked < 2 }
		in := body{strings.Repeat("x", 100<<10)}
		err := pool.Do(t.Context(), &Call{Address: "10.0.0.1:1", Path: "/", In: in, Valid: valid})
		is.True(err != nil)
		is.True(!errors.Is(err, ErrNotSent))
		is.True(asked >= 2)
		is.Equal(arrived.Load(), int32(0))
	})
}

// A check that must not be repeated is sent on a connection that carried a call before, and the callee
// dies after it took the check. net/http sends some calls again on a new connection by itself.
// This call must not be one of them: it arrives once, and its outcome is open.
func TestCutIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		calls := 0
		server, arrived := callee(func(rw http.ResponseWriter, r *http.Request) {
			if calls++; calls > 1 {
				panic(http.ErrAbortHandler)
			}
			answer(rw, r)
		})
		pool := New(Dial(server.Dial))
		defer server.Close()
		defer pool.Close()
		call := &Call{Address: "10.0.0.1:1", Path: "/", In: body{"check"}}
		is.NoErr(pool.Do(t.Context(), call))
		err := pool.Do(t.Context(), call)
		is.True(err != nil && !errors.Is(err, ErrNotSent))
		is.Equal(arrived.Load(), int32(2))
	})
}

// The caller's deadline passes while the transport's writer stands just before its write.
// The caller is told "not sent" and places the task elsewhere; then the writer goes on.
// Its write must fail, or the task would run twice.
func TestNothingLeavesAfterGivingUp(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	c := &conn{Conn: near}
	s := &sending{}
	c.sending.Store(s)
	is.True(s.giveUp())
	_, err := c.Write([]byte("start"))
	is.True(errors.Is(err, errGivenUp))
}

func TestDialFails(t *testing.T) {
	is := is.New(t)
	pool := New(Dial(func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") }))
	err := pool.Do(t.Context(), &Call{Address: "10.0.0.1:1", Path: "/", In: body{}})
	is.True(errors.Is(err, ErrNotSent))
}

func TestPoolsOfGoneCalleesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pool := New()
		for i := range 100 {
			pool.Limited(string(rune('a'+i)), 1)
		}
		kept := pool.Limited("a", 1)
		is.Equal(len(pool.limited), 100)
		time.Sleep(limitedKeep / 2)
		_ = kept.Do(t.Context(), &Call{Address: "not valid", Path: "/"})
		time.Sleep(limitedKeep/2 + time.Second)
		is.True(pool.Limited("a", 1) == kept)
		is.Equal(len(pool.limited), 1)
	})
}
