package dispatch_test

import (
	"cmp"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/feature"
	"turmericgap/job"
	"turmericgap/standin/floor"
	"turmericgap/store"
	"turmericgap/worker"
)

// restartCell is a cell of two workers with four cores that tell when they started, and of two VMs. Each worker has run
// tasks and has been told that their ends were observed.
type restartCell struct {
	*cell
	is *is.I
	v  *vm
	ws []*floor.Worker
}

func newRestartCell(t *testing.T, behave func(worker.Task, int64) floor.Behaviour, features ...string) *restartCell {
	c := &restartCell{cell: newCell(t, behave), is: is.New(t)}
	var err error
	c.features, err = feature.Parse(features)
	c.is.NoErr(err)
	c.cluster.MaxLease = maxHold
	for i := range 2 {
		c.startVM(fmt.Sprint("vm", i+1))
		w := c.cluster.Add(worker.Info{ID: fmt.Sprint("w", i), Address: fmt.Sprint("w", i), Rack: "r1", Has: job.Resources{Millicores: 4000, MemoryMB: 64000}, Born: time.Now().UnixMilli()})
		c.ws = append(c.ws, w)
		c.list(w)
	}
	c.v = c.waitForOwner()
	time.Sleep(time.Second)
	c.submit(c.v, c.newWork("earlier", job.Step{Tasks: 8}))
	c.waitForState(c.v, "earlier", job.WorkCompleted, 10*time.Second)
	time.Sleep(20 * time.Second)
	return c
}

// list writes the entry of a worker instance.
func (c *restartCell) list(w *floor.Worker) {
	i := w.Info()
	c.register(worker.ListedWorker{Info: i, Pool: pool, Labels: []string{"a", "r1", i.ID}, Clock: w.Clock()})
}

// restart restarts a worker and writes the entry of the new instance. Its answers take a moment, so that calls that are
// answered at once cannot stop the virtual time.
func (c *restartCell) restart(i int) {
	c.ws[i] = c.ws[i].Reborn()
	c.ws[i].SetFaults(floor.Faults{TransitOf: func(floor.CallKind, int) floor.Transit { return floor.Transit{Reply: time.Millisecond} }})
	c.list(c.ws[i])
}

// submitTo submits a work whose tasks run on one of the workers only.
func (c *restartCell) submitTo(i int, id string, tasks int) {
	c.submit(c.v, c.newWork(id, job.Step{Tasks: tasks, Label: c.ws[i].Info().ID}))
}

// holdBack makes the network hold back all calls of a kind to a worker; their sender gets no answer.
func (c *restartCell) holdBack(i int, kind floor.CallKind, by time.Duration) {
	c.ws[i].SetFaults(floor.Faults{TransitOf: func(k floor.CallKind, _ int) floor.Transit {
		if k == kind {
			return floor.Transit{Late: by}
		}
		return floor.Transit{}
	}})
}

// loseEndsOf submits a work to a restarted worker, and loses the worker's answers when it would end if it started at once.
func (c *restartCell) loseEndsOf(id string) {
	time.Sleep(500 * time.Millisecond)
	c.submitTo(0, id, 4)
	time.Sleep(1500 * time.Millisecond)
	c.ws[0].SetFaults(floor.Faults{DropReplies: true})
	time.Sleep(2500 * time.Millisecond)
	c.ws[0].SetFaults(floor.Faults{})
}

// takeOver kills the owner and waits for the next one.
func (c *restartCell) takeOver() {
	c.kill(c.v)
	c.v = c.waitForSuccessor(c.v)
}

// restartCase is a restart of worker 0 and what the work "x" needs because of it.
type restartCase struct {
	// guards is the failure that the case guards against.
	guards string
	// play submits the work "x" and restarts the worker.
	play func(c *restartCell)
	// runsFor is the run time of a task.
	runsFor time.Duration
	// within bounds the time from the end of play until x is completed, and runs the number of its starts.
	within time.Duration
	runs   int
}

var restartCases = map[string]restartCase{
	"idle, before a hold": {
		guards: "ignoring the answers of the new instance, whose clock is behind, so that its tasks are never heard of",
		play: func(c *restartCell) {
			c.restart(0)
			time.Sleep(500 * time.Millisecond)
			c.submitTo(0, "x", 4)
		},
		within: 9 * time.Second, runs: 4,
	},
	"idle, shown by answers only": {
		guards: "relying on the entry, which a store outage delays",
		play: func(c *restartCell) {
			c.ws[0] = c.ws[0].Reborn()
			time.Sleep(1200 * time.Millisecond)
			c.submitTo(0, "x", 4)
		},
		within: 9 * time.Second, runs: 4,
	},
	"with runs": {
		guards: "waiting for runs that have ended with the earlier instance",
		play: func(c *restartCell) {
			c.submit(c.v, c.newWork("x", job.Step{Tasks: 8}))
			time.Sleep(time.Second)
			c.restart(0)
		},
		within: 6 * time.Second, runs: 12,
	},
	"with old runs": {
		guards: "waiting for runs that were started too long ago for a late order",
		play: func(c *restartCell) {
			c.submit(c.v, c.newWork("x", job.Step{Tasks: 8}))
			time.Sleep(6 * time.Second)
			c.restart(0)
		},
		runsFor: 8 * time.Second, within: 12 * time.Second, runs: 12,
	},
	"order is late": {
		guards: "starting the task elsewhere while its order may still start it on the new instance",
		play: func(c *restartCell) {
			c.holdBack(0, floor.CallLaunch, 3*time.Second)
			c.submit(c.v, c.newWork("x", job.Step{Tasks: 8}))
			time.Sleep(500 * time.Millisecond)
			c.restart(0)
		},
		within: 8 * time.Second, runs: 8,
	},
	"order is late and void on the earlier instance": {
		guards: "starting the task elsewhere because its order was void on the clock of the earlier instance",
		play: func(c *restartCell) {
			c.holdBack(0, floor.CallLaunch, 3500*time.Millisecond)
			c.submit(c.v, c.newWork("x", job.Step{Tasks: 8}))
			time.Sleep(time.Second)
			c.register(worker.ListedWorker{Info: withLeaving(c.ws[0].Info()), Pool: pool, Labels: []string{"a", "r1"}}) // nothing new
			time.Sleep(2200 * time.Millisecond)
			c.restart(0)
			c.is.True(c.countRuns("x") == 4)
		},
		within: 8 * time.Second, runs: 8,
	},
	"order is carried out before the restart is known": {
		guards: "leaving a run on the new instance that the owner counts as ended with the earlier one",
		play: func(c *restartCell) {
			c.holdBack(0, floor.CallLaunch, time.Second)
			c.submit(c.v, c.newWork("x", job.Step{Tasks: 8}))
			time.Sleep(900 * time.Millisecond)
			c.ws[0] = c.ws[0].Reborn()
			c.ws[0].SetFaults(floor.Faults{Unreachable: true})
			time.Sleep(800 * time.Millisecond)
			c.is.Equal(c.ws[0].ActiveRuns(), 4)
			c.ws[0].SetFaults(floor.Faults{})
			c.list(c.ws[0])
		},
		within: 8 * time.Second, runs: 12,
	},
	"answers to starts are lost": {
		guards: "waiting for starts that the earlier instance has carried out without an answer",
		play: func(c *restartCell) {
			c.ws[0].SetFaults(floor.Faults{DropReplies: true})
			c.submit(c.v, c.newWork("x", job.Step{Tasks: 8}))
			time.Sleep(300 * time.Millisecond)
			c.restart(0)
		},
		within: 8 * time.Second, runs: 12,
	},
	"holds are late": {
		guards: "starting tasks while a hold to the earlier instance may make the new one forget their ends",
		play: func(c *restartCell) {
			c.holdBack(0, floor.CallHold, 4500*time.Millisecond)
			time.Sleep(1500 * time.Millisecond)
			c.restart(0)
			c.loseEndsOf("x")
		},
		within: 12 * time.Second, runs: 4,
	},
	"entry is gone and holds are late": {
		guards: "forgetting with the worker that its holds may be under way",
		play: func(c *restartCell) {
			c.holdBack(0, floor.CallHold, 4500*time.Millisecond)
			time.Sleep(1500 * time.Millisecond)
			c.put(store.Op{Delete: true, Key: workersPrefix + "w0"})
			time.Sleep(400 * time.Millisecond)
			c.restart(0)
			c.loseEndsOf("x")
		},
		within: 12 * time.Second, runs: 4,
	},
	"last answer is late": {
		guards: "losing the ends in an answer of the earlier instance that a later one has overtaken",
		play: func(c *restartCell) {
			c.submitTo(0, "x", 1)
			time.Sleep(500 * time.Millisecond)
			c.ws[0].SetFaults(floor.Faults{TransitOf: func(floor.CallKind, int) floor.Transit { return floor.Transit{Reply: 300 * time.Millisecond} }})
			time.Sleep(1550 * time.Millisecond)
			c.restart(0)
		},
		within: 6 * time.Second, runs: 1,
	},
	"a member of a gang": {
		guards: "letting a gang wait for a member that has ended with the earlier instance",
		play: func(c *restartCell) {
			c.cluster.BehaviourOf = gangBehaviour(2, 2*time.Second, worker.OutcomeDone)
			c.submit(c.v, c.newWork("x", gangStep(2)))
			time.Sleep(time.Second)
			c.restart(0)
		},
		within: 12 * time.Second, runs: 4,
	},
	"stop is under way": {
		guards: "taking the answer of the earlier instance to a stop for one of the new instance",
		play: func(c *restartCell) {
			c.holdBack(0, floor.CallLaunch, 2*time.Second)
			c.submit(c.v, c.newWork("y", job.Step{Tasks: 8}))
			time.Sleep(300 * time.Millisecond)
			c.is.NoErr(c.v.dispatcher.Cancel(c.t.Context(), "y", ""))
			time.Sleep(50 * time.Millisecond)
			c.restart(0)
			c.submit(c.v, c.newWork("x", job.Step{Tasks: 4}))
			time.Sleep(4 * time.Second)
			c.is.Equal(c.ws[0].ActiveRuns(), 0)
		},
		within: 8 * time.Second, runs: 4,
	},
	"before a take-over": {
		guards: "waiting for runs that a former owner has started on the earlier instance",
		play: func(c *restartCell) {
			c.submit(c.v, c.newWork("x", job.Step{Tasks: 8}))
			time.Sleep(time.Second)
			c.restart(0)
			c.takeOver()
		},
		within: 6 * time.Second, runs: 12,
	},
	"after a take-over": {
		guards: "taking the runs of a former owner for lost ones only if it has been seen what became of them",
		play: func(c *restartCell) {
			c.submit(c.v, c.newWork("x", job.Step{Tasks: 8}))
			time.Sleep(100 * time.Millisecond)
			c.takeOver()
			time.Sleep(time.Second)
			c.restart(0)
		},
		runsFor: 8 * time.Second, within: 15 * time.Second, runs: 12,
	},
	"take-over with a late order": {
		guards: "starting a task elsewhere while the order of a former owner may start it on the new instance, which knows no fence",
		play: func(c *restartCell) {
			c.holdBack(0, floor.CallLaunch, 3*time.Second)
			c.submit(c.v, c.newWork("x", job.Step{Tasks: 8}))
			time.Sleep(100 * time.Millisecond)
			c.kill(c.v)
			c.restart(0)
			c.v = c.waitForSuccessor(c.v)
		},
		within: 8 * time.Second, runs: 8,
	},
	"twice": {
		guards: "taking the second restart for the first one",
		play: func(c *restartCell) {
			c.submit(c.v, c.newWork("x", job.Step{Tasks: 8}))
			time.Sleep(time.Second)
			c.restart(0)
			time.Sleep(300 * time.Millisecond)
			c.restart(0)
		},
		within: 6 * time.Second, runs: 12,
	},
	"entries of other writers": {
		guards: "believing an entry that is out of date, lacks the field or cannot be read",
		play: func(c *restartCell) {
			former, i := c.ws[0], c.ws[0].Info()
			c.submit(c.v, c.newWork("x", job.Step{Tasks: 8}))
			time.Sleep(time.Second)
			c.restart(0)
			time.Sleep(time.Second)
			c.list(former)
			time.Sleep(500 * time.Millisecond)
			c.put(store.Op{Key: workersPrefix + i.ID, Value: []byte{0xc1}})
			time.Sleep(500 * time.Millisecond)
			i.Born = 0
			c.register(worker.ListedWorker{Info: i, Pool: pool, Labels: []string{"a", "r1", i.ID}})
		},
		within: 4 * time.Second, runs: 12,
	},
}

// Guards against each failure that a case names: nothing runs twice, no end is lost that could be known, and nothing waits
// for the earlier instance of a worker.
func TestRestartedWorker(t *testing.T) {
	for name, rc := range restartCases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				c := newRestartCell(t, runsFor(cmp.Or(rc.runsFor, 2*time.Second)))
				rc.play(c)
				c.waitForState(c.v, "x", job.WorkCompleted, rc.within)
				time.Sleep(10 * time.Second) // the last late order has arrived
				if runs := c.countRuns("x"); runs != rc.runs {
					t.Errorf("%d runs, want %d; guards against %s", runs, rc.runs, rc.guards)
				}
				c.is.Equal(c.ws[0].ActiveRuns()+c.ws[1].ActiveRuns(), 0)
				c.checkHistory()
			})
		})
	}
}

// Guards against distinguishing instances although the operator has switched that off.
func TestRestartOff(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newRestartCell(t, runsFor(2*time.Second), "restart=off")
		restartCases["with runs"].play(c)
		time.Sleep(15 * time.Second) // the clock of the new instance is still behind
		c.is.Equal(c.countRuns("x"), 8)
	})
}

// Guards against starting a task that crashes its workers again and again because they restart under their IDs, also if
// the owner is lost with a crash.
func TestTaskThatCrashesRestartingWorkers(t *testing.T) {
	for _, takeOver := range []bool{false, true} {
		t.Run(fmt.Sprint("owner is lost ", takeOver), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				c := newRestartCell(t, func(task worker.Task, _ int64) floor.Behaviour {
					return floor.Behaviour{Duration: 200 * time.Millisecond, Ending: worker.OutcomeDone, Resources: job.Resources{Millicores: 1000}, CrashesWorker: task.Work == "x"}
				})
				var crashes atomic.Int64
				c.cluster.OnCrash = func(w *floor.Worker) {
					crashes.Add(1)
					c.list(w.Reborn())
				}
				c.submit(c.v, c.newWork("x", job.Step{Tasks: 1}))
				for crashes.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				if takeOver {
					c.takeOver()
				}
				c.waitForState(c.v, "x", job.WorkFailed, time.Minute)
				c.is.True(crashes.Load() >= 2)
				c.checkHistory()
			})
		})
	}
}

// Guards against the orders of a relay, which it makes late, that start tasks on a restarted worker.
func TestRestartedWorkerBehindRelay(t *testing.T) {
	for _, delay := range []time.Duration{0, 300 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				c, v, workers := newCellWithRelay(t, delay)
				for i, w := range workers {
					workers[i] = w.Reborn() // they tell when they started from now on
				}
				time.Sleep(8 * time.Second)
				c.submit(v, c.newWork("x", job.Step{Tasks: 30}))
				time.Sleep(500 * time.Millisecond)
				for i := range workers {
					workers[i] = workers[i].Reborn()
				}
				c.waitForState(v, "x", job.WorkCompleted, 20*time.Second)
				time.Sleep(10 * time.Second)
				for _, w := range workers {
					is.Equal(w.ActiveRuns(), 0)
				}
				c.checkHistory()
			})
		})
	}
}

// Guards against a cancelled task that goes on because its worker started it late: after a restart, under another owner,
// without an entry, or when no record of the work is left.
func TestCancelledTaskStartsLate(t *testing.T) {
	for name, p := range map[string]struct {
		// late is the delay of the order; the others are when the worker restarts, its entry is written and the owner is
		// killed. Without a restart the entry stays.
		late, restart, list, kill time.Duration
		// stopsLate delays the other calls to the first instance as well; starts is true if tasks surely start late.
		stopsLate, starts bool
		// firstOnly delays only the first order, so that the repeat is carried out.
		firstOnly bool
	}{
		"after its stop":                       {late: 1200 * time.Millisecond},
		"on the same instance":                 {late: 1200 * time.Millisecond, stopsLate: true, starts: true},
		"after a restart":                      {late: 3 * time.Second, restart: time.Second, list: time.Second},
		"before a restart is known":            {late: 1200 * time.Millisecond, restart: 1190 * time.Millisecond, list: 3 * time.Second, starts: true},
		"without an entry":                     {late: 3 * time.Second, restart: 2900 * time.Millisecond, list: time.Hour},
		"again, without an entry":              {late: 3 * time.Second, restart: 2900 * time.Millisecond, list: time.Hour, firstOnly: true, starts: true},
		"without a record":                     {late: 8 * time.Second, restart: 7 * time.Second, list: 7 * time.Second, starts: true},
		"during a take-over":                   {late: 1200 * time.Millisecond, stopsLate: true, kill: 500 * time.Millisecond, starts: true},
		"after a restart, during a take-over":  {late: 2 * time.Second, restart: time.Second, list: time.Second, stopsLate: true, kill: 500 * time.Millisecond},
		"without an entry, during a take-over": {late: 2 * time.Second, restart: time.Second, list: 6 * time.Second, kill: 500 * time.Millisecond, starts: true},
		"without a record, during a take-over": {late: 8 * time.Second, restart: 7 * time.Second, list: 7 * time.Second, kill: 7500 * time.Millisecond, starts: true},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				c := newRestartCell(t, runsFor(2*time.Second))
				c.cluster.BehaviourOf = runsFor(time.Minute)
				began := time.Now()
				c.holdBack(0, floor.CallLaunch, p.late)
				if p.stopsLate {
					c.ws[0].SetFaults(floor.Faults{TransitOf: func(floor.CallKind, int) floor.Transit { return floor.Transit{Late: p.late} }})
				}
				if p.firstOnly {
					starts := 0
					c.ws[0].SetFaults(floor.Faults{TransitOf: func(k floor.CallKind, _ int) floor.Transit {
						if k == floor.CallLaunch {
							starts++
						}
						return floor.Transit{Late: map[bool]time.Duration{true: p.late}[k == floor.CallLaunch && starts <= 2]}
					}})
				}
				c.submitTo(0, "x", 2)
				time.Sleep(300 * time.Millisecond)
				c.is.NoErr(c.v.dispatcher.Cancel(c.t.Context(), "x", ""))
				for at := time.Duration(0); at < p.late+10*time.Second; at = time.Since(began) {
					if p.restart > 0 && at >= p.restart {
						p.restart = 0
						c.put(store.Op{Delete: true, Key: workersPrefix + "w0"})
						c.ws[0] = c.ws[0].Reborn()
					}
					if p.list > 0 && at >= p.list {
						p.list = 0
						c.list(c.ws[0])
					}
					if p.kill > 0 && at >= p.kill {
						p.kill = 0
						c.kill(c.v)
					}
					time.Sleep(10 * time.Millisecond)
				}
				const mayLast = 8200 * time.Millisecond // contact, cancel and stop
				c.is.Equal(c.ws[0].ActiveRuns(), 0)
				c.is.True(!p.starts || c.countRuns("x") > 0)
				for _, r := range c.cluster.History() {
					c.is.True(r.Task.Work != "x" || r.Ended.Sub(r.Started) <= mayLast)
				}
				c.checkHistory()
			})
		})
	}
}
