package status

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/fleet"
	"turmericgap/job"
	"turmericgap/member"
	"turmericgap/operate"
	"turmericgap/planner"
	"turmericgap/scheduler"
	"turmericgap/standin/golden"
	"turmericgap/view"
	"turmericgap/worker"
)

var now = time.Date(2027, 3, 5, 4, 30, 0, 0, time.UTC)

// full is a cell of two zones in which all is well.
func full() *operate.Cell {
	c := &operate.Cell{At: now, View: view.View{
		Rules: view.Rules{Version: 7}, ListVersion: 3, Present: map[string]bool{},
	}}
	for z, zone := range []string{"alappuzha-hall", "kochi-hall"} {
		s := &scheduler.State{
			Zone: zone, Epoch: 2, Live: 5, Refused: int64(z),
			Stats: planner.Stats{Running: 3, Workers: 4, Open: 4, Packing: 0.375, Pending: map[string]int{}},
		}
		for i := range 4 {
			info := worker.Info{
				ID: fmt.Sprintf("%s-worker-%d", zone, i), Zone: zone, Rack: fmt.Sprint("rack-", i%2),
				Has: job.Resources{Millicores: 4000, MemoryMB: 16000},
			}
			c.View.Workers = append(c.View.Workers, info)
			s.Workers = append(s.Workers, planner.Load{Info: info, Open: true, Tasks: i, Used: job.Resources{Millicores: 1000 * int64(i)}})
		}
		id := fmt.Sprint("scheduler-", z)
		m := member.Member{ID: id, Role: member.RoleScheduler, Zone: zone, Address: fmt.Sprintf("10.0.0.%d:7000", z), VM: "entry", State: member.Ready}
		c.View.Tables = append(c.View.Tables, member.Table{Zone: zone, Role: m.Role, Epoch: 2, Owner: id, Members: []member.Member{m}})
		c.View.Present[member.PresenceKey(zone, m.Role, id)] = true
		c.InForce = append(c.InForce, view.Process{Address: m.Address, Rules: 7, Heard: now.Add(-time.Second)})
		c.Zones = append(c.Zones, operate.Zone{Name: zone, Owner: id, Address: m.Address, Basis: member.ByLease, State: s})
	}
	return c
}

// halfDead is the cell after its second zone went silent, with trouble and hostile texts in the first.
func halfDead() *operate.Cell {
	c := full()
	c.Zones[1].State, c.Zones[1].Problem = nil, "its owner gave no answer: timeout"
	c.InForce[1].Heard, c.InForce[1].Rules = now.Add(-time.Hour), 6
	clear(c.View.Present)
	c.View.Present[member.PresenceKey("alappuzha-hall", member.RoleScheduler, "scheduler-0")] = true
	s := c.Zones[0].State
	c.Zones[0].Basis = member.ByNothing
	s.Stats.Open = 1
	s.Stats.Pending = map[string]int{"<script>alert(1)</script>": 9, "roster": 40}
	s.Workers[1].Open, s.Workers[2].Info.Leaving, s.Workers[3].Probe = false, true, true
	s.Ejections = []fleet.Ejection{{ID: s.Workers[1].Info.ID, Zone: s.Zone, State: fleet.Ejected, Since: now, Until: now.Add(time.Minute), Reason: `3 failures, the last of job "<b>"`}}
	s.Refusals = []scheduler.Refusal{{At: now, Team: "<i>", Class: "sweep", Rule: "full", Reason: "fits no worker & never will"}}
	s.Ends = []scheduler.EndedJob{{Job: "alappuzha-hall.1a", Ended: now, Outcome: job.Unknown, Reason: `<img src="x" onerror="alert(1)">`}}
	return c
}

func TestPage(t *testing.T) {
	cases := []struct {
		name string
		cell *operate.Cell
	}{{"full", full()}, {"halfdead", halfDead()}, {"empty", &operate.Cell{At: now}}}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var got bytes.Buffer
			is.NoErr(New("scheduler-0", tc.cell).Write(&got))
			path := "testdata/" + tc.name + ".html"
			golden.Equal(t, path, got.Bytes())
		})
	}
}

// The owners would be asked by every reader of the page, and the zones' loops with them.
// Ten readers come at once, and one after the page has become old.
func TestServerKeepsPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		asked := 0
		s := NewServer("scheduler-0", func(context.Context) operate.Cell { asked++; return *full() })
		get := func() {
			w := httptest.NewRecorder()
			s.ServeHTTP(w, httptest.NewRequest("GET", "/status", nil))
			is.Equal(w.Code, 200)
		}
		for range 10 {
			get()
		}
		is.Equal(asked, 1)
		time.Sleep(DefaultCacheTTL)
		get()
		is.Equal(asked, 2)
	})
}
