package operate

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"turmericgap/member"
	"turmericgap/rpc"
	"turmericgap/scheduler"
	"turmericgap/view"
)

// An operator would see no page, or a part of the cell as the whole.
// One owner answers, one has lost its zone, one cannot be dialled, and one zone has no owner.
func TestCollectTellsWhatIsMissing(t *testing.T) {
	is := is.New(t)
	servers := map[string]*rpc.Server{"10.0.0.1:1": rpc.NewServer(), "10.0.0.2:1": rpc.NewServer()}
	for address, server := range servers {
		s := &Source{
			Members: func() member.Status { return member.Status{Basis: member.ByNothing} }, InForce: func() []view.Process { return nil },
			Zone: func(context.Context) (*scheduler.State, error) {
				if address == "10.0.0.2:1" {
					return nil, &rpc.Fault{Code: rpc.CodeNotOwner}
				}
				return &scheduler.State{Live: 4}, nil
			},
		}
		s.Register(server)
		defer server.Close()
	}
	pool := rpc.NewPool(rpc.Dial(func(_ context.Context, address string) (net.Conn, error) {
		if servers[address] == nil {
			return nil, net.ErrClosed
		}
		near, far := net.Pipe()
		go servers[address].ServeConn(far)
		return near, nil
	}))
	defer pool.Close()
	v := &view.View{}
	for zone, address := range map[string]string{"a": "10.0.0.1:1", "b": "10.0.0.2:1", "c": "10.0.0.3:1", "d": ""} {
		tab := member.Table{Zone: zone, Role: member.RoleScheduler}
		if address != "" {
			tab.Owner, tab.Members = "s", []member.Member{{ID: "s", Address: address}}
		}
		v.Tables = append(v.Tables, tab)
	}
	c := Collect(context.Background(), pool, v, nil)
	is.Equal(len(c.Zones), 4)
	is.Equal(c.Zones[0].State.Live, 4)
	is.True(strings.Contains(c.Zones[0].Warning(), "neither lease nor promises"))
	is.Equal(c.Zones[2].Warning(), "")
	is.Equal(c.Zones[1].Problem, "its owner does not serve it just now")
	is.Equal(c.Zones[2].Problem, "its owner gave no answer: not sent: use of closed network connection")
	is.Equal(c.Zones[3].Problem, "the zone has no owner")
}
