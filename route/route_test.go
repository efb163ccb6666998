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

// owner answers the submissions of one zone; cut ends the connection in place of an answer.
type owner struct {
	answer func(s *SubmitRequest) (*job.Status, error)
	cut    bool
	absent bool
	calls  int
}

// cell is a client and the owners of two zones, reached over pipes.
func cell(owners map[string]*owner) (c *Client, stop func()) {
	var servers []*rpc.Server
	pool := rpc.NewPool(rpc.Dial(func(_ context.Context, address string) (net.Conn, error) {
		o := owners[address]
		if o.absent {
			return nil, errors.New("refused")
		}
		near, far := net.Pipe()
		s := rpc.NewServer()
		rpc.Handle(s, CallSubmit, func(_ context.Context, r *SubmitRequest) (*job.Status, error) {
			o.calls++
			if o.cut {
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

func done(s *SubmitRequest) (*job.Status, error) {
	return &job.Status{ID: "id", Zone: s.Spec.Zone}, nil
}

func fails(err error) func(*SubmitRequest) (*job.Status, error) {
	return func(*SubmitRequest) (*job.Status, error) { return nil, err }
}

// The caller hears "not run" only if no owner can have taken the job, and "unknown" as soon as one
// answer was lost; a job that moved is followed to its zone.
func TestSubmit(t *testing.T) {
	cases := []struct {
		name  string
		a     owner
		b     owner
		zone  string
		fault rpc.Code
		calls int
	}{
		{"answer", owner{answer: done}, owner{}, "", "", 1},
		{"moved to another zone", owner{answer: fails(&rpc.Fault{Code: rpc.CodeMoved, Zone: "b"})}, owner{answer: done}, "b", "", 1},
		{"moved, and its zone refuses", owner{answer: fails(&rpc.Fault{Code: rpc.CodeMoved, Zone: "b"})}, owner{answer: fails(rpc.Refused(0, "full"))}, "", rpc.CodeRefused, 1},
		{"not the owner", owner{answer: fails(&rpc.Fault{Code: rpc.CodeNotOwner})}, owner{}, "", rpc.CodeRefused, tries},
		{"refused is final", owner{answer: fails(rpc.Refused(0, "full"))}, owner{}, "", rpc.CodeRefused, 1},
		{"owner not reached", owner{absent: true}, owner{}, "", rpc.CodeRefused, 0},
		{"answer lost", owner{answer: done, cut: true}, owner{}, "", rpc.CodeUnknown, tries},
		{"outcome unknown there", owner{answer: fails(errors.New("disk"))}, owner{}, "", rpc.CodeUnknown, tries},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c, stop := cell(map[string]*owner{"a": &tc.a, "b": &tc.b})
				defer stop()
				st, err := c.Submit(context.Background(), &job.Submission{
					Key: "k", Team: "t", Class: "c", Kind: job.Batch, Tasks: 1, Each: job.Resources{Millicores: 1, MemoryMB: 1},
				})
				is.Equal(tc.a.calls, tc.calls)
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
