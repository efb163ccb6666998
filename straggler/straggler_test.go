package straggler

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/speed"
)

// Guards against copies that cannot help: of runs that are slow because of their worker, of runs about to end, and of
// kinds of which too little is known.
func TestChoose(t *testing.T) {
	base := Run{Elapsed: 4 * time.Second, Typical: 2 * time.Second, Tail: 3 * time.Second, Factor: 1, CopyFactor: 1, Millicores: 1000}
	change := func(f func(r *Run)) Run {
		r := base
		f(&r)
		return r
	}
	for _, c := range []struct {
		name string
		cell Cell
		runs []Run
		want []int
	}{
		{"a straggler", Cell{100_000, 0}, []Run{base}, []int{0}},
		{"within the tail", Cell{100_000, 0}, []Run{change(func(r *Run) { r.Elapsed = r.Tail })}, nil},
		{"on a slow worker", Cell{100_000, 0}, []Run{change(func(r *Run) { r.Factor = 1.6 })}, nil},
		{"a copy would be slow", Cell{100_000, 0}, []Run{change(func(r *Run) { r.CopyFactor = 2 })}, nil},
		{"unknown kind", Cell{100_000, 0}, []Run{change(func(r *Run) { r.Typical, r.Tail = 0, 0 })}, nil},
		{"about to end", Cell{100_000, 0}, []Run{change(func(r *Run) { r.Progressed, r.Remaining = true, 2*time.Second })}, nil},
		{"most gain first", Cell{100_000, 0}, []Run{base, change(func(r *Run) { r.Elapsed *= 2 })}, []int{1, 0}},
		{"the share of copies is used up", Cell{100_000, 1500}, []Run{base}, nil},
		{"one does not fit", Cell{100_000, 0}, []Run{change(func(r *Run) { r.Elapsed *= 2; r.Millicores = 2500 }), base, base, base}, []int{1, 2}},
	} {
		if got := Choose(c.cell, c.runs); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// replay runs steps of 25 tasks of 2 s on workers of three speeds and returns the 0.9 quantile of the steps' times, and
// the share of the core-time that copies used, in a cell with room for all of them. A run in 33 takes seven times as long if
// tail is set.
func replay(copies, tail bool) (slowSteps time.Duration, share float64) {
	const steps, tasks, tick = 400, 25, 100 * time.Millisecond
	r := rand.New(rand.NewPCG(1, 2))
	stats, factors := speed.New(), []float64{0.6, 1, 1.6}
	now := time.Unix(1000, 0)
	workers := []string{"fast", "typical", "slow"}
	draw := func(worker int) time.Duration {
		d := 2 * math.Exp(0.1*r.NormFloat64()) * factors[worker]
		if tail && r.IntN(33) == 0 {
			d *= 7
		}
		return time.Duration(d * float64(time.Second))
	}
	var took []time.Duration
	var used, copied time.Duration
	for range steps {
		var longest time.Duration
		var step speed.Step
		for range tasks {
			w := r.IntN(len(workers))
			end := draw(w)
			ran := end
			run := Run{Factor: stats.Factor(workers[w]), CopyFactor: 1, Millicores: 1000}
			run.Typical, _ = stats.Typical("batch")
			run.Tail, _ = stats.Quantile("batch", TailQuantile)
			for at := tick; copies && at < end; at += tick {
				if run.Elapsed = at; len(Choose(Cell{Millicores: 100_000}, []Run{run})) > 0 {
					again := draw(1)
					copied += max(min(end-at-startTime, again), 0)
					if at+startTime+again < end {
						w, ran, end = 1, again, at+startTime+again
					}
					break
				}
			}
			used += end
			longest = max(longest, end)
			now = now.Add(10 * time.Millisecond)
			stats.Observe(workers[w], "batch", &step, ran, ran, now)
		}
		took = append(took, longest)
	}
	slices.Sort(took)
	return took[len(took)*9/10], copied.Seconds() / (used + copied).Seconds()
}

// Guards against steps that wait for one task of the tail, and against copies where there is no tail: it replays steps of
// lspsfg-sched, on workers of three speeds with and without the tail of run times.
func TestTailIsCut(t *testing.T) {
	is := is.New(t)
	before, _ := replay(false, true)
	after, share := replay(true, true)
	t.Logf("0.9 quantile of steps with a tail: %v without copies, %v with them; share of copies %.3f", before, after, share)
	is.True(after < before*2/3)
	_, share = replay(true, false)
	t.Logf("share of copies without a tail: %.3f", share)
	is.True(share < 0.02)
}
