package preemption

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
)

type (
	testRun    = Run[int]
	testWorker = Worker[int, int]
)

// chosen is a choice with the indices of its worker and runs.
type chosen struct {
	worker int
	runs   []int
	lost   float64
}

func cores(n int64) job.Resources { return job.Resources{Millicores: 1000 * n} }

// batch returns a task of four cores that saves its progress and has run for a second.
func batch(change func(r *testRun)) testRun {
	r := testRun{Needs: cores(4), Priority: 2, Saves: true, Age: time.Second, Slack: 10 * time.Second}
	change(&r)
	return r
}

func unchanged(*testRun) {}

// Guards against stopping a task that must not be stopped, one whose stop does not help, and more or costlier ones than
// needed.
func TestChoose(t *testing.T) {
	young := func(r *testRun) { r.Saves, r.Age = false, 100*time.Millisecond }
	for name, c := range map[string]struct {
		workers []testWorker
		tasks   int
		want    []chosen
	}{
		"task that saves its progress":     {[]testWorker{{Runs: []testRun{batch(unchanged)}}}, 1, []chosen{{worker: 0, runs: []int{0}, lost: 2}}},
		"task that has done little work":   {[]testWorker{{Runs: []testRun{batch(young)}}}, 1, []chosen{{worker: 0, runs: []int{0}, lost: 0.4}}},
		"task with unsaved work":           {[]testWorker{{Runs: []testRun{batch(func(r *testRun) { r.Saves = false })}}}, 1, nil},
		"gang":                             {[]testWorker{{Runs: []testRun{batch(func(r *testRun) { r.Gang = true })}}}, 1, nil},
		"service":                          {[]testWorker{{Runs: []testRun{batch(func(r *testRun) { r.Service = true })}}}, 1, nil},
		"equal priority":                   {[]testWorker{{Runs: []testRun{batch(func(r *testRun) { r.Priority = 0 })}}}, 1, nil},
		"higher priority":                  {[]testWorker{{Runs: []testRun{batch(func(r *testRun) { r.Priority = -1 })}}}, 1, nil},
		"too small":                        {[]testWorker{{Runs: []testRun{batch(func(r *testRun) { r.Needs = cores(3) })}}}, 1, nil},
		"worker whose capacity has shrunk": {[]testWorker{{Free: cores(-1), Runs: []testRun{batch(unchanged)}}}, 1, nil},
		"capacity that is free already":    {[]testWorker{{Free: cores(4), Runs: []testRun{batch(unchanged)}}}, 1, nil},
		"least work lost": {
			[]testWorker{{Runs: []testRun{batch(unchanged)}}, {Runs: []testRun{batch(unchanged), batch(young)}}},
			1,
			[]chosen{{worker: 1, runs: []int{1}, lost: 0.4}},
		},
		"then most slack": {
			[]testWorker{{Runs: []testRun{batch(unchanged)}}, {Runs: []testRun{batch(func(r *testRun) { r.Slack = time.Minute })}}},
			1,
			[]chosen{{worker: 1, runs: []int{0}, lost: 2}},
		},
		"several small ones": {
			[]testWorker{{Free: cores(1), Runs: []testRun{
				batch(func(r *testRun) { r.Needs = cores(2) }), batch(func(r *testRun) { r.Needs = cores(1) }), batch(func(r *testRun) { r.Needs = cores(2) }),
			}}},
			1,
			[]chosen{{worker: 0, runs: []int{0, 1}, lost: 1.5}},
		},
		"a small one that is not needed": {
			[]testWorker{{Runs: []testRun{batch(func(r *testRun) { r.Needs = cores(1) }), batch(unchanged)}}},
			1,
			[]chosen{{worker: 0, runs: []int{1}, lost: 2}},
		},
		"one on each worker": {
			[]testWorker{{Runs: []testRun{batch(unchanged), batch(unchanged)}}, {Runs: []testRun{batch(young)}}},
			3,
			[]chosen{{worker: 1, runs: []int{0}, lost: 0.4}, {worker: 0, runs: []int{0}, lost: 2}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i := range c.workers {
				c.workers[i].Ref = i
				for k := range c.workers[i].Runs {
					c.workers[i].Runs[k].Ref = k
				}
			}
			var got []chosen
			for _, choice := range Choose(new(Preemptor), time.Unix(1000, 0), 1000, cores(4), 0, c.tasks, c.workers) {
				var runs []int
				for _, r := range choice.Runs {
					runs = append(runs, r.Ref)
				}
				slices.Sort(runs)
				got = append(got, chosen{choice.Worker, runs, choice.Lost})
			}
			is.Equal(got, c.want)
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
		for _, c := range Choose(&p, now, 100, cores(4), 0, 1, []testWorker{{Runs: []testRun{batch(unchanged)}}}) {
			lost += c.Lost
		}
		now = now.Add(100 * time.Millisecond)
	}
	is.True(lost <= 3*maxLossShare*100*lossWindow.Seconds())
	is.True(lost >= 2*maxLossShare*100*lossWindow.Seconds())
}

// Guards against stopping others for a task that may still find capacity, for one that is late in any case, and beyond the
// bound of lost work.
func TestIsDue(t *testing.T) {
	is := is.New(t)
	const stop = 200 * time.Millisecond
	var p Preemptor
	now := time.Unix(1000, 0)
	is.True(!p.IsDue(now, 100, time.Second, stop))
	is.True(p.IsDue(now, 100, 500*time.Millisecond, stop))
	is.True(!p.IsDue(now, 100, 100*time.Millisecond, stop))
	p.losses = []loss{{now, 20}}
	is.True(!p.IsDue(now, 100, 500*time.Millisecond, stop))
	is.True(p.IsDue(now.Add(lossWindow+time.Second), 100, 500*time.Millisecond, stop))
}
