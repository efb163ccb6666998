package member

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A member whose presence key is missing may still act, by promises or because its clock is slow.
// Each case is what is known about the member, and how long to wait before removing it.
func TestRemovalWait(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	cases := []struct {
		name    string
		address string
		o       peerState
		want    time.Duration
	}{
		{"knows this process, nothing promised", "b", peerState{keyMissingSince: ago(time.Second), knowsSelfSince: ago(time.Hour)}, -800 * time.Millisecond},
		{"other members write first", "b", peerState{keyMissingSince: now, knowsSelfSince: ago(time.Hour)}, writeStagger},
		{"promised", "b", peerState{keyMissingSince: ago(time.Hour), knowsSelfSince: ago(time.Hour), promiseGivenUntil: now.Add(time.Second)}, time.Second},
		{"may be about to ask", "b", peerState{keyMissingSince: ago(time.Hour), knowsSelfSince: ago(time.Second)}, 2 * time.Second},
		{"does not know this process", "b", peerState{keyMissingSince: ago(time.Hour)}, replanDelay},
		{"VM dropped, removal grace not over", "b", peerState{keyMissingSince: ago(time.Second), unlistedSince: ago(time.Hour)}, 5 * time.Second},
		{"VM dropped, just joined", "b", peerState{keyMissingSince: ago(time.Hour), unlistedSince: ago(time.Hour)}, 4 * time.Second},
		{"VM dropped just now", "b", peerState{keyMissingSince: ago(time.Hour), unlistedSince: now}, 6 * time.Second},
		{"VM dropped, promised", "b", peerState{keyMissingSince: ago(time.Hour), unlistedSince: ago(time.Hour), promiseGivenUntil: now.Add(9 * time.Second)}, 9 * time.Second},
		{"this process holds its address", "a", peerState{promiseGivenUntil: now.Add(time.Hour)}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &planInput{
				now: now, self: Member{ID: "2", Address: "a"}, joinedAt: ago(2 * time.Second), removalGrace: 6 * time.Second,
				promiseDuration: DefaultPromiseDuration, peers: map[string]peerState{"1": c.o}, presences: map[string]presence{"0": {}},
				table: Table{Members: []Member{{ID: "0"}, {ID: "1"}, {ID: "2"}}},
			}
			is.New(t).Equal(s.removalWait(Member{ID: "1", Address: c.address}), c.want)
		})
	}
}

// A promise given at the wrong moment lets two owners act.
// Each case is a state of the member that is asked for a promise, with the wanted reason to refuse it. The member must
// promise if that is empty and only then.
func TestRefusalReason(t *testing.T) {
	cases := []struct {
		name   string
		change func(g *Group, b *Heartbeat)
		want   string
	}{
		{"promise", func(*Group, *Heartbeat) {}, ""},
		{"sender knows an older table", func(_ *Group, b *Heartbeat) { b.Version = 4 }, "tables differ"},
		{"sender knows a newer table", func(_ *Group, b *Heartbeat) { b.Version = 6 }, "tables differ"},
		{"a removal is under way or its answer was lost", func(g *Group, _ *Heartbeat) { g.peers["1"].removalVersion = 5 }, "a removal is under way"},
		{"an older removal can no longer apply", func(g *Group, _ *Heartbeat) { g.peers["1"].removalVersion = 4 }, ""},
		{"too long", func(_ *Group, b *Heartbeat) { b.Ask = time.Hour }, "too long"},
		{"another incarnation", func(_ *Group, b *Heartbeat) { b.From.Incarnation = 2 }, "asker is not in the table"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sender := Member{ID: "1", Incarnation: 1}
			g := New(nil, Member{ID: "2"})
			g.UpdateTable(Table{Version: 5, Members: []Member{sender, g.self}})
			b := &Heartbeat{From: sender, Version: 5, Ask: time.Second}
			c.change(g, b)
			r, err := g.HandleHeartbeat(context.Background(), b)
			is.NoErr(err)
			is.Equal(r.Refused, c.want)
			is.Equal(r.Promised, c.want == "")
			is.Equal(g.peers["1"].promiseGivenUntil.IsZero(), c.want != "")
		})
	}
}

// A member that was removed by others must not act at the same time as its successor.
// It learns of the removal from a peer before it reads it from the store.
func TestRemovedByPeers(t *testing.T) {
	is := is.New(t)
	g := New(nil, Member{ID: "1"})
	g.joinedVersion, g.promisesEnd = 5, time.Now().Add(time.Hour)
	g.UpdateTable(Table{Version: 5, Members: []Member{g.self}})
	is.True(g.Valid())
	g.UpdateTable(Table{Version: 6})
	is.True(!g.Valid())
}
