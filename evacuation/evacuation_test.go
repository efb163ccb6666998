package evacuation

import (
	"bytes"
	"fmt"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/matryer/is"

	"turmericgap/standin/golden"
	"turmericgap/worker"
)

const ms = time.Millisecond

// Guards against losing a run with its worker, and against stopping one that ends in time: the table holds the decision
// on each kind of run, by the time left.
func TestDecide(t *testing.T) {
	saves := Run{Step: 1, Sent: true, Saves: true, Worked: 4 * time.Second, Unsaved: 400 * ms, Useful: true, Remaining: Remaining{8 * time.Second, 10 * time.Second, true}}
	change := func(r Run, f func(r *Run)) Run { f(&r); return r }
	rest := func(r Run, least, most time.Duration) Run {
		r.Remaining = Remaining{least, most, true}
		return r
	}
	plain := change(saves, func(r *Run) { r.Saves, r.Unsaved = false, r.Worked })
	gang := func(r Run) Run { return change(r, func(r *Run) { r.Gang, r.Tasks = true, 20 }) }
	service := change(plain, func(r *Run) { r.Service, r.MaxUnavailable = true, 2 })
	var out bytes.Buffer
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "runs\t4s left\t1.5s left\t900ms left\t100ms left\tover")
	for _, c := range []struct {
		name string
		runs []Run
	}{
		{"saves, ends long after", []Run{saves}},
		{"saves, unknown rest", []Run{change(saves, func(r *Run) { r.Remaining = Remaining{} })}},
		{"saves, ends in 600 to 800 ms", []Run{rest(saves, 600*ms, 800*ms)}},
		{"saves, ends in 600 to 1,600 ms", []Run{rest(saves, 600*ms, 1600*ms)}},
		{"saves, not sent", []Run{change(saves, func(r *Run) { r.Sent, r.Worked, r.Unsaved = false, 0, 0 })}},
		{"saves nothing, ends long after", []Run{plain}},
		{"saves nothing, unknown rest", []Run{change(plain, func(r *Run) { r.Remaining = Remaining{} })}},
		{"saves nothing, ends in 600 to 800 ms", []Run{rest(plain, 600*ms, 800*ms)}},
		{"saves nothing, ends in 1 to 6 s", []Run{rest(plain, time.Second, 6*time.Second)}},
		{"saves nothing, of no use any more", []Run{change(plain, func(r *Run) { r.Useful = false })}},
		{"saves nothing, not sent", []Run{change(plain, func(r *Run) { r.Sent, r.Worked = false, 0 })}},
		{"gang, ends long after", []Run{gang(saves), gang(saves)}},
		{"gang, saves nothing", []Run{gang(plain)}},
		{"gang, one member's rest unknown", []Run{change(gang(saves), func(r *Run) { r.Remaining = Remaining{} }), gang(saves)}},
		{"gang, may end in time", []Run{rest(gang(saves), 600*ms, 1600*ms), rest(gang(saves), 500*ms, 700*ms)}},
		{"services, two may be away", []Run{service, service, service}},
		{"services, one is away", []Run{change(service, func(r *Run) { r.Unavailable = 1 }), service}},
		{"services without a limit", []Run{change(service, func(r *Run) { r.MaxUnavailable = 0 }), service}},
		{"a service that is a gang of 20", []Run{gang(service), gang(service)}},
		{"and may be away as a whole", []Run{change(gang(service), func(r *Run) { r.MaxUnavailable = 20 })}},
		{"services of two steps", []Run{service, service, change(service, func(r *Run) { r.Step = 2 })}},
	} {
		fmt.Fprint(w, c.name)
		for _, left := range []time.Duration{4 * time.Second, 1500 * ms, 900 * ms, 100 * ms, -time.Second} {
			n := Notice{TimeLeft: left, Bounds: Bounds{StopTime: 200 * ms, CheckpointPeriod: time.Second, RestoreTime: 250 * ms}}
			fmt.Fprint(w, "\t")
			for _, d := range Decide(&n, c.runs) {
				fmt.Fprint(w, d.Action, " ")
				if d.Action == MoveLater {
					fmt.Fprint(w, d.After, " ")
				}
			}
		}
		fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "testdata/decide.golden", out.Bytes())
}

// Guards against a wrong rest of a run: from a caller's estimate that is far off, from the progress of a checkpoint that
// the run resumes, and from the time that a gang member waits.
func TestRemaining(t *testing.T) {
	start := time.Unix(1000, 0)
	type report struct {
		at      time.Duration
		percent int
	}
	for _, c := range []struct {
		name              string
		resumes, gang, by bool // by a former owner
		reports           []report
		least, most       time.Duration
		known             bool
	}{
		{"the estimate only", false, false, false, nil, 2 * time.Second, 23 * time.Second, true},
		{"too little progress", false, false, false, []report{{2 * time.Second, 9}}, 2 * time.Second, 23 * time.Second, true},
		{"half done", false, false, false, []report{{time.Second, 25}, {2 * time.Second, 50}}, 1818 * ms, 2200 * ms, true},
		{"resumes at 60", true, false, false, []report{{100 * ms, 60}, {200 * ms, 0}, {500 * ms, 60}, {2 * time.Second, 75}}, 2083 * ms, 3 * time.Second, true},
		{"resumes, nothing reported", true, false, false, nil, 0, 23 * time.Second, true},
		{"waits for its gang", false, true, false, []report{{500 * ms, 0}, {time.Second, 10}, {2 * time.Second, 30}}, 3043 * ms, 4025 * ms, true},
		{"a former owner's", false, false, true, []report{{time.Second, 40}}, 0, 0, false},
		{"a former owner's, later", false, false, true, []report{{time.Second, 40}, {2 * time.Second, 60}}, 1739 * ms, 2300 * ms, true},
	} {
		var p Progress
		if !c.by {
			p.Begin(c.resumes, c.gang, start)
		}
		for _, r := range c.reports {
			p.Observe(r.percent, "", start.Add(r.at))
		}
		got := p.Input(10*time.Second, start.Add(2*time.Second)).Remaining
		if got.Min.Round(ms) != c.least || got.Max.Round(ms) != c.most || got.Known != c.known {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}

// Guards against counting work as lost that a checkpoint has saved, or that was stopped for another reason.
func TestOutcome(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	end := func(action Action, how worker.RunOutcome, gangDone bool, checkpoint string) (Outcome, time.Duration) {
		var r Record
		r.Begin(false, false, start)
		r.Observe(30, "first", start.Add(2*time.Second))
		in := r.Input(0, start.Add(3*time.Second))
		in.Saves = true
		r.Decide(&Notice{}, &in, Decision{Action: action})
		r.End(how, gangDone, checkpoint)
		return r.Outcome, r.LostWork
	}
	for _, c := range []struct {
		action     Action
		how        worker.RunOutcome
		gangDone   bool
		checkpoint string
		want       Outcome
		lost       time.Duration
	}{
		{Move, worker.OutcomeStopped, false, "second", Moved, 0},
		{Move, worker.OutcomeGangBroken, false, "first", Moved, time.Second},
		{Move, worker.OutcomeDone, false, "", Stayed, 0},
		{Move, worker.OutcomeLeaseExpired, false, "", Lost, time.Second},
		{Stay, worker.OutcomeLeaseExpired, true, "", Stayed, 0},
		{Stay, worker.OutcomeDone, false, "", Stayed, 0},
		{MoveLater, worker.OutcomeStopped, false, "", "", 0},
		{"", worker.OutcomeDone, false, "", "", 0},
	} {
		outcome, lost := end(c.action, c.how, c.gangDone, c.checkpoint)
		is.Equal(outcome, c.want)
		is.Equal(lost, c.lost)
	}
}

// Guards against a wrong time left: an entry is seen after it was written, and a later one shows a new value.
func TestTimeLeft(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var a Announcement
	a.Update(true, 0, time.Minute, now)
	is.True(!a.Announced()) // no time left is announced
	a.Update(true, 5*time.Second, time.Minute, now)
	is.Equal(a.TimeLeft(0, time.Time{}, now), 4700*ms)                     // its clock is not known
	is.Equal(a.TimeLeft(time.Minute+100*ms, now, now), 4900*ms)            // written 100 ms ago
	is.Equal(a.TimeLeft(time.Minute-time.Second, now, now), 5*time.Second) // not written in the future
	a.Update(true, 5*time.Second, time.Minute, now.Add(time.Second))
	is.Equal(a.TimeLeft(0, time.Time{}, now.Add(time.Second)), 3700*ms) // the same entry
	a.Update(true, 0, time.Minute+5*time.Second, now.Add(5*time.Second))
	is.True(a.Announced() && a.TimeLeft(time.Minute+5*time.Second, now.Add(5*time.Second), now.Add(5*time.Second)) == 0)
	a.Update(false, 0, time.Minute+6*time.Second, now)
	is.True(!a.Announced())
}
