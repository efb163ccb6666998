package preemption

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
)

func cores(n int64) job.Resources { return job.Resources{Millicores: 1000 * n} }

// batch returns a task of four cores that saves its progress and has run for a second.
func batch(change func(r *Run)) Run {
	r := Run{Needs: cores(4), Priority: 2, Saves: true, Age: time.Second, Slack: 10 * time.Second}
	change(&r)
	return r
}

func unchanged(*Run) {}

// Guards against stopping a task that must not be stopped, one whose stop does not help, and more or costlier ones than
// needed.
func TestChoose(t *testing.T) {
	young := func(r *Run) { r.Saves, r.Age = false, 100*time.Millisecond }
	for name, c := range map[string]struct {
		workers []Worker
		tasks   int
		want    []Choice
	}{
		"task that saves its progress":     {[]Worker{{Runs: []Run{batch(unchanged)}}}, 1, []Choice{{Worker: 0, Runs: []int{0}, Lost: 2}}},
		"task that has done little work":   {[]Worker{{Runs: []Run{batch(young)}}}, 1, []Choice{{Worker: 0, Runs: []int{0}, Lost: 0.4}}},
		"task with unsaved work":           {[]Worker{{Runs: []Run{batch(func(r *Run) { r.Saves = false })}}}, 1, nil},
		"gang":                             {[]Worker{{Runs: []Run{batch(func(r *Run) { r.Gang = true })}}}, 1, nil},
		"service":                          {[]Worker{{Runs: []Run{batch(func(r *Run) { r.Service = true })}}}, 1, nil},
		"equal priority":                   {[]Worker{{Runs: []Run{batch(func(r *Run) { r.Priority = 0 })}}}, 1, nil},
		"higher priority":                  {[]Worker{{Runs: []Run{batch(func(r *Run) { r.Priority = -1 })}}}, 1, nil},
		"too small":                        {[]Worker{{Runs: []Run{batch(func(r *Run) { r.Needs = cores(3) })}}}, 1, nil},
		"worker whose capacity has shrunk": {[]Worker{{Free: cores(-1), Runs: []Run{batch(unchanged)}}}, 1, nil},
		"capacity that is free already":    {[]Worker{{Free: cores(4), Runs: []Run{batch(unchanged)}}}, 1, nil},
		"least work lost": {
			[]Worker{{Runs: []Run{batch(unchanged)}}, {Runs: []Run{batch(unchanged), batch(young)}}},
			1,
			[]Choice{{Worker: 1, Runs: []int{1}, Lost: 0.4}},
		},
		"then most slack": {
			[]Worker{{Runs: []Run{batch(unchanged)}}, {Runs: []Run{batch(func(r *Run) { r.Slack = time.Minute })}}},
			1,
			[]Choice{{Worker: 1, Runs: []int{0}, Lost: 2, slack: time.Minute}},
		},
		"several small ones": {
			[]Worker{{Free: cores(1), Runs: []Run{
				batch(func(r *Run) { r.Needs = cores(2) }), batch(func(r *Run) { r.Needs = cores(1) }), batch(func(r *Run) { r.Needs = cores(2) }),
			}}},
			1,
			[]Choice{{Worker: 0, Runs: []int{0, 1}, Lost: 1.5}},
		},
		"a small one that is not needed": {
			[]Worker{{Runs: []Run{batch(func(r *Run) { r.Needs = cores(1) }), batch(unchanged)}}},
			1,
			[]Choice{{Worker: 0, Runs: []int{1}, Lost: 2}},
		},
		"one on each worker": {
			[]Worker{{Runs: []Run{batch(unchanged), batch(unchanged)}}, {Runs: []Run{batch(young)}}},
			3,
			[]Choice{{Worker: 1, Runs: []int{0}, Lost: 0.4}, {Worker: 0, Runs: []int{0}, Lost: 2}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := new(Preemptor).Choose(time.Unix(1000, 0), 1000, cores(4), 0, c.tasks, c.workers)
			is.Equal(len(got), len(c.want))
			for i := range got {
				is.Equal(got[i].Worker, c.want[i].Worker)
				is.Equal(got[i].Runs, c.want[i].Runs)
				is.Equal(got[i].Lost, c.want[i].Lost)
			}
		})
	}
}

// Guards against urgent tasks that discard more than a small part of the cell's work.
func TestLossIsBounded(t *testing.T) {
	is := is.New(t)
	var p Preemptor
	lost := 0.0
	now := time.Unix(1000, 0)
	for range 300 { // three times the window
		for _, c := range p.Choose(now, 100, cores(4), 0, 1, []Worker{{Runs: []Run{batch(unchanged)}}}) {
			lost += c.Lost
		}
		now = now.Add(100 * time.Millisecond)
	}
	is.True(lost <= 3*maxLossShare*100*lossWindow.Seconds())
	is.True(lost >= 2*maxLossShare*100*lossWindow.Seconds())
}

// Guards against stopping others for a task that may still find capacity, and for one that is late in any case.
func TestIsDue(t *testing.T) {
	is := is.New(t)
	const stop = 200 * time.Millisecond
	is.True(!IsDue(time.Second, stop))
	is.True(IsDue(500*time.Millisecond, stop))
	is.True(!IsDue(100*time.Millisecond, stop))
}
