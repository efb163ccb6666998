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

type request struct{ N int }

type response struct{ N int }

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
		do   func(context.Context, *request) (*response, error)
		want func(is *is.I, resp *response, err error)
	}{
		{
			"response", func(_ context.Context, req *request) (*response, error) { return &response{req.N + 1}, nil },
			func(is *is.I, resp *response, err error) { is.NoErr(err); is.Equal(resp.N, 8) },
		},
		{
			"typed fault keeps its code", func(context.Context, *request) (*response, error) { return nil, Refused(time.Second, "full") },
			func(is *is.I, _ *response, err error) {
				is.Equal(AsFault(err).Code, CodeRefused)
				is.Equal(AsFault(err).RetryAfter, time.Second)
			},
		},
		{
			"untyped error has an unknown outcome", func(context.Context, *request) (*response, error) { return nil, errors.New("disk") },
			func(is *is.I, _ *response, err error) { is.Equal(AsFault(err).Code, CodeUnknown) },
		},
		{
			"deadline is passed on", func(ctx context.Context, _ *request) (*response, error) { <-ctx.Done(); return nil, ctx.Err() },
			func(is *is.I, _ *response, err error) {
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
				resp, err := Call[request, response](context.Background(), client, "test", &request{7})
				c.want(is.New(t), resp, err)
				client.Close()
				s.Close()
			})
		})
	}
}

// The peer handles a request and the connection is closed before its response. The request has run, so the
// error must be neither a fault nor ErrNotSent. The next call must open a new connection.
func TestCallCutBeforeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var ran atomic.Int32
		s := NewServer()
		client := pipe(s)
		Handle(s, "test", func(context.Context, *request) (*response, error) {
			if ran.Add(1) == 1 {
				s.mu.Lock()
				for conn := range s.conns {
					conn.Close()
				}
				s.mu.Unlock()
			}
			return &response{1}, nil
		})
		_, err := Call[request, response](context.Background(), client, "test", &request{})
		is.True(err != nil)
		is.True(AsFault(err) == nil)
		is.True(!errors.Is(err, ErrNotSent))
		_, err = Call[request, response](context.Background(), client, "test", &request{})
		is.NoErr(err)
		client.Close()
		s.Close()
	})
}

func TestCallNotSent(t *testing.T) {
	is := is.New(t)
	client := NewClient("10.0.0.1:1", Dial(func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") }))
	_, err := Call[request, response](context.Background(), client, "test", &request{})
	is.True(errors.Is(err, ErrNotSent))
}

// A connection goes silent without a reset, as in a network partition, and a call on it times out. The
// next call must not wait on the same connection, but open a new one.
func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewServer()
		Handle(s, "test", func(context.Context, *request) (*response, error) { return &response{1}, nil })
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
		_, err := Call[request, response](ctx, client, "test", &request{})
		is.True(errors.Is(err, context.DeadlineExceeded))
		_, err = Call[request, response](context.Background(), client, "test", &request{})
		is.NoErr(err)
		is.Equal(dials, 2)
		client.Close()
		s.Close()
	})
}
