package route

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/rpc"
)

// owner serves the submissions of one zone; cutAnswer closes the connection instead of answering.
type owner struct {
	answer      func(s *SubmitRequest) (*job.Status, error)
	cutAnswer   bool
	unreachable bool
	callCount   int
}

// cell returns a client for the owners of two zones, connected by pipes.
func cell(owners map[string]*owner) (c *Client, stop func()) {
	var servers []*rpc.Server
	pool := rpc.NewPool(rpc.Dial(func(_ context.Context, address string) (net.Conn, error) {
		o := owners[address]
		if o.unreachable {
			return nil, errors.New("refused")
		}
		near, far := net.Pipe()
		s := rpc.NewServer()
		rpc.Handle(s, CallSubmit, func(_ context.Context, r *SubmitRequest) (*job.Status, error) {
			o.callCount++
			if o.cutAnswer {
				far.Close()
			}
			return o.answer(r)
		})
		servers = append(servers, s)
		go s.ServeConn(far)
		return near, nil
	}))
	c = &Client{Zones: []string{"a"}, Pool: pool, Owner: func(zone string) (string, bool) { _, ok := owners[zone]; return zone, ok }}
	return c, func() {
		pool.Close()
		for _, s := range servers {
			s.Close()
		}
	}
}

func accept(s *SubmitRequest) (*job.Status, error) {
	return &job.Status{ID: "id", Zone: s.Spec.Zone}, nil
}

func failWith(err error) func(*SubmitRequest) (*job.Status, error) {
	return func(*SubmitRequest) (*job.Status, error) { return nil, err }
}

// The caller may be told that a job was refused only if no owner can have accepted it, and must be told that the
// outcome is unknown after any lost answer. A job that was moved is followed to its new zone.
func TestSubmit(t *testing.T) {
	cases := []struct {
		name  string
		a     owner
		b     owner
		zone  string
		fault rpc.Code
		calls int
	}{
		{"accepted", owner{answer: accept}, owner{}, "", "", 1},
		{"moved to another zone", owner{answer: failWith(&rpc.Fault{Code: rpc.CodeMoved, Zone: "b"})}, owner{answer: accept}, "b", "", 1},
		{"moved, and refused by the new zone", owner{answer: failWith(&rpc.Fault{Code: rpc.CodeMoved, Zone: "b"})}, owner{answer: failWith(rpc.Refused(0, "full"))}, "", rpc.CodeRefused, 1},
		{"not the owner", owner{answer: failWith(&rpc.Fault{Code: rpc.CodeNotOwner})}, owner{}, "", rpc.CodeRefused, maxAttempts},
		{"refused is final", owner{answer: failWith(rpc.Refused(0, "full"))}, owner{}, "", rpc.CodeRefused, 1},
		{"owner unreachable", owner{unreachable: true}, owner{}, "", rpc.CodeRefused, 0},
		{"answer lost", owner{answer: accept, cutAnswer: true}, owner{}, "", rpc.CodeUnknown, maxAttempts},
		{"outcome unknown to the owner", owner{answer: failWith(errors.New("disk"))}, owner{}, "", rpc.CodeUnknown, maxAttempts},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c, stop := cell(map[string]*owner{"a": &tc.a, "b": &tc.b})
				defer stop()
				st, err := c.Submit(context.Background(), &job.Submission{
					Key: "k", Team: "t", Class: "c", Kind: job.Batch, Tasks: 1, TaskResources: job.Resources{Millicores: 1, MemoryMB: 1},
				})
				is.Equal(tc.a.callCount, tc.calls)
				if tc.fault != "" {
					is.Equal(rpc.AsFault(err).Code, tc.fault)
					return
				}
				is.NoErr(err)
				is.Equal(st.Zone, tc.zone)
			})
		})
	}
}
