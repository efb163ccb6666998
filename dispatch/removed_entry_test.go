package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/standin/floor"
	"turmericgap/store"
	"turmericgap/worker"
)

// Guards against taking the removal of a leaving worker's entry for its departure. A store that was away for a moment
// may have let the entry lapse although it is young, while the worker runs on, within reach of the owner or not.
func TestLeavingWorkerLosesEntryInOutage(t *testing.T) {
	outages := map[string]func(v *vm, on bool){
		"refuses calls": func(v *vm, on bool) { v.store.Down(on) },
		"answers late": func(v *vm, on bool) {
			v.store.Delay(0)
			if on {
				v.store.Delay(1300 * time.Millisecond)
			}
		},
	}
	for outage, set := range outages {
		for reach, reachable := range map[string]bool{"reachable": true, "cut off": false} {
			t.Run("store "+outage+", worker "+reach, func(t *testing.T) {
				inBubble(t, func(t *testing.T) { loseEntryInOutage(t, set, reachable) })
			})
		}
	}
}

// loseEntryInOutage removes the entry of a leaving worker at the end of a short outage of the store. The worker runs on
// and, if it reaches the store, is listed again a second later.
func loseEntryInOutage(t *testing.T, setOutage func(v *vm, on bool), reachable bool) {
	is := is.New(t)
	c, v, w := newLeavingCell(t, 0)
	for _, v := range c.vms {
		setOutage(v, true)
	}
	w.SetFaults(floor.Faults{Unreachable: !reachable})
	time.Sleep(500 * time.Millisecond)
	for _, v := range c.vms {
		setOutage(v, false)
	}
	time.Sleep(600 * time.Millisecond)
	c.put(store.Op{Delete: true, Key: workersPrefix + w.Info().ID})
	time.Sleep(time.Second)
	if reachable {
		c.register(worker.ListedWorker{Info: withLeaving(w.Info()), Pool: pool, Clock: w.Clock()})
	}
	time.Sleep(2 * time.Second)
	w.SetFaults(floor.Faults{})
	c.waitForState(v, "roster", job.WorkCompleted, 40*time.Second)
	c.checkHistory()
	is.Equal(c.countRuns("roster"), 4)
}

// newLeavingCell returns a cell whose work runs on a worker that has just announced that it leaves, in timeLeft at the
// earliest. Its runs stay there until they end or are lost, as they would be moved away otherwise.
func newLeavingCell(t *testing.T, timeLeft time.Duration) (*cell, *vm, *floor.Worker) {
	c := newCell(t, runsFor(8*time.Second))
	c.choose("notice=off")
	c.startVM("vm1")
	ws := c.addWorkers(2, 4)
	v := c.waitForOwner()
	time.Sleep(5 * time.Second)
	c.submit(v, c.newWork("roster", job.Step{Tasks: 4}))
	time.Sleep(time.Second)
	w := ws[0]
	if ws[1].ActiveRuns() > 0 {
		w = ws[1]
	}
	c.register(worker.ListedWorker{Info: withLeaving(w.Info()), Pool: pool, Clock: w.Clock(), TimeLeft: timeLeft})
	time.Sleep(500 * time.Millisecond)
	return c, v, w
}

// Guards against taking the removal of a leaving worker's entry for its departure while the worker still answers, or
// before the time up to which it has announced to stay. A worker that has left does not hold up its tasks.
func TestLeavingWorkerLosesEntry(t *testing.T) {
	for name, tc := range map[string]struct {
		timeLeft time.Duration
		faults   floor.Faults
		hasLeft  bool
		within   time.Duration
		runs     int
	}{
		"answers":               {0, floor.Faults{}, false, 10 * time.Second, 4},
		"answers as unwell":     {0, floor.Faults{Unwell: true}, false, 30 * time.Second, 4},
		"silent, time left":     {5 * time.Second, floor.Faults{Unreachable: true}, false, 30 * time.Second, 4},
		"silent, time is over":  {800 * time.Millisecond, floor.Faults{Unreachable: true}, true, 10 * time.Second, 8},
		"refuses, time is over": {0, floor.Faults{ResetConnections: true}, true, 10 * time.Second, 8},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				c, v, w := newLeavingCell(t, tc.timeLeft)
				time.Sleep(500 * time.Millisecond)
				if w.SetFaults(tc.faults); tc.hasLeft {
					w.Crash(false)
				}
				c.put(store.Op{Delete: true, Key: workersPrefix + w.Info().ID})
				time.Sleep(2 * time.Second)
				w.SetFaults(floor.Faults{})
				c.waitForState(v, "roster", job.WorkCompleted, tc.within)
				c.checkHistory()
				is.Equal(c.countRuns("roster"), tc.runs)
			})
		})
	}
}

// Guards against acknowledging an end that is not durable to a worker that was not listed as it reported it, and is
// listed again. The owner dies before the end is durable, and its successor must find the end at the worker.
func TestEndOfUnlistedWorkerOutlivesOwner(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(3*time.Second), "vm1", "vm2")
		w := c.addWorkers(1, 1)[0]
		first := c.waitForOwner()
		time.Sleep(5 * time.Second)
		c.submit(first, c.newWork("roster", job.Step{Tasks: 1}))
		time.Sleep(time.Second)
		c.put(store.Op{Delete: true, Key: workersPrefix + w.Info().ID})
		c.submit(first, c.newWork("next", job.Step{Tasks: 2})) // the worker is asked for its ends without a pause
		time.Sleep(1950 * time.Millisecond)
		first.store.DeferNext(1000, time.Hour)
		time.Sleep(100 * time.Millisecond)
		c.register(worker.ListedWorker{Info: w.Info(), Pool: pool, Labels: []string{"a", "r1"}})
		time.Sleep(200 * time.Millisecond)
		c.kill(first)
		c.waitForState(c.waitForOwner(), "next", job.WorkCompleted, 30*time.Second)
		c.waitForState(c.waitForOwner(), "roster", job.WorkCompleted, 30*time.Second)
		c.checkHistory()
		is.Equal(c.countRuns("roster"), 1)
	})
}

// Guards against starting a task elsewhere while its first run goes on: the start order reaches a silent worker shortly
// before its lease ends, as the commit of the decision was answered late, and lets the run go on until it is void.
func TestLateOrderToSilentWorker(t *testing.T) {
	for _, outage := range []time.Duration{10900 * time.Millisecond, 11200 * time.Millisecond, 11500 * time.Millisecond, 11800 * time.Millisecond} {
		t.Run(outage.String(), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				c := newCell(t, runsFor(8*time.Second), "vm1")
				w := c.addWorkers(1, 4)[0]
				v := c.waitForOwner()
				time.Sleep(5 * time.Second)
				v.store.LoseAnswer(true)
				go func() { _ = c.submitFault(v, c.newWork("roster", job.Step{Tasks: 1})) }()
				time.Sleep(50 * time.Millisecond)
				w.SetFaults(floor.Faults{DropReplies: true})
				c.addWorker("spare", 4)
				time.Sleep(outage - 50*time.Millisecond)
				v.store.LoseAnswer(false)
				time.Sleep(3 * time.Second)
				w.SetFaults(floor.Faults{})
				c.waitForState(v, "roster", job.WorkCompleted, 40*time.Second)
				c.checkHistory()
			})
		})
	}
}
