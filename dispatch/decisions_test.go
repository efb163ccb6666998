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

// checkCost, batchCost and rosterCost are how long permit requests take for the three kinds of work.
var (
	checkCost  = job.PermitCost{Base: 17 * time.Millisecond, PerWorker: 240 * time.Microsecond}
	batchCost  = job.PermitCost{Base: 180 * time.Millisecond, PerWorker: 2600 * time.Microsecond}
	rosterCost = job.PermitCost{Base: 500 * time.Millisecond, PerWorker: 7300 * time.Microsecond}
)

// workload generates works with log-normal sizes: most of them narrow, a few very wide.
type workload struct {
	random *rand.Rand
	replay *replay
}

// sample returns a log-normal value with that mean, at most limit.
func (l *workload) sample(mean, sigma, limit float64) float64 {
	return min(mean*math.Exp(sigma*l.random.NormFloat64()-sigma*sigma/2), limit)
}

func (l *workload) newWork(kind string, i int, cost *job.PermitCost, step job.Step) *job.Work {
	q := job.Queue{Name: kind, Pool: "p", MaxAttempts: 3, SlackFactor: 2.2, Objective: time.Second, Permit: cost}
	return &job.Work{ID: fmt.Sprintf("%s%03d", kind, i), Zone: fmt.Sprint("z", i%3), Queue: q, Steps: []job.Step{step}}
}

func (l *workload) submitChecks(n int, interval time.Duration) {
	for i := range n {
		runs := time.Duration(l.sample(640, 0.5, 1600)) * time.Millisecond
		w := l.newWork("check", i, &checkCost, job.Step{
			Tasks: max(1, int(l.sample(3, 0.8, 12))), Gang: i%4 == 0, SameRack: i%8 == 0, Estimate: runs,
			TaskResources: job.Resources{Millicores: int64(l.sample(3900, 0.4, 9000)), MemoryMB: 700},
		})
		l.replay.submitAt(time.Duration(i)*interval, w, runs)
	}
}

func (l *workload) submitBatches(n int, interval time.Duration, cost *job.PermitCost) {
	for i := range n {
		runs := time.Duration(l.sample(2700, 0.5, 6000)) * time.Millisecond
		step := job.Step{Tasks: max(2, int(l.sample(14, 0.6, 40))), Estimate: runs, TaskResources: job.Resources{Millicores: int64(l.sample(2800, 0.4, 6000)), MemoryMB: 400}}
		switch i % 4 {
		case 0:
			step.MaxPerWorker = 2
		case 1:
			step.DataRack = "r1"
		}
		w := l.newWork("batch", i, cost, step)
		second := step
		second.DependsOn, second.Tasks = []int{0}, 3
		w.Queue.Priority, w.Steps = 2, append(w.Steps, second)
		l.replay.submitAt(time.Duration(i)*interval+7*time.Millisecond, w, runs)
	}
}

func (l *workload) submitRosters(n int, interval time.Duration) {
	for i := range n {
		runs := time.Duration(l.sample(4000, 0.5, 9000)) * time.Millisecond
		w := l.newWork("roster", i, &rosterCost, job.Step{
			Tasks: max(2, int(l.sample(9, 0.8, 30))), Gang: true, Estimate: runs, TaskResources: job.Resources{Millicores: 4000, MemoryMB: 900},
		})
		w.Queue.Priority = 1
		l.replay.submitAt(time.Duration(i)*interval+13*time.Millisecond, w, runs)
	}
}

// allowTwoInFive allows each step about two workers in five, after the time that the request costs.
func allowTwoInFive(req *permit.Request) ([]string, time.Duration) {
	var names []string
	for _, id := range req.Workers {
		h := fnv.New32a()
		fmt.Fprint(h, req.Work, req.Step, id)
		if h.Sum32()%5 < 2 {
			names = append(names, id)
		}
	}
	cost := map[byte]*job.PermitCost{'c': &checkCost, 'b': &batchCost, 'r': &rosterCost}[req.Work[0]]
	return names, cost.Base + time.Duration(len(req.Workers))*cost.PerWorker
}

// addWorkers adds workers in three zones, five per rack.
func (r *replay) addWorkers(workers int) {
	for i := range workers {
		r.addWorker(fmt.Sprintf("w%04d", i), fmt.Sprint("z", i%3), fmt.Sprint("r", i/5), job.Resources{Millicores: 16000, MemoryMB: 32000})
	}
}

// Guards against unintended changes of scheduling decisions, such as by an optimization: when and where each task
// starts must match the golden files, over three loads of a small cell, two of them above its capacity.
func TestDecisionsStay(t *testing.T) {
	for name, submitLoad := range map[string]func(*workload){
		"checks": func(l *workload) { l.submitChecks(250, 47*time.Millisecond) },
		"batches": func(l *workload) {
			l.submitBatches(20, 290*time.Millisecond, nil)
			l.submitChecks(60, 113*time.Millisecond)
		},
		"mixed": func(l *workload) {
			l.submitChecks(100, 61*time.Millisecond)
			l.submitBatches(20, 300*time.Millisecond, &batchCost)
			l.submitRosters(20, 310*time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newReplay(t.Context(), 6, allowTwoInFive)
				r.addWorkers(18)
				submitLoad(&workload{rand.New(rand.NewPCG(7, 7)), r})
				r.run(25 * time.Second)
				golden.Equal(t, "testdata/decisions/"+name+".golden", r.decisions.Bytes())
			})
		})
	}
}
