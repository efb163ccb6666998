package dispatch

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"turmericgap/job"
	"turmericgap/permit"
	"turmericgap/standin/golden"
)

// checkCost, batchCost and rosterCost are what questions of the three kinds of work cost.
var (
	checkCost  = job.PermitCost{Base: 17 * time.Millisecond, PerWorker: 240 * time.Microsecond}
	batchCost  = job.PermitCost{Base: 180 * time.Millisecond, PerWorker: 2600 * time.Microsecond}
	rosterCost = job.PermitCost{Base: 500 * time.Millisecond, PerWorker: 7300 * time.Microsecond}
)

// load makes works like those of callers: a few very wide, most of them narrow.
type load struct {
	random *rand.Rand
	replay *replay
}

func (l *load) vary(mean, spread, most float64) float64 {
	return min(mean*math.Exp(spread*l.random.NormFloat64()-spread*spread/2), most)
}

func (l *load) work(kind string, i int, cost *job.PermitCost, step job.Step) *job.Work {
	q := job.Queue{Name: kind, Pool: "p", MaxAttempts: 3, SlackFactor: 2.2, TargetDuration: time.Second, Permit: cost}
	return &job.Work{ID: fmt.Sprintf("%s%03d", kind, i), Zone: fmt.Sprint("z", i%3), Queue: q, Steps: []job.Step{step}}
}

func (l *load) checks(n int, every time.Duration) {
	for i := range n {
		runs := time.Duration(l.vary(640, 0.5, 1600)) * time.Millisecond
		w := l.work("check", i, &checkCost, job.Step{
			Tasks: max(1, int(l.vary(3, 0.8, 12))), Gang: i%4 == 0, SameRack: i%8 == 0, Estimate: runs,
			TaskResources: job.Resources{Millicores: int64(l.vary(3900, 0.4, 9000)), MemoryMB: 700},
		})
		l.replay.submitAt(time.Duration(i)*every, w, runs)
	}
}

func (l *load) batches(n int, every time.Duration, cost *job.PermitCost) {
	for i := range n {
		runs := time.Duration(l.vary(2700, 0.5, 6000)) * time.Millisecond
		step := job.Step{Tasks: max(2, int(l.vary(14, 0.6, 40))), Estimate: runs, TaskResources: job.Resources{Millicores: int64(l.vary(2800, 0.4, 6000)), MemoryMB: 400}}
		switch i % 4 {
		case 0:
			step.MaxPerWorker = 2
		case 1:
			step.DataRack = "r1"
		}
		w := l.work("batch", i, cost, step)
		second := step
		second.DependsOn, second.Tasks = []int{0}, 3
		w.Queue.Priority, w.Steps = 2, append(w.Steps, second)
		l.replay.submitAt(time.Duration(i)*every+7*time.Millisecond, w, runs)
	}
}

func (l *load) rosters(n int, every time.Duration) {
	for i := range n {
		runs := time.Duration(l.vary(4000, 0.5, 9000)) * time.Millisecond
		w := l.work("roster", i, &rosterCost, job.Step{
			Tasks: max(2, int(l.vary(9, 0.8, 30))), Gang: true, Estimate: runs, TaskResources: job.Resources{Millicores: 4000, MemoryMB: 900},
		})
		w.Queue.Priority = 1
		l.replay.submitAt(time.Duration(i)*every+13*time.Millisecond, w, runs)
	}
}

// allow lets each step run on two workers in five, after what the question costs.
func allow(q *permit.Request) ([]string, time.Duration) {
	var names []string
	for _, id := range q.Workers {
		h := fnv.New32a()
		fmt.Fprint(h, q.Work, q.Step, id)
		if h.Sum32()%5 < 2 {
			names = append(names, id)
		}
	}
	cost := map[byte]*job.PermitCost{'c': &checkCost, 'b': &batchCost, 'r': &rosterCost}[q.Work[0]]
	return names, cost.Base + time.Duration(len(q.Workers))*cost.PerWorker
}

// cell adds so many workers in three zones, five a rack.
func (r *replay) cell(workers int) {
	for i := range workers {
		r.worker(fmt.Sprintf("w%04d", i), fmt.Sprint("z", i%3), fmt.Sprint("r", i/5), job.Resources{Millicores: 16000, MemoryMB: 32000})
	}
}

// How decisions are worked out may change; what is decided may not, or no figure that was measured before
// would hold: which task starts when and where, over three loads of a small cell, two of them heavier than it bears.
func TestDecisionsStay(t *testing.T) {
	for name, hand := range map[string]func(*load){
		"checks": func(l *load) { l.checks(250, 47*time.Millisecond) },
		"batches": func(l *load) {
			l.batches(20, 290*time.Millisecond, nil)
			l.checks(60, 113*time.Millisecond)
		},
		"mixed": func(l *load) {
			l.checks(100, 61*time.Millisecond)
			l.batches(20, 300*time.Millisecond, &batchCost)
			l.rosters(20, 310*time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newReplay(t.Context(), 6, allow)
				r.cell(18)
				hand(&load{rand.New(rand.NewPCG(7, 7)), r})
				r.run(25 * time.Second)
				golden.Equal(t, "testdata/decisions/"+name+".golden", r.decisions.Bytes())
			})
		})
	}
}
