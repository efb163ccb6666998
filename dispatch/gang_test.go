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

// gangBehaviour returns the behaviour of gang members that end together after d; how is the outcome of member 0. If it
// fails, the others run until the gang breaks, and show progress as members of one gang do.
func gangBehaviour(size int, d time.Duration, how worker.RunOutcome) func(worker.Task, int64) floor.Behaviour {
	return func(task worker.Task, _ int64) floor.Behaviour {
		b := floor.Behaviour{Duration: d, Ending: worker.OutcomeDone, GangSize: size, MaxAttempts: 2, Resources: job.Resources{Millicores: 3000}}
		if task.Index == 0 {
			b.Ending = how
		} else if how == worker.OutcomeFailed {
			b.Duration = 2 * d // long enough not to end before, and short enough to show progress before
		}
		return b
	}
}

func gangStep(size int) job.Step {
	return job.Step{Tasks: size, Gang: true, TaskResources: job.Resources{Millicores: 3000, MemoryMB: 100}}
}

// Checks that all members of a gang start together, on as many workers as needed, and end together.
func TestGang(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, gangBehaviour(4, 2*time.Second, worker.OutcomeDone), "vm1", "vm2")
		c.addWorkers(4, 4)
		v := c.waitForOwner()
		c.submit(v, c.newWork("gang", gangStep(4)))
		c.waitForState(v, "gang", job.WorkCompleted, 10*time.Second)
		is.Equal(c.countRuns("gang"), 4)
		c.checkHistory()
	})
}

// Guards against a new owner that does not count an attempt: the former owner dies after the failed end of one member
// is durable and before it hears of the other member's end. The gang has two attempts and would be started a third
// time.
func TestGangAttemptsOutliveOwner(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, gangBehaviour(2, time.Second, worker.OutcomeFailed), "vm1", "vm2")
		ws := c.addWorkers(2, 4)
		first := c.waitForOwner()
		c.submit(first, c.newWork("gang", gangStep(2)))
		time.Sleep(500 * time.Millisecond)
		is.Equal(c.countRuns("gang"), 2)
		other := ws[0]
		for _, r := range c.cluster.History() {
			if r.Task.Index == 1 && r.Worker == ws[1].Info().ID {
				other = ws[1]
			}
		}
		other.SetFaults(floor.Faults{Unreachable: true})
		time.Sleep(time.Second)
		c.kill(first)
		other.SetFaults(floor.Faults{})
		second := c.waitForOwner()
		c.waitForState(second, "gang", job.WorkFailed, 30*time.Second)
		is.Equal(c.countRuns("gang"), 4)
		c.checkHistory()
	})
}

// Guards against two consecutive permit requests for a gang where a single request that names every worker takes less
// time.
func TestGangAsksOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, gangBehaviour(4, time.Second, worker.OutcomeDone), "vm1", "vm2")
		c.config.Queues[0].Permit = &job.PermitCost{Base: 600 * time.Millisecond, PerWorker: 10 * time.Millisecond, Valid: 1500 * time.Millisecond}
		allowed := []string{"w06", "w07", "w08", "w09"}
		requests := 0
		c.permits = func(req *permit.Request) ([]string, time.Duration) {
			requests++
			var names []string
			for _, id := range allowed {
				if slices.Contains(req.Workers, id) {
					names = append(names, id)
				}
			}
			return names, 600*time.Millisecond + time.Duration(len(req.Workers))*10*time.Millisecond
		}
		c.addWorkers(10, 4)
		v := c.waitForOwner()
		// The owner syncs with its workers one by one; the request must not be sent before it knows them all.
		time.Sleep(5 * time.Second)
		start := time.Now()
		c.submit(v, c.newWork("gang", gangStep(4)))
		c.waitForState(v, "gang", job.WorkCompleted, 10*time.Second)
		is.Equal(requests, 1)
		is.True(time.Since(start) < 2*time.Second)
		c.checkHistory()
	})
}

// Guards against a gang that starves under a steady stream of small tasks: without reserved capacity, the small tasks
// take each core as soon as it is free, and two whole workers are never free at once.
func TestGangFindsRoomUnderLoad(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, func(task worker.Task, _ int64) floor.Behaviour {
			if task.Work == "gang" {
				return floor.Behaviour{Duration: 2 * time.Second, Ending: worker.OutcomeDone, GangSize: 2, Resources: job.Resources{Millicores: 4000}}
			}
			return floor.Behaviour{Duration: 3 * time.Second, Ending: worker.OutcomeDone, Resources: job.Resources{Millicores: 1000}}
		}, "vm1")
		c.config.Queues = append(c.config.Queues, job.Queue{Name: "batch", Pool: pool, Priority: 2, MaxAttempts: 2, SlackFactor: 20, Objective: time.Minute})
		c.addWorkers(3, 4)
		v := c.waitForOwner()
		time.Sleep(5 * time.Second)
		var submitted time.Time
		for i := range 150 {
			c.enqueue(v, "batch", fmt.Sprint("small", i), job.Step{Tasks: 1, Estimate: 3 * time.Second})
			if i == 50 {
				submitted = time.Now()
				c.submit(v, c.newWork("gang", job.Step{
					Tasks: 2, Gang: true, Estimate: 2 * time.Second, TaskResources: job.Resources{Millicores: 4000, MemoryMB: 100},
				}))
			}
			time.Sleep(200 * time.Millisecond)
		}
		var started time.Time
		for _, r := range c.cluster.History() {
			if r.Task.Work == "gang" {
				started = r.Started
			}
		}
		is.True(!started.IsZero())
		is.True(started.Sub(submitted) < 4500*time.Millisecond)
		c.checkHistory()
	})
}

// Guards against waiting for the lease of a crashed worker when the run of a gang is known to be over: the other member
// ends as broken, so the gang can start again at once.
func TestGangAfterCrash(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, gangBehaviour(2, 4*time.Second, worker.OutcomeDone), "vm1")
		ws := c.addWorkers(4, 4)
		v := c.waitForOwner()
		time.Sleep(5 * time.Second)
		c.submit(v, c.newWork("gang", gangStep(2)))
		time.Sleep(time.Second)
		for _, w := range ws {
			if w.ActiveRuns() > 0 {
				w.Crash(false)
				break
			}
		}
		c.waitForState(v, "gang", job.WorkCompleted, 9*time.Second)
		is.Equal(c.countRuns("gang"), 4)
		c.checkHistory()
	})
}

// Guards against losing a failed attempt of a gang that becomes known only after the gang was restarted, because the
// worker of the failed member was cut off. It must count when the worker reports it, also after a takeover.
func TestFailureHeardLate(t *testing.T) {
	for _, kill := range []bool{false, true} {
		t.Run(fmt.Sprint("owner dies ", kill), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				c := newCell(t, gangBehaviour(2, 2*time.Second, worker.OutcomeFailed), "vm1", "vm2")
				ws := c.addWorkers(6, 4)
				v := c.waitForOwner()
				time.Sleep(5 * time.Second)
				c.submit(v, c.newWork("gang", gangStep(2)))
				time.Sleep(time.Second)
				for _, r := range c.cluster.History() {
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
				c.waitForState(c.waitForOwner(), "gang", job.WorkFailed, 40*time.Second)
				is.Equal(c.countRuns("gang"), 4)
				c.checkHistory()
			})
		})
	}
}

// Guards against remembering only one of two unreachable workers that may report the failure of a gang's run. If the
// other one reports it, the failure would not count and the gang would start once too often.
func TestFailureHeardLateOfEither(t *testing.T) {
	for attempt := range 8 { // the order in which the owner reaches the two workers varies
		t.Run(fmt.Sprint(attempt), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				c := newCell(t, gangBehaviour(3, 2*time.Second, worker.OutcomeFailed), "vm1")
				ws := c.addWorkers(6, 4)
				v := c.waitForOwner()
				time.Sleep(5 * time.Second)
				c.submit(v, c.newWork("gang", gangStep(3)))
				time.Sleep(time.Second)
				for _, r := range c.cluster.History() {
					for _, w := range ws {
						if r.Task.Index < 2 && r.Worker == w.Info().ID {
							w.SetFaults(floor.Faults{Unreachable: true})
						}
					}
				}
				time.Sleep(5 * time.Second)
				is.Equal(c.countRuns("gang"), 6) // a run that two workers may report counts once
				for _, w := range ws {
					w.SetFaults(floor.Faults{})
				}
				c.waitForState(v, "gang", job.WorkFailed, 40*time.Second)
				is.Equal(c.countRuns("gang"), 6)
				c.checkHistory()
			})
		})
	}
}

// Guards against restarting a gang on the worker where it failed. A worker that fails every task at once soon has the
// most free capacity, and would use up all attempts of the gang.
func TestGangAvoidsFailingWorker(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, func(worker.Task, int64) floor.Behaviour {
			return floor.Behaviour{Duration: time.Second, Ending: worker.OutcomeDone, GangSize: 2, MaxAttempts: 2, Resources: job.Resources{Millicores: 3000}}
		}, "vm1")
		ws := c.addWorkers(4, 8)
		ws[3].SetFaults(floor.Faults{FailRuns: true}) // chosen first among equal workers
		v := c.waitForOwner()
		time.Sleep(5 * time.Second)
		for i := range 4 {
			id := fmt.Sprint("gang", i)
			c.submit(v, c.newWork(id, gangStep(2)))
			c.waitForState(v, id, job.WorkCompleted, 10*time.Second)
		}
		failed := 0
		for _, r := range c.cluster.History() {
			if r.Ending == worker.OutcomeFailed {
				failed++
			}
		}
		is.True(failed <= 4) // at most one per gang
		c.checkHistory()
	})
}

// Guards against releasing the capacity that is set aside for a late gang during its permit request before the gang
// takes it: waiting checks, which are more urgent, would get it, and the gang would repeat its request for as long as
// checks come.
func TestSetAsideCapacityGoesToItsGang(t *testing.T) {
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
		c.config.Queues[0].Priority, c.config.Queues[0].Objective = 1, time.Millisecond
		c.config.Queues[0].Permit = &job.PermitCost{Base: 600 * time.Millisecond, PerWorker: 10 * time.Millisecond, Valid: 1500 * time.Millisecond}
		c.config.Queues = append(c.config.Queues, job.Queue{Name: "check", Pool: pool, MaxAttempts: 2, SlackFactor: 20, Objective: time.Minute})
		c.permits = func(req *permit.Request) ([]string, time.Duration) { return req.Workers, 620 * time.Millisecond }
		c.addWorkers(2, 4)
		v := c.waitForOwner()
		time.Sleep(5 * time.Second)
		submitCheck := func(id string, tasks int) { c.enqueue(v, "check", id, job.Step{Tasks: tasks, Estimate: time.Second}) }
		submitCheck("before", 8)
		submitted := time.Now()
		c.submit(v, c.newWork("gang", job.Step{
			Tasks: 2, Gang: true, Estimate: 2 * time.Second, TaskResources: job.Resources{Millicores: 4000, MemoryMB: 100},
		}))
		time.Sleep(5200 * time.Millisecond)
		for i := range 40 {
			submitCheck(fmt.Sprint("check", i), 1)
		}
		c.waitForState(v, "gang", job.WorkCompleted, 20*time.Second)
		for _, r := range c.cluster.History() {
			if r.Task.Work == "gang" {
				is.True(r.Started.Sub(submitted) < 6*time.Second)
			}
		}
		c.checkHistory()
	})
}

// Guards against sending the permit requests of a gang in a large cell one after the other, which takes most of the
// time until its deadline. The policy service answers one request per VM at a time; sent from several VMs at once, all
// of them take as long as one.
func TestGangAsksInParallel(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		var vms []string
		for i := range 16 {
			vms = append(vms, fmt.Sprintf("vm%02d", i))
		}
		c := newCell(t, gangBehaviour(40, time.Second, worker.OutcomeDone), vms...)
		c.config.Queues[0].Permit = &job.PermitCost{Base: 700 * time.Millisecond, PerWorker: 10 * time.Millisecond, Valid: 1500 * time.Millisecond}
		var mu sync.Mutex
		named := make(map[string]int)
		c.permits = func(req *permit.Request) ([]string, time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			var names []string
			for _, id := range req.Workers {
				named[id]++
				if len(named)%4 == 0 {
					names = append(names, id)
				}
			}
			return names, 700*time.Millisecond + time.Duration(len(req.Workers))*10*time.Millisecond
		}
		c.addWorkers(300, 4)
		v := c.waitForOwner()
		time.Sleep(time.Minute) // the owner syncs with its workers one by one
		start := time.Now()
		c.submit(v, c.newWork("gang", gangStep(40)))
		c.waitForState(v, "gang", job.WorkCompleted, 10*time.Second)
		is.True(time.Since(start) < 3*time.Second)
		for _, times := range named {
			is.Equal(times, 1)
		}
		c.checkHistory()
	})
}

// Guards against more urgent checks that keep filling the capacity that a gang waits for, because they prefer the
// fullest workers. While other workers have capacity for them, they must leave the workers that the gang waits for.
func TestChecksAvoidReservedCapacity(t *testing.T) {
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
		c.config.Queues[0].Priority, c.config.Queues[0].Objective = 1, 20*time.Second
		c.config.Queues[0].Permit = &job.PermitCost{Base: 200 * time.Millisecond, PerWorker: 10 * time.Millisecond, Valid: 1500 * time.Millisecond}
		c.config.Queues = append(c.config.Queues, job.Queue{Name: "check", Pool: pool, MaxAttempts: 2, SlackFactor: 4, Objective: time.Second})
		c.permits = func(*permit.Request) ([]string, time.Duration) {
			return []string{"w00", "w01"}, 240 * time.Millisecond
		}
		c.addWorkers(4, 4)
		v := c.waitForOwner()
		time.Sleep(5 * time.Second)
		submitCheck := func(i int) { c.enqueue(v, "check", fmt.Sprint("check", i), job.Step{Tasks: 1, Estimate: time.Second}) }
		c.submit(v, c.newWork("long", job.Step{Tasks: 2, MaxPerWorker: 1, Estimate: time.Minute}))
		time.Sleep(time.Second)
		for i := range 10 {
			submitCheck(i)
		}
		submitted := time.Now()
		c.submit(v, c.newWork("gang", job.Step{
			Tasks: 2, Gang: true, Estimate: 2 * time.Second, TaskResources: job.Resources{Millicores: 3000, MemoryMB: 100},
		}))
		for i := range 160 { // uses seven of sixteen cores
			submitCheck(100 + i)
			time.Sleep(140 * time.Millisecond)
		}
		started := time.Time{}
		for _, r := range c.cluster.History() {
			if r.Task.Work == "gang" {
				started = r.Started
			}
		}
		is.True(!started.IsZero())
		is.True(started.Sub(submitted) < 3*time.Second)
		c.checkHistory()
	})
}
