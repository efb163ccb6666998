package presence_test

import (
	"bytes"
	"cmp"
	"fmt"
	"testing"
	"text/tabwriter"
	"time"

	"turmericgap/presence"
	"turmericgap/standin/golden"
)

// Guards against ending a run that may still be on its worker or start there: the table holds the proof for each state
// of a run that its worker does not list.
func TestUnlisted(t *testing.T) {
	var out bytes.Buffer
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "confirmed\tuncertain\trecovered\tclock\tproof")
	const expires = 2 * time.Second
	for i := range 8 {
		r := presence.Run{Confirmed: i&4 > 0, Uncertain: i&2 > 0, Recovered: i&1 > 0, Expires: expires}
		for _, clock := range []time.Duration{expires - time.Millisecond, expires, expires + time.Millisecond} {
			proof, _ := r.Unlisted(clock, time.Time{})
			fmt.Fprintf(w, "%v\t%v\t%v\t%+v\t%s\n", r.Confirmed, r.Uncertain, r.Recovered, clock-expires, cmp.Or(proof, "none"))
		}
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "testdata/unlisted.golden", out.Bytes())
}

// Guards against ending the members of a gang on silent workers while a start may still be carried out.
func TestGangEnded(t *testing.T) {
	for i := range 4 {
		g := presence.Gang{Complete: i&2 > 0, Broken: i&1 > 0}
		if _, ended := g.Ended(); ended != (g == presence.Gang{Complete: true, Broken: true}) {
			t.Errorf("%+v: ended %v", g, ended)
		}
	}
}

// Guards against taking the progress of a checkpoint, which a gang member reports while it waits for the others, for work
// of the run.
func TestHasWorked(t *testing.T) {
	for _, c := range []struct {
		name            string
		resumed         bool
		before, percent int
		want            bool
	}{
		{"waits", false, 0, 0, false},
		{"works", false, 0, 1, true},
		{"reports a checkpoint's progress, first or after it was restored", true, 0, 40, false},
		{"reports it again", true, 40, 40, false},
		{"works after a checkpoint", true, 40, 41, true},
	} {
		r := presence.Run{Resumed: c.resumed}
		if got := r.HasWorked(c.before, c.percent); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// Guards against ending the runs of a worker whose entry was removed by the store: the table holds the proof for each
// state of such a worker.
func TestLeft(t *testing.T) {
	var out bytes.Buffer
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "leaving\twritten\tage\ttimeLeft\tcontact\tanswered\tproof")
	left := presence.Departure{Leaving: true, Written: time.Minute, Removed: time.Minute + time.Second, Contact: time.Minute}
	age := func(d time.Duration) func(*presence.Departure) {
		return func(p *presence.Departure) { p.Removed = p.Written + d }
	}
	for _, change := range []func(d *presence.Departure){
		func(*presence.Departure) {},
		func(d *presence.Departure) { d.Leaving = false },
		func(d *presence.Departure) { d.Answered = true },
		func(d *presence.Departure) { d.Written = 0 },
		func(d *presence.Departure) { d.Written, d.Removed = 0, time.Second },
		age(-100 * time.Millisecond), // the estimate of the clock is early
		age(2499 * time.Millisecond), age(2500 * time.Millisecond), age(time.Hour),
		func(d *presence.Departure) { d.TimeLeft = time.Second },
		func(d *presence.Departure) { d.TimeLeft = 1001 * time.Millisecond },
		func(d *presence.Departure) { d.Contact = 4500 * time.Millisecond },
		func(d *presence.Departure) { d.Contact = 4499 * time.Millisecond },
		func(d *presence.Departure) { d.Contact = 0 },
	} {
		d := left
		change(&d)
		proof, ok := d.Left()
		if !ok {
			proof = "none"
		}
		fmt.Fprintf(w, "%v\t%v\t%v\t%v\t%v\t%v\t%s\n", d.Leaving, d.Written, d.Removed-d.Written, d.TimeLeft, d.Contact, d.Answered, proof)
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "testdata/left.golden", out.Bytes())
}
