package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/feature"
	"turmericgap/job"
	"turmericgap/standin/floor"
	"turmericgap/store"
	"turmericgap/worker"
)

// choose switches optional parts for VMs that are started later.
func (c *cell) choose(choices ...string) {
	c.t.Helper()
	var err error
	if c.features, err = feature.Parse(choices); err != nil {
		c.t.Fatal(err)
	}
}

// announce makes a worker announce that it leaves, and leave when the time is over. It writes its entry each second.
func (c *cell) announce(w *floor.Worker, left time.Duration) {
	end := time.Now().Add(left)
	for left := left; left > 0; left = time.Until(end) {
		c.register(worker.ListedWorker{Info: withLeaving(w.Info()), Pool: pool, Clock: w.Clock(), TimeLeft: left})
		time.Sleep(min(left, time.Second))
	}
	time.Sleep(100 * time.Millisecond) // the time left is the least
	w.Crash(false)
	c.put(store.Op{Delete: true, Key: workersPrefix + w.Info().ID})
}

// evacuation is a cell in which a worker leaves, and its work.
type evacuation struct {
	*is.I
	*cell
	v *vm
	// leaving is the worker that leaves, others holds the other ones.
	leaving *floor.Worker
	others  []*floor.Worker
}

// newEvacuation starts a work of one step on workers of two cores. The work has run for two seconds when one of its
// workers announces that it leaves.
func newEvacuation(t *testing.T, workers int, s job.Step, b floor.Behaviour, notice time.Duration, vms ...string) *evacuation {
	return newEvacuationAfter(t, 2*time.Second, workers, s, b, notice, vms...)
}

// newEvacuationAfter is like newEvacuation for a work that has run for a given time.
func newEvacuationAfter(t *testing.T, age time.Duration, workers int, s job.Step, b floor.Behaviour, notice time.Duration, vms ...string) *evacuation {
	b.Ending, b.Resources = worker.OutcomeDone, job.Resources{Millicores: 1000, MemoryMB: 100}
	c := newCell(t, func(worker.Task, int64) floor.Behaviour { return b })
	c.config.Queues[0].Objective = time.Minute
	for _, id := range append(vms, "vm1") {
		c.startVM(id)
	}
	ws := c.addWorkers(workers, 2)
	e := &evacuation{I: is.New(t), cell: c, v: c.waitForOwner()}
	time.Sleep(5 * time.Second)
	c.submit(e.v, c.newWork("roster", s))
	time.Sleep(age)
	for _, w := range ws {
		if e.leaving == nil && w.ActiveRuns() > 0 {
			e.leaving = w
			continue
		}
		e.others = append(e.others, w)
	}
	go c.announce(e.leaving, notice)
	return e
}

// counts returns how many runs on the leaving worker have moved, stayed and were lost, as the owner counts them.
func (e *evacuation) counts() [3]int64 {
	var out [3]int64
	for i, outcome := range []string{"moved", "stayed", "lost"} {
		out[i] = e.v.metrics.Counter("dispatch.evacuated." + outcome).Count()
	}
	return out
}

// finish waits for the end of the work and returns its runs in the order of their starts.
func (e *evacuation) finish(within time.Duration) []floor.Run {
	e.t.Helper()
	e.waitForState(e.v, "roster", job.WorkCompleted, within)
	time.Sleep(2 * time.Second) // one member of a gang ends the work, and the others report their ends later
	e.checkHistory()
	return e.cluster.History()
}

// Guards against losing the progress of a task with its worker: its run works for as long as the notice allows, is
// stopped in time, and goes on elsewhere.
func TestLeavingWorkerTaskGoesOn(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := floor.Behaviour{Duration: 8 * time.Second, CheckpointInterval: checkpointInterval}
		e := newEvacuation(t, 2, job.Step{Tasks: 1, Checkpoints: true}, b, 3*time.Second)
		runs := e.finish(8 * time.Second)
		e.Equal(len(runs), 2)
		e.Equal(runs[0].Ending, worker.OutcomeStopped)
		e.True(!runs[0].Crashed)
		worked := runs[0].Ended.Sub(runs[0].Started)
		e.True(worked > 3500*time.Millisecond)
		e.True(runs[1].Started.Sub(runs[0].Ended) < 300*time.Millisecond)
		e.True(runs[1].Ended.Sub(runs[1].Started) <= b.Duration-worked+checkpointInterval)
		e.Equal(e.counts(), [3]int64{1, 0, 0})
	})
}

// Guards against stopping a run that ends before its worker leaves, whatever its caller has estimated.
func TestLeavingWorkerTaskEndsInTime(t *testing.T) {
	for name, s := range map[string]job.Step{
		"no estimate":             {Tasks: 1},
		"the estimate is too low": {Tasks: 1, Estimate: 500 * time.Millisecond, Checkpoints: true},
		"and too high":            {Tasks: 1, Estimate: 20 * time.Second},
		"a gang":                  {Tasks: 3, Estimate: 20 * time.Second, Gang: true, Checkpoints: true},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b := floor.Behaviour{Duration: 4 * time.Second, CheckpointInterval: checkpointInterval}
				if s.Gang {
					b.GangSize = s.Tasks
				}
				e := newEvacuation(t, 4, s, b, 3*time.Second)
				e.Equal(len(e.finish(3*time.Second)), s.Tasks)
				e.True(e.counts()[1] > 0)
				e.Equal(e.counts()[0], int64(0))
			})
		})
	}
}

// Guards against running on until the loss although nothing is saved and the run can't end in time: the task then starts
// over later than need be.
func TestLeavingWorkerTaskStartsOver(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		e := newEvacuation(t, 2, job.Step{Tasks: 1}, floor.Behaviour{Duration: 8 * time.Second}, 4*time.Second)
		time.Sleep(time.Second)
		e.Equal(e.others[0].ActiveRuns(), 1)
		e.Equal(len(e.finish(9*time.Second)), 2)
		e.Equal(e.counts(), [3]int64{1, 0, 0})
	})
}

// Guards against losing a gang with the worker of one member, and against stopping some of its members only.
func TestLeavingWorkerGangMovesWhole(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := floor.Behaviour{Duration: 10 * time.Second, CheckpointInterval: checkpointInterval, GangSize: 4}
		e := newEvacuation(t, 4, job.Step{Tasks: 4, Gang: true, Checkpoints: true}, b, 4*time.Second)
		runs := e.finish(9 * time.Second)
		e.Equal(len(runs), 8)
		for i, r := range runs {
			e.True(!r.Crashed)
			if i >= 4 {
				e.True(r.Worker != e.leaving.Info().ID)
				e.True(r.Ended.Sub(r.Started) < 6*time.Second)
			}
		}
		e.Equal(e.counts(), [3]int64{4, 0, 0})
	})
}

// Guards against losing a gang because too little is known of it during a short notice, as holds show its progress once a
// second.
func TestLeavingWorkerGangIsProbed(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := floor.Behaviour{Duration: 5 * time.Second, CheckpointInterval: checkpointInterval, GangSize: 4, StopTime: 200 * time.Millisecond}
		e := newEvacuationAfter(t, 300*time.Millisecond, 4, job.Step{Tasks: 4, Gang: true, Checkpoints: true}, b, 1800*time.Millisecond)
		e.Equal(len(e.finish(8*time.Second)), 8)
		e.Equal(e.counts(), [3]int64{4, 0, 0})
	})
}

// Guards against more unavailable tasks of a service than its caller allows, and against losing them with the worker
// although the notice leaves time to move them one after the other.
func TestLeavingWorkerServiceKeepsLimit(t *testing.T) {
	for _, limit := range []int{0, 1} {
		inBubble(t, func(t *testing.T) {
			b := floor.Behaviour{Duration: time.Hour, FullProgress: true}
			e := newEvacuation(t, 4, job.Step{Tasks: 4, Service: true, MaxUnavailable: limit}, b, 5*time.Second)
			time.Sleep(6 * time.Second)
			var stopped, again []floor.Run
			for _, r := range e.cluster.History() {
				switch {
				case r.Worker == e.leaving.Info().ID:
					stopped = append(stopped, r)
				case r.Number > 4:
					again = append(again, r)
				}
			}
			slices.SortFunc(stopped, func(a, b floor.Run) int { return a.Ended.Compare(b.Ended) })
			e.Equal(stopped[1].Ended.After(again[0].Started), limit == 1) // one waits for the other, or none does
			e.Equal(e.counts(), [3]int64{2, 0, 0})
			e.checkHistory()
		})
	}
}

// Guards against losing runs because the owner dies after the notice: its successor decides anew.
func TestLeavingWorkerOwnerDies(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := floor.Behaviour{Duration: 20 * time.Second, CheckpointInterval: checkpointInterval}
		e := newEvacuation(t, 2, job.Step{Tasks: 2, Checkpoints: true}, b, 10*time.Second, "vm2")
		time.Sleep(time.Second)
		e.kill(e.v)
		e.v = e.waitForOwner()
		for i, r := range e.finish(20 * time.Second) {
			e.True(!r.Crashed)
			e.True(i < 2 || r.Ended.Sub(r.Started) < 11*time.Second)
		}
		e.Equal(e.counts(), [3]int64{2, 0, 0})
	})
}

// Guards against losing a run because the order to stop it, or the answer to it, is lost once.
func TestLeavingWorkerStopUnanswered(t *testing.T) {
	for name, late := range map[string]time.Duration{"carried out": time.Millisecond, "lost": time.Minute} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b := floor.Behaviour{Duration: 8 * time.Second, CheckpointInterval: checkpointInterval}
				e := newEvacuation(t, 2, job.Step{Tasks: 1, Checkpoints: true}, b, 4*time.Second)
				e.leaving.SetFaults(floor.Faults{TransitOf: func(kind floor.CallKind, n int) floor.Transit {
					if kind == floor.CallHalt && n == 1 {
						return floor.Transit{Late: late}
					}
					return floor.Transit{}
				}})
				runs := e.finish(8 * time.Second)
				e.Equal(len(runs), 2)
				e.True(!runs[0].Crashed)
				e.Equal(e.counts(), [3]int64{1, 0, 0})
			})
		})
	}
}

// Guards against a wait for the lease, a suspicion of the task and a start from its beginning if the worker leaves before
// the stop: the run ends as lost, and the task goes on from the newest checkpoint that a hold has shown.
func TestLeavingWorkerIsGoneBeforeStop(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := floor.Behaviour{Duration: 8 * time.Second, CheckpointInterval: checkpointInterval}
		e := newEvacuation(t, 2, job.Step{Tasks: 1, Checkpoints: true}, b, 2*time.Second)
		e.leaving.SetFaults(floor.Faults{Unreachable: true})
		runs := e.finish(10 * time.Second)
		e.Equal(len(runs), 2)
		e.True(runs[0].Crashed)
		e.True(runs[1].Ended.Sub(runs[1].Started) < 7*time.Second)
		e.Equal(e.counts(), [3]int64{0, 0, 1})
		e.Equal(e.v.metrics.Counter("dispatch.crashes.roster").Count(), int64(0))
	})
}
