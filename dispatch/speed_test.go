package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/feature"
	"turmericgap/job"
	"turmericgap/speed"
)

// lookupCount and gangCount are how many works of these queues are submitted.
const lookupCount, gangCount = 1200, 36

// replayUnlikeWorkers replays lookups, batches and gangs on workers of which each third is of another speed, and returns
// how many works of each queue were in time.
func replayUnlikeWorkers(t *testing.T, mode string, factors [3]float64) (inTime map[string]int) {
	choices, err := feature.Parse([]string{"speed=" + mode})
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		r := newReplay(t.Context(), 6, allowTwoInFive, Features(choices, false))
		r.addWorkers(45)
		r.factorOf = func(id string) float64 {
			var i int
			if _, err := fmt.Sscanf(id, "w%04d", &i); err != nil {
				t.Fatal(err)
			}
			return factors[i/3%3]
		}
		l := &workload{rand.New(rand.NewPCG(3, 3)), r}
		for i := range lookupCount {
			runs := time.Duration(l.sample(540, 0.5, 1600)) * time.Millisecond
			w := l.newWork("lookup", i, nil, job.Step{Tasks: 3, Estimate: l.estimate(runs), TaskResources: job.Resources{Millicores: 2500, MemoryMB: 700}})
			w.Queue.SlackFactor, w.Queue.Objective = 1.5, 100*time.Millisecond
			r.submitAt(time.Duration(i)*30*time.Millisecond, w, runs)
		}
		for i := range 120 {
			runs := time.Duration(l.sample(1900, 0.5, 6000)) * time.Millisecond
			w := l.newWork("batch", i, nil, job.Step{Tasks: 12, Estimate: l.estimate(runs), TaskResources: job.Resources{Millicores: 1700, MemoryMB: 400}})
			w.Queue.SlackFactor, w.Queue.Objective, w.Queue.Priority = 4, 3*time.Second, 2
			r.submitAt(time.Duration(i)*300*time.Millisecond+7*time.Millisecond, w, runs)
		}
		for i := range gangCount {
			runs := time.Duration(l.sample(5300, 0.3, 9000)) * time.Millisecond
			w := l.newWork("gang", i, nil, job.Step{Tasks: 8, Gang: true, Estimate: runs, TaskResources: job.Resources{Millicores: 4500, MemoryMB: 400}})
			w.Queue.Priority, w.Queue.SlackFactor = 1, 1.4
			r.submitAt(time.Duration(i)*time.Second+13*time.Millisecond, w, runs)
		}
		r.run(60 * time.Second)
		inTime = r.inTime
	})
	return inTime
}

// estimate returns an estimate of a run time that is up to a third off.
func (l *workload) estimate(runs time.Duration) time.Duration {
	return time.Duration((0.8 + 0.5*l.random.Float64()) * float64(runs))
}

// Guards against lookups that are late because they run on slow workers, and against gangs that run at the pace of one
// slow member, while tasks with more slack take the fast workers.
func TestUnlikeWorkers(t *testing.T) {
	is := is.New(t)
	thirds := [3]float64{0.6, 1, 1.6}
	off, on := replayUnlikeWorkers(t, "off", thirds), replayUnlikeWorkers(t, "auto", thirds)
	t.Log("in time without and with placing by speed:", off, on)
	is.True(lookupCount-on["lookup"] <= (lookupCount-off["lookup"])*2/3) // a third fewer are late
	is.True(gangCount-on["gang"] <= (gangCount-off["gang"])*2/3)
	is.True(on["batch"] >= off["batch"]-1)
}

// Guards against other decisions on workers of like speed.
func TestLikeWorkersArePlacedAsBefore(t *testing.T) {
	is := is.New(t)
	like := [3]float64{0.9, 1, 1.1}
	is.Equal(replayUnlikeWorkers(t, "auto", like), replayUnlikeWorkers(t, "off", like))
}

// Guards against tasks of unknown run time that take slow workers first, as if they had any slack, and against services
// that hold fast workers until they are cancelled.
func TestPrefersSlowWorkers(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tm := &term{speeds: speed.New(), placesBySpeed: true, slowest: 2}
	prefers := func(step job.Step, objective time.Duration) bool {
		step.Tasks = 1
		s := newTestStage(&job.Work{Queue: job.Queue{Name: "q", Objective: objective}, Steps: []job.Step{step}, Accepted: now})
		return tm.prefersSlow(s, now)
	}
	is.True(prefers(job.Step{Estimate: time.Second}, 10*time.Second))
	is.True(!prefers(job.Step{Estimate: time.Second}, 2*time.Second)) // late at 1.65 times its run time with the margin
	is.True(prefers(job.Step{Estimate: time.Second}, -time.Second))   // late anywhere
	is.True(!prefers(job.Step{}, 10*time.Second))
	is.True(!prefers(job.Step{Estimate: time.Second, Gang: true}, 10*time.Second))
	is.True(prefers(job.Step{Service: true, Estimate: time.Second}, 2*time.Second))
	for range 20 {
		tm.speeds.ObserveGang("q/", 1, 0, time.Second, now)
	}
	is.True(prefers(job.Step{}, 10*time.Second))
	is.True(!prefers(job.Step{}, 2*time.Second))
	tm.placesBySpeed = false
	is.True(!prefers(job.Step{Estimate: time.Second}, 10*time.Second))
}
