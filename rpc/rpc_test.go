package rpc

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

type question struct{ N int }

type answer struct{ N int }

// pipe returns a client whose connections are pipes to the server.
func pipe(s *Server) *Client {
	return NewClient("10.0.0.1:1", Dial(func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go s.ServeConn(far)
		return near, nil
	}))
}

func TestCall(t *testing.T) {
	cases := []struct {
		name string
		do   func(context.Context, *question) (*answer, error)
		want func(is *is.I, a *answer, err error)
	}{
		{
			"answer", func(_ context.Context, q *question) (*answer, error) { return &answer{q.N + 1}, nil },
			func(is *is.I, a *answer, err error) { is.NoErr(err); is.Equal(a.N, 8) },
		},
		{
			"typed fault keeps its code", func(context.Context, *question) (*answer, error) { return nil, Refused(time.Second, "full") },
			func(is *is.I, _ *answer, err error) {
				is.Equal(AsFault(err).Code, CodeRefused)
				is.Equal(AsFault(err).RetryAfter, time.Second)
			},
		},
		{
			"untyped error is of unknown outcome", func(context.Context, *question) (*answer, error) { return nil, errors.New("disk") },
			func(is *is.I, _ *answer, err error) { is.Equal(AsFault(err).Code, CodeUnknown) },
		},
		{
			"deadline travels", func(ctx context.Context, _ *question) (*answer, error) { <-ctx.Done(); return nil, ctx.Err() },
			func(is *is.I, _ *answer, err error) {
				is.True(errors.Is(err, context.DeadlineExceeded) || AsFault(err) != nil)
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := NewServer()
				Handle(s, "test", c.do)
				client := pipe(s)
				a, err := Call[question, answer](context.Background(), client, "test", &question{7})
				c.want(is.New(t), a, err)
				client.Close()
				s.Close()
			})
		})
	}
}

// The caller sees an error that is neither a fault nor ErrNotSent.
// The peer takes the request, does it, and the connection is cut before its answer.
// The request may have run, so the error must not claim otherwise; the next call dials anew.
func TestCallCutBeforeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var ran atomic.Int32
		s := NewServer()
		client := pipe(s)
		Handle(s, "test", func(context.Context, *question) (*answer, error) {
			if ran.Add(1) == 1 {
				s.mu.Lock()
				for conn := range s.conns {
					conn.Close()
				}
				s.mu.Unlock()
			}
			return &answer{1}, nil
		})
		_, err := Call[question, answer](context.Background(), client, "test", &question{})
		is.True(err != nil)
		is.True(AsFault(err) == nil)
		is.True(!errors.Is(err, ErrNotSent))
		_, err = Call[question, answer](context.Background(), client, "test", &question{})
		is.NoErr(err)
		client.Close()
		s.Close()
	})
}

func TestCallNotSent(t *testing.T) {
	is := is.New(t)
	client := NewClient("10.0.0.1:1", Dial(func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") }))
	_, err := Call[question, answer](context.Background(), client, "test", &question{})
	is.True(errors.Is(err, ErrNotSent))
}

// A caller's calls to a peer get no answer, and go on getting none.
// The connection went silent without a reset, as after a cut, and the call's time runs out on it.
// The next call must not wait on the same connection: a new one works.
func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewServer()
		Handle(s, "test", func(context.Context, *question) (*answer, error) { return &answer{1}, nil })
		dials := 0
		client := NewClient("10.0.0.1:1", Dial(func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			if dials++; dials == 1 {
				go func() { _, _ = io.Copy(io.Discard, far) }()
				return near, nil
			}
			go s.ServeConn(far)
			return near, nil
		}))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := Call[question, answer](ctx, client, "test", &question{})
		is.True(errors.Is(err, context.DeadlineExceeded))
		_, err = Call[question, answer](context.Background(), client, "test", &question{})
		is.NoErr(err)
		is.Equal(dials, 2)
		client.Close()
		s.Close()
	})
}
