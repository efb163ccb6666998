package dispatch_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/permit"
	"turmericgap/standin/floor"
	"turmericgap/worker"
)

// gangOf gives members that fail, or work for a while and end as done together.
func gangOf(size int, d time.Duration, how worker.RunOutcome) func(worker.Task, int64) floor.Behaviour {
	return func(task worker.Task, _ int64) floor.Behaviour {
		b := floor.Behaviour{Duration: d, Ending: worker.OutcomeDone, GangSize: size, MaxAttempts: 2, Resources: job.Resources{Millicores: 3000}}
		if task.Index == 0 {
			b.Ending = how
		} else if how == worker.OutcomeFailed {
			b.Duration = time.Hour
		}
		return b
	}
}

func gangStep(size int) job.Step {
	return job.Step{Tasks: size, Gang: true, TaskResources: job.Resources{Millicores: 3000, MemoryMB: 100}}
}

// All members of a gang start together, on as many workers as it takes, and end together.
func TestGang(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, gangOf(4, 2*time.Second, worker.OutcomeDone), "vm1", "vm2")
		c.workers(4, 4)
		v := c.owner()
		c.submit(v, c.work("gang", gangStep(4)))
		c.waitForState(v, "gang", job.WorkCompleted, 10*time.Second)
		is.Equal(c.runs("gang"), 4)
		c.checkHistory()
	})
}

// A gang that can never succeed is tried twice and shown as failed. The owner dies when the failed end
// of one member is durable and the other member's end was not heard: the new owner must still count
// the attempt, or the gang would be started a third time.
func TestGangAttemptsOutliveOwner(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, gangOf(2, time.Second, worker.OutcomeFailed), "vm1", "vm2")
		ws := c.workers(2, 4)
		first := c.owner()
		c.submit(first, c.work("gang", gangStep(2)))
		time.Sleep(500 * time.Millisecond)
		is.Equal(c.runs("gang"), 2)
		other := ws[0]
		for _, r := range c.floor.History() {
			if r.Task.Index == 1 && r.Worker == ws[1].Info().ID {
				other = ws[1]
			}
		}
		other.SetFaults(floor.Faults{Unreachable: true})
		time.Sleep(time.Second)
		c.kill(first)
		other.SetFaults(floor.Faults{})
		second := c.owner()
		c.waitForState(second, "gang", job.WorkFailed, 30*time.Second)
		is.Equal(c.runs("gang"), 4)
		c.checkHistory()
	})
}

// A roster waits for one answer of the policy service, not for two in a row: where naming every worker
// takes less time than a second question, the first one names them all.
func TestGangAsksOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, gangOf(4, time.Second, worker.OutcomeDone), "vm1", "vm2")
		c.config.Queues[0].Permit = &job.PermitCost{Base: 600 * time.Millisecond, PerWorker: 10 * time.Millisecond, Valid: 1500 * time.Millisecond}
		allowed := []string{"w06", "w07", "w08", "w09"}
		questions := 0
		c.permits = func(q *permit.Request) ([]string, time.Duration) {
			questions++
			var names []string
			for _, id := range allowed {
				if slices.Contains(q.Workers, id) {
					names = append(names, id)
				}
			}
			return names, 600*time.Millisecond + time.Duration(len(q.Workers))*10*time.Millisecond
		}
		c.workers(10, 4)
		v := c.owner()
		// The owner hears of one worker after the other, with pauses between them; the question must not
		// come before it knows them all.
		time.Sleep(5 * time.Second)
		begun := time.Now()
		c.submit(v, c.work("gang", gangStep(4)))
		c.waitForState(v, "gang", job.WorkCompleted, 10*time.Second)
		is.Equal(questions, 1)
		is.True(time.Since(begun) < 2*time.Second)
		c.checkHistory()
	})
}

// Small tasks come without end and fill each core as it becomes free. A gang that needs two whole workers
// at the same time must get them about as soon as what runs there has ended; without room kept for it,
// it would wait until the small tasks stop coming.
func TestGangFindsRoomUnderLoad(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, func(task worker.Task, _ int64) floor.Behaviour {
			if task.Work == "gang" {
				return floor.Behaviour{Duration: 2 * time.Second, Ending: worker.OutcomeDone, GangSize: 2, Resources: job.Resources{Millicores: 4000}}
			}
			return floor.Behaviour{Duration: 3 * time.Second, Ending: worker.OutcomeDone, Resources: job.Resources{Millicores: 1000}}
		}, "vm1")
		c.config.Queues = append(c.config.Queues, job.Queue{Name: "batch", Pool: pool, Priority: 2, MaxAttempts: 2, SlackFactor: 20, TargetDuration: time.Minute})
		c.workers(3, 4)
		v := c.owner()
		time.Sleep(5 * time.Second)
		var handed time.Time
		for i := range 150 {
			c.submitTo(v, "batch", fmt.Sprint("small", i), job.Step{Tasks: 1, Estimate: 3 * time.Second})
			if i == 50 {
				handed = time.Now()
				c.submit(v, c.work("gang", job.Step{
					Tasks: 2, Gang: true, Estimate: 2 * time.Second, TaskResources: job.Resources{Millicores: 4000, MemoryMB: 100},
				}))
			}
			time.Sleep(200 * time.Millisecond)
		}
		var begun time.Time
		for _, r := range c.floor.History() {
			if r.Task.Work == "gang" {
				begun = r.Started
			}
		}
		is.True(!begun.IsZero())
		is.True(begun.Sub(handed) < 4500*time.Millisecond)
		c.checkHistory()
	})
}

// A worker with a member of a gang crashes and lists nothing any more. The other member ends as broken,
// which shows that the run is over everywhere: the gang must be started again without waiting for the
// lease of the silent worker.
func TestGangAfterCrash(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, gangOf(2, 4*time.Second, worker.OutcomeDone), "vm1")
		ws := c.workers(4, 4)
		v := c.owner()
		time.Sleep(5 * time.Second)
		c.submit(v, c.work("gang", gangStep(2)))
		time.Sleep(time.Second)
		for _, w := range ws {
			if w.ActiveRuns() > 0 {
				w.Crash(false)
				break
			}
		}
		c.waitForState(v, "gang", job.WorkCompleted, 9*time.Second)
		is.Equal(c.runs("gang"), 4)
		c.checkHistory()
	})
}

// A member of a gang fails on a worker that is cut off; the other member ends as broken, so that the run
// is over, and the gang is started again before anybody has heard of the failure. When the cut heals the
// worker lists it: it counts as an attempt, also after a take-over, and no start too many is made.
func TestFailureHeardLate(t *testing.T) {
	for _, kill := range []bool{false, true} {
		t.Run(fmt.Sprint("owner dies ", kill), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				c := newCell(t, gangOf(2, 2*time.Second, worker.OutcomeFailed), "vm1", "vm2")
				ws := c.workers(6, 4)
				v := c.owner()
				time.Sleep(5 * time.Second)
				c.submit(v, c.work("gang", gangStep(2)))
				time.Sleep(time.Second)
				for _, r := range c.floor.History() {
					for _, w := range ws {
						if r.Task.Index == 0 && r.Worker == w.Info().ID {
							w.SetFaults(floor.Faults{Unreachable: true})
						}
					}
				}
				time.Sleep(5 * time.Second)
				if kill {
					c.kill(v)
				}
				for _, w := range ws {
					w.SetFaults(floor.Faults{})
				}
				c.waitForState(c.owner(), "gang", job.WorkFailed, 40*time.Second)
				is.Equal(c.runs("gang"), 4)
				c.checkHistory()
			})
		})
	}
}

// Two workers with members of a gang are cut off, and a member on one of them fails; the third ends as broken,
// and the gang is started again. Whichever of the two lists the failure when the cut heals, it counts: were
// only one of them remembered, the gang would be started a third time after two failures.
func TestFailureHeardLateOfEither(t *testing.T) {
	for try := range 8 { // which of the two is met first differs from run to run
		t.Run(fmt.Sprint(try), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				c := newCell(t, gangOf(3, 2*time.Second, worker.OutcomeFailed), "vm1")
				ws := c.workers(6, 4)
				v := c.owner()
				time.Sleep(5 * time.Second)
				c.submit(v, c.work("gang", gangStep(3)))
				time.Sleep(time.Second)
				for _, r := range c.floor.History() {
					for _, w := range ws {
						if r.Task.Index < 2 && r.Worker == w.Info().ID {
							w.SetFaults(floor.Faults{Unreachable: true})
						}
					}
				}
				time.Sleep(5 * time.Second)
				is.Equal(c.runs("gang"), 6) // a run that two workers may tell of counts once
				for _, w := range ws {
					w.SetFaults(floor.Faults{})
				}
				c.waitForState(v, "gang", job.WorkFailed, 40*time.Second)
				is.Equal(c.runs("gang"), 6)
				c.checkHistory()
			})
		})
	}
}

// A worker fails whatever it starts, and fast, so that it soon has more room than all others. A gang that
// has failed there must be started elsewhere: its caller would be told that it cannot be done after two
// runs on the one worker that fails.
func TestGangLeavesFailingWorker(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, func(worker.Task, int64) floor.Behaviour {
			return floor.Behaviour{Duration: time.Second, Ending: worker.OutcomeDone, GangSize: 2, MaxAttempts: 2, Resources: job.Resources{Millicores: 3000}}
		}, "vm1")
		ws := c.workers(4, 8)
		ws[3].SetFaults(floor.Faults{FailRuns: true}) // the first choice among equals
		v := c.owner()
		time.Sleep(5 * time.Second)
		for i := range 4 {
			id := fmt.Sprint("gang", i)
			c.submit(v, c.work(id, gangStep(2)))
			c.waitForState(v, id, job.WorkCompleted, 10*time.Second)
		}
		failed := 0
		for _, r := range c.floor.History() {
			if r.Ending == worker.OutcomeFailed {
				failed++
			}
		}
		is.True(failed <= 4) // one for each gang at most
		c.checkHistory()
	})
}

// A gang that is late already has room that is kept for it while it asks for tickets, and a burst of checks,
// which are more urgent, waits for that very room. When the tickets come the gang must get it: were the
// room given back first, the checks would take it, and the gang would ask again for as long as checks come.
func TestKeptRoomIsForItsGang(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, func(task worker.Task, _ int64) floor.Behaviour {
			switch task.Work {
			case "gang":
				return floor.Behaviour{Duration: 2 * time.Second, Ending: worker.OutcomeDone, GangSize: 2, Resources: job.Resources{Millicores: 4000}}
			case "before":
				return floor.Behaviour{Duration: 5 * time.Second, Ending: worker.OutcomeDone, Resources: job.Resources{Millicores: 1000}}
			}
			return floor.Behaviour{Duration: time.Second, Ending: worker.OutcomeDone, Resources: job.Resources{Millicores: 1000}}
		}, "vm1")
		c.config.Queues[0].Priority, c.config.Queues[0].TargetDuration = 1, time.Millisecond
		c.config.Queues[0].Permit = &job.PermitCost{Base: 600 * time.Millisecond, PerWorker: 10 * time.Millisecond, Valid: 1500 * time.Millisecond}
		c.config.Queues = append(c.config.Queues, job.Queue{Name: "check", Pool: pool, MaxAttempts: 2, SlackFactor: 20, TargetDuration: time.Minute})
		c.permits = func(q *permit.Request) ([]string, time.Duration) { return q.Workers, 620 * time.Millisecond }
		c.workers(2, 4)
		v := c.owner()
		time.Sleep(5 * time.Second)
		check := func(id string, tasks int) { c.submitTo(v, "check", id, job.Step{Tasks: tasks, Estimate: time.Second}) }
		check("before", 8)
		handed := time.Now()
		c.submit(v, c.work("gang", job.Step{
			Tasks: 2, Gang: true, Estimate: 2 * time.Second, TaskResources: job.Resources{Millicores: 4000, MemoryMB: 100},
		}))
		time.Sleep(5200 * time.Millisecond)
		for i := range 40 {
			check(fmt.Sprint("check", i), 1)
		}
		c.waitForState(v, "gang", job.WorkCompleted, 20*time.Second)
		for _, r := range c.floor.History() {
			if r.Task.Work == "gang" {
				is.True(r.Started.Sub(handed) < 6*time.Second)
			}
		}
		c.checkHistory()
	})
}

// A roster in a cell of 300 workers has to have its workers named in many questions, of which the service
// answers one at a time for each VM. Put one after the other they would take most of the time that the
// roster has; put from several VMs at once they take as long as one.
func TestGangAsksInParallel(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		var vms []string
		for i := range 16 {
			vms = append(vms, fmt.Sprintf("vm%02d", i))
		}
		c := newCell(t, gangOf(40, time.Second, worker.OutcomeDone), vms...)
		c.config.Queues[0].Permit = &job.PermitCost{Base: 700 * time.Millisecond, PerWorker: 10 * time.Millisecond, Valid: 1500 * time.Millisecond}
		var mu sync.Mutex
		named := make(map[string]int)
		c.permits = func(q *permit.Request) ([]string, time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			var names []string
			for _, id := range q.Workers {
				named[id]++
				if len(named)%4 == 0 {
					names = append(names, id)
				}
			}
			return names, 700*time.Millisecond + time.Duration(len(q.Workers))*10*time.Millisecond
		}
		c.workers(300, 4)
		v := c.owner()
		time.Sleep(time.Minute) // the owner hears of one worker after the other
		begun := time.Now()
		c.submit(v, c.work("gang", gangStep(40)))
		c.waitForState(v, "gang", job.WorkCompleted, 10*time.Second)
		is.True(time.Since(begun) < 3*time.Second)
		for _, times := range named {
			is.Equal(times, 1)
		}
		c.checkHistory()
	})
}

// A gang may run on two of four workers, beside a long task on each. Checks, which are more urgent, come
// without end and go to the fullest workers: each hole on the two would be filled at once, although the
// other two have room for all of them. The checks must leave alone what the gang waits for.
func TestChecksLeaveClaimedRoom(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, func(task worker.Task, _ int64) floor.Behaviour {
			switch task.Work {
			case "gang":
				return floor.Behaviour{Duration: 2 * time.Second, Ending: worker.OutcomeDone, GangSize: 2, Resources: job.Resources{Millicores: 3000}}
			case "long":
				return floor.Behaviour{Duration: time.Minute, Ending: worker.OutcomeDone, Resources: job.Resources{Millicores: 1000}}
			}
			return floor.Behaviour{Duration: time.Second, Ending: worker.OutcomeDone, Resources: job.Resources{Millicores: 1000}}
		}, "vm1")
		c.config.Queues[0].Priority, c.config.Queues[0].TargetDuration = 1, 20*time.Second
		c.config.Queues[0].Permit = &job.PermitCost{Base: 200 * time.Millisecond, PerWorker: 10 * time.Millisecond, Valid: 1500 * time.Millisecond}
		c.config.Queues = append(c.config.Queues, job.Queue{Name: "check", Pool: pool, MaxAttempts: 2, SlackFactor: 4, TargetDuration: time.Second})
		c.permits = func(*permit.Request) ([]string, time.Duration) {
			return []string{"w00", "w01"}, 240 * time.Millisecond
		}
		c.workers(4, 4)
		v := c.owner()
		time.Sleep(5 * time.Second)
		check := func(i int) { c.submitTo(v, "check", fmt.Sprint("check", i), job.Step{Tasks: 1, Estimate: time.Second}) }
		c.submit(v, c.work("long", job.Step{Tasks: 2, MaxPerWorker: 1, Estimate: time.Minute}))
		time.Sleep(time.Second)
		for i := range 10 {
			check(i)
		}
		handed := time.Now()
		c.submit(v, c.work("gang", job.Step{
			Tasks: 2, Gang: true, Estimate: 2 * time.Second, TaskResources: job.Resources{Millicores: 3000, MemoryMB: 100},
		}))
		for i := range 160 { // seven of sixteen cores
			check(100 + i)
			time.Sleep(140 * time.Millisecond)
		}
		begun := time.Time{}
		for _, r := range c.floor.History() {
			if r.Task.Work == "gang" {
				begun = r.Started
			}
		}
		is.True(!begun.IsZero())
		is.True(begun.Sub(handed) < 3*time.Second)
		c.checkHistory()
	})
}
