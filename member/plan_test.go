package member

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A member whose key is absent may still act, by promises or on a clock that lags.
// Each row is what the decider knows of it, and how long it has to wait before it may remove it.
func TestRemovable(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	cases := []struct {
		name    string
		address string
		o       standing
		want    time.Duration
	}{
		{"knows this process, nothing promised", "b", standing{absent: ago(time.Second), established: ago(time.Hour)}, -800 * time.Millisecond},
		{"others write first", "b", standing{absent: now, established: ago(time.Hour)}, stagger},
		{"promised", "b", standing{absent: ago(time.Hour), established: ago(time.Hour), given: now.Add(time.Second)}, time.Second},
		{"may be about to ask", "b", standing{absent: ago(time.Hour), established: ago(time.Second)}, 2 * time.Second},
		{"does not know this process", "b", standing{absent: ago(time.Hour)}, soon},
		{"VM dropped, lease not waited out", "b", standing{absent: ago(time.Second), unlisted: ago(time.Hour)}, 5 * time.Second},
		{"VM dropped, just joined", "b", standing{absent: ago(time.Hour), unlisted: ago(time.Hour)}, 4 * time.Second},
		{"VM dropped just now", "b", standing{absent: ago(time.Hour), unlisted: now}, 6 * time.Second},
		{"VM dropped, promised", "b", standing{absent: ago(time.Hour), unlisted: ago(time.Hour), given: now.Add(9 * time.Second)}, 9 * time.Second},
		{"its address is held here", "a", standing{given: now.Add(time.Hour)}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &scene{
				now: now, self: Member{ID: "2", Address: "a"}, since: ago(2 * time.Second), grace: 6 * time.Second,
				promise: DefaultPromiseDuration, others: map[string]standing{"1": c.o}, keys: map[string]present{"0": {}},
				table: Table{Members: []Member{{ID: "0"}, {ID: "1"}, {ID: "2"}}},
			}
			is.New(t).Equal(s.removable(Member{ID: "1", Address: c.address}), c.want)
		})
	}
}

// A promise given in the wrong moment lets two owners act.
// Each row is a state of the one who is asked; all but the first must refuse.
func TestRefusal(t *testing.T) {
	cases := []struct {
		name   string
		change func(g *Group, b *Heartbeat)
		want   string
	}{
		{"promise", func(*Group, *Heartbeat) {}, ""},
		{"the asker knows an older table", func(_ *Group, b *Heartbeat) { b.Version = 4 }, "tables differ"},
		{"the asker knows a newer table", func(_ *Group, b *Heartbeat) { b.Version = 6 }, "tables differ"},
		{"a removal is under way or its answer was lost", func(g *Group, _ *Heartbeat) { g.peers["1"].removing = 5 }, "a removal is under way"},
		{"an older removal can not apply any more", func(g *Group, _ *Heartbeat) { g.peers["1"].removing = 4 }, ""},
		{"too long", func(_ *Group, b *Heartbeat) { b.Ask = time.Hour }, "too long"},
		{"another incarnation", func(_ *Group, b *Heartbeat) { b.From.Incarnation = 2 }, "asker is not in the table"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			asker := Member{ID: "1", Incarnation: 1}
			g := New(nil, Member{ID: "2"})
			g.UpdateTable(Table{Version: 5, Members: []Member{asker, g.self}})
			b := &Heartbeat{From: asker, Version: 5, Ask: time.Second}
			c.change(g, b)
			r, err := g.HandleHeartbeat(context.Background(), b)
			is.NoErr(err)
			is.Equal(r.Refused, c.want)
			is.Equal(r.Promised, c.want == "")
			is.Equal(g.peers["1"].given.IsZero(), c.want != "")
		})
	}
}

// A member that others have removed would act beside its successor.
// It learns of the removal from a peer, before the store tells it.
func TestExpelled(t *testing.T) {
	is := is.New(t)
	g := New(nil, Member{ID: "1"})
	g.joined, g.asked = 5, time.Now().Add(time.Hour)
	g.UpdateTable(Table{Version: 5, Members: []Member{g.self}})
	is.True(g.Valid())
	g.UpdateTable(Table{Version: 6})
	is.True(!g.Valid())
}
