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

// newServer counts the calls whose complete body arrived, and answers them with do.
func newServer(do http.HandlerFunc) (*endpoint.Pipe, *atomic.Int32) {
	var arrived atomic.Int32
	return endpoint.NewPipe(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			arrived.Add(1)
		}
		do(rw, r)
	})), &arrived
}

func answer(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, `{"text":"yes"}`) }

func notValid() bool { return false }

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
		{"not valid", answer, notValid, true, 0, true, 0},
		{"connection closed", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, nil, false, 0, true, 1},
		{"reply too long", func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, long) }, nil, false, 0, true, 1},
		{"truncated answer", func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Content-Length", "14")
			_, _ = io.WriteString(rw, `{"text"`)
		}, nil, false, 0, true, 1},
		{"no answer in time", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, nil, false, 0, true, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				server, arrived := newServer(c.do)
				pool := New(Dial(server.Dial), MaxResponseBytes(100))
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

// The owner is paused while its start waits for a connection, and its lease expires after the check
// before that wait. Its successor may already act, so no byte of the start may be sent, and the caller
// gets ErrNotSent.
func TestPauseBetweenCheckAndWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server, arrived := newServer(answer)
		expiry := time.Now().Add(time.Second)
		valid := func() bool { return time.Now().Before(expiry) }
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

// The owner is paused in the middle of sending a long start, and its lease expires. The rest must not
// be sent, so that the worker never gets the complete start. The error must not be ErrNotSent, because
// some bytes were sent.
func TestPauseWithinWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server, arrived := newServer(answer)
		pool := New(Dial(server.Dial))
		defer server.Close()
		defer pool.Close()
		checks := 0
		valid := func() bool { checks++; return checks < 2 }
		in := body{strings.Repeat("x", 100<<10)}
		err := pool.Do(t.Context(), &Call{Address: "10.0.0.1:1", Path: "/", In: in, Valid: valid})
		is.True(err != nil)
		is.True(!errors.Is(err, ErrNotSent))
		is.True(checks >= 2)
		is.Equal(arrived.Load(), int32(0))
	})
}

// A check that must not be repeated is sent on a reused connection, and the server dies after receiving
// it. net/http resends some calls on a new connection by itself; it must not resend this one, and the
// error must leave the outcome unknown.
func TestCutIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		calls := 0
		server, arrived := newServer(func(rw http.ResponseWriter, r *http.Request) {
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

// The caller's deadline passes right before the transport's write. The caller gets ErrNotSent and places
// the task elsewhere, so the pending write must fail, or the task would run twice.
func TestNoWriteAfterAbandon(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	c := &conn{Conn: near}
	s := &outgoing{}
	c.call.Store(s)
	is.True(s.abandon())
	_, err := c.Write([]byte("start"))
	is.True(errors.Is(err, errAbandoned))
}

func TestDialFails(t *testing.T) {
	is := is.New(t)
	pool := New(Dial(func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") }))
	err := pool.Do(t.Context(), &Call{Address: "10.0.0.1:1", Path: "/", In: body{}})
	is.True(errors.Is(err, ErrNotSent))
}

func TestUnusedLimitedPoolsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pool := New()
		for i := range 100 {
			pool.Limited(string(rune('a'+i)), 1)
		}
		kept := pool.Limited("a", 1)
		is.Equal(len(pool.limited), 100)
		time.Sleep(limitedTTL / 2)
		_ = kept.Do(t.Context(), &Call{Address: "not valid", Path: "/"})
		time.Sleep(limitedTTL/2 + time.Second)
		is.True(pool.Limited("a", 1) == kept)
		is.Equal(len(pool.limited), 1)
	})
}
