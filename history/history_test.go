package history

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
)

var (
	start = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)
	one   = job.Resources{Millicores: 1000, MemoryMB: 100}
)

// validRun returns a run without violations; event i happens i seconds after the start.
func validRun() []Event {
	return []Event{
		0:  {Kind: WorkerCapacity, Worker: "w1", Resources: one},
		1:  {Kind: WorkerCapacity, Worker: "w2", Resources: one},
		2:  {Kind: TargetCapacity, Worker: "t1", Slots: 1},
		3:  {Kind: Accepted, Job: "j1", Repeatable: true},
		4:  {Kind: Accepted, Job: "j2"},
		5:  {Kind: Accepted, Job: "j3"},
		6:  {Kind: Intent, Attempt: "j1/0/1"},
		7:  {Kind: Started, Worker: "w1", Attempt: "j1/0/1", Resources: one},
		8:  {Kind: Ended, Worker: "w1", Attempt: "j1/0/1", Resources: one},
		9:  {Kind: Intent, Attempt: "j1/0/2"},
		10: {Kind: Started, Worker: "w2", Attempt: "j1/0/2", Resources: one},
		11: {Kind: Intent, Attempt: "j2/0/1"},
		12: {Kind: Started, Worker: "w1", Attempt: "j2/0/1", Resources: one},
		13: {Kind: Ended, Worker: "w2", Attempt: "j1/0/2", Resources: one},
		14: {Kind: Reported, Job: "j1", Outcome: job.Done, Intact: true},
		15: {Kind: Reported, Job: "j2", Outcome: job.Unknown},
		16: {Kind: Ended, Worker: "w1", Attempt: "j2/0/1", Resources: one},
		17: {Kind: Reported, Job: "j3", Outcome: job.NotRun},
		18: {Kind: Accepted, Job: "k1"},
		19: {Kind: RequestStarted, Worker: "t1", Attempt: "r1", Key: "k1"},
		20: {Kind: RequestEnded, Worker: "t1", Attempt: "r1", Key: "k1"},
		21: {Kind: Reported, Job: "k1", Outcome: job.Done, Intact: true},
		22: {Kind: Leaving, Worker: "t1"},
		23: {Kind: RequestStarted, Worker: "t1", Attempt: "r2", Key: "k2"},
		24: {Kind: RequestEnded, Worker: "t1", Attempt: "r2", Key: "k2"},
		31: {Kind: RequestStarted, Worker: "t1", Attempt: "r3", Session: true},
		32: {Kind: RequestEnded, Worker: "t1", Attempt: "r3"},
		33: {Kind: Accepted, Job: "j4"},
		34: {Kind: Live, Job: "j4"},
	}
}

// check records events in reverse order and returns the violations.
func check(events []Event) []string {
	c := New()
	for i := range slices.Backward(events) {
		if events[i].Kind != "" {
			if events[i].At.IsZero() {
				events[i].At = start.Add(time.Duration(i) * time.Second)
			}
			c.Record(events[i])
		}
	}
	var found []string
	for _, f := range c.Check() {
		found = append(found, f.String())
	}
	return found
}

// Each case adds one violation to a valid run. The Checker must find this violation and no other.
func TestPlantedViolations(t *testing.T) {
	at := func(i int) time.Time { return start.Add(time.Duration(i)*time.Second + time.Second/2) }
	cases := []struct {
		name  string
		plant func(e []Event) []Event
		want  string
	}{
		{"none", func(e []Event) []Event { return e }, ""},
		{"overloaded", func(e []Event) []Event {
			return append(e, Event{At: at(11), Kind: Intent, Attempt: "j3/0/1"},
				Event{At: at(12), Kind: Started, Worker: "w1", Attempt: "j9/0/1", Resources: one},
				Event{At: at(13), Kind: Ended, Worker: "w1", Attempt: "j9/0/1", Resources: one},
				Event{At: at(11), Kind: Intent, Attempt: "j9/0/1"})
		}, "worker w1: overfilled by j9/0/1"},
		{"overloaded in memory only", func(e []Event) []Event { e[10].Resources.MemoryMB++; return e }, "worker w2: overfilled"},
		{"two runs at once", func(e []Event) []Event { e[8].At = at(10); e[12].At = at(11); return e }, "task j1/0: runs in two places"},
		{"not repeatable, repeated", func(e []Event) []Event {
			return append(e, Event{At: at(16), Kind: Intent, Attempt: "j2/0/2"},
				Event{At: at(17), Kind: Started, Worker: "w2", Attempt: "j2/0/2", Resources: one})
		}, "task j2/0: is not repeatable and ran again as j2/0/2"},
		{"check not repeatable, repeated", func(e []Event) []Event {
			return append(e, Event{At: at(20), Kind: RequestStarted, Worker: "t1", Attempt: "r9", Key: "k1"},
				Event{At: at(21), Kind: RequestEnded, Worker: "t1", Attempt: "r9", Key: "k1"})
		}, "check k1: is not repeatable and ran again as r9"},
		{"not run, but started", func(e []Event) []Event { e[15].Outcome = job.NotRun; return e }, "job j2: was told notRun"},
		{"not run, but started later", func(e []Event) []Event {
			return append(e, Event{At: at(40), Kind: Intent, Attempt: "j3/0/1"},
				Event{At: at(41), Kind: Started, Worker: "w1", Attempt: "j3/0/1", Resources: one})
		}, "job j3: was told notRun"},
		{"check not run, but processed", func(e []Event) []Event { e[21].Outcome = job.NotRun; return e }, "job k1: was told notRun"},
		{"done with a truncated answer", func(e []Event) []Event { e[14].Intact = false; return e }, "job j1: was told done without"},
		{"two outcomes", func(e []Event) []Event {
			return append(e, Event{At: at(40), Kind: Reported, Job: "j2", Outcome: job.Done, Intact: true})
		}, "job j2: was told unknown and then done"},
		{"done without a run", func(e []Event) []Event {
			e[17].Outcome, e[17].Intact = job.Done, true
			return e
		}, "job j3: was told done and never started"},
		{"done before its end", func(e []Event) []Event { e[14].At = at(12); return e }, "job j1: was told done while it runs"},
		{"done after some of its tasks", func(e []Event) []Event { e[3].Tasks = 2; return e }, "job j1: was told done after 1 of 2"},
		{"lost", func(e []Event) []Event { e[34].Kind = ""; return e }, "job j4: was accepted and is lost"},
		{"no intent", func(e []Event) []Event { e[6].At = at(7); return e }, "task j1/0: started as j1/0/1 without"},
		{"slots", func(e []Event) []Event { e[20].At = at(23); return e }, "target t1: works on 2 requests"},
		{"slots of unknown target", func(e []Event) []Event {
			return append(e, Event{At: at(40), Kind: RequestStarted, Worker: "t2", Attempt: "r9"})
		}, "target t2: works on 1 requests with 0 slots"},
		{"new request while leaving", func(e []Event) []Event { e[31].Session = false; return e }, "target t1: got r3"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			found := check(c.plant(validRun()))
			if c.want == "" {
				is.New(t).Equal(found, nil)
				return
			}
			is.New(t).Equal(len(found), 1)
			if !strings.HasPrefix(found[0], c.want) {
				t.Fatalf("found %q", found[0])
			}
		})
	}
}

// A task fails as it starts and the next attempt takes its place, all at the same time. Checking must keep
// the recorded order of these events.
func TestEventsAtSameTime(t *testing.T) {
	c := New()
	for _, e := range []Event{
		{Kind: Started, Worker: "w", Attempt: "j1/0/1", Resources: one},
		{Kind: Ended, Worker: "w", Attempt: "j1/0/1", Resources: one},
		{Kind: Started, Worker: "w", Attempt: "j1/0/2", Resources: one},
		{Kind: WorkerCapacity, Worker: "w", Resources: one},
		{Kind: Accepted, Job: "j1", Repeatable: true},
		{Kind: Live, Job: "j1"},
	} {
		e.At = start
		c.Record(e)
	}
	is.New(t).NoErr(c.Check().Err())
}

func TestTooManyEvents(t *testing.T) {
	c := New(MaxEvents(1))
	c.Record(Event{Kind: WorkerCapacity, Worker: "w"})
	c.Record(Event{Kind: WorkerCapacity, Worker: "w"})
	is.New(t).Equal(c.Check().Error(), "run: has 1 events too many to be judged")
}
