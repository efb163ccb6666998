//go:build !race

package dispatch_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"turmericgap/job"
	"turmericgap/permit"
	"turmericgap/standin/floor"
	"turmericgap/worker"
)

// Guards against starving large works in a crowded cell: their gangs rarely find enough free capacity at once. Unless
// they can reserve it, they wait for as long as small works keep coming.
func TestLargeWorksAreServedInACrowdedCell(t *testing.T) {
	for name, k := range map[string]struct {
		tenure time.Duration
		seed   uint64
	}{
		"one owner, seed 4":           {time.Hour, 4},
		"one owner, seed 7":           {time.Hour, 7},
		"an owner every 15 s, seed 4": {15 * time.Second, 4},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) { runCrowded(t, k.tenure, k.seed) })
		})
	}
}

const (
	crowdedWorkers, crowdedCores = 60, 16
	// crowdedDuration is how long work is submitted, longer than three objectives of the largest roster.
	crowdedDuration = 130 * time.Second
	// A permit request for n workers takes crowdedPermitBase plus n times crowdedPermitPerWorker.
	crowdedPermitBase      = 250 * time.Millisecond
	crowdedPermitPerWorker = 5 * time.Millisecond
)

// arrival is a work and the time of its submission since the start of the load.
type arrival struct {
	at   time.Duration
	work *job.Work
}

// newOtherLoad returns the batches and checks that compete with the rosters, with exponential interarrival times.
func newOtherLoad(c *cell, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	var list []arrival
	stream := func(queue string, interval time.Duration, tasks int, millicores int64, taskDuration time.Duration) {
		for at := time.Duration(0); at < crowdedDuration; at += time.Duration(float64(interval) * random.ExpFloat64()) {
			step := job.Step{Tasks: 1 + random.IntN(2*tasks-1), TaskResources: job.Resources{Millicores: millicores, MemoryMB: 100}, Estimate: time.Duration(float64(taskDuration) * (0.5 + random.Float64()))}
			w := c.newWork(fmt.Sprint(queue, len(list)), step)
			w.Queue = *c.config.QueueByName(queue)
			list = append(list, arrival{at, w})
		}
	}
	stream("check", 80*time.Millisecond, 6, 2500, time.Second)
	stream("batch", 250*time.Millisecond, 12, 1700, 3400*time.Millisecond)
	return list
}

// rosterInterval is the time between two rosters.
const rosterInterval = 150 * time.Millisecond

// runCrowded submits rosters, batches and checks, replaces the owner after each tenure, and checks that each size class
// is served.
func runCrowded(t *testing.T, tenure time.Duration, seed uint64) {
	byID := make(map[string]*job.Work)
	c := newCrowdedCell(t, byID)
	load := newRosters(c, int(crowdedDuration/rosterInterval), seed)
	list := newOtherLoad(c, seed)
	for i, r := range load {
		list = append(list, arrival{time.Duration(i) * rosterInterval, r.work})
	}
	for _, a := range list {
		byID[a.work.ID] = a.work
	}
	slices.SortStableFunc(list, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	ended := c.submitAll(list, tenure)
	for _, r := range load {
		r.submittedAt = r.work.Accepted
	}
	checkClasses(t, load, ended, time.Now())
	c.checkHistory()
	for _, v := range c.vms {
		c.kill(v)
	}
	time.Sleep(5 * time.Second) // lets permit requests in flight end
}

// newCrowdedCell returns a cell with a queue of gangs that need permits, one of urgent checks and one of low-priority
// batches. Its workers run the works in byID.
func newCrowdedCell(t *testing.T, byID map[string]*job.Work) *cell {
	var vms []string
	for i := range 12 {
		vms = append(vms, fmt.Sprint("vm", i))
	}
	c := newCell(t, func(task worker.Task, _ int64) floor.Behaviour {
		s := &byID[task.Work].Steps[task.Step]
		return floor.Behaviour{Duration: s.Estimate, Ending: worker.OutcomeDone, Resources: s.TaskResources, GangSize: requiredGangSize(s)}
	}, vms...)
	roster := &c.config.Queues[0]
	roster.Priority, roster.SlackFactor = 1, rosterSlack
	roster.Permit = &job.PermitCost{Base: crowdedPermitBase, PerWorker: crowdedPermitPerWorker}
	c.config.Queues = append(c.config.Queues,
		job.Queue{Name: "check", Pool: pool, Priority: 0, MaxAttempts: 2, SlackFactor: 1.5, Objective: 250 * time.Millisecond},
		job.Queue{Name: "batch", Pool: pool, Priority: 2, MaxAttempts: 2, SlackFactor: 4, Objective: 3 * time.Second})
	c.permits = func(req *permit.Request) ([]string, time.Duration) {
		names, _ := allowQuarter(req)
		return names, crowdedPermitBase + time.Duration(len(req.Workers))*crowdedPermitPerWorker
	}
	c.addWorkers(crowdedWorkers, crowdedCores)
	return c
}

// submitAll submits each work when it is due, kills the owner after each tenure, and returns when the works ended.
func (c *cell) submitAll(list []arrival, tenure time.Duration) map[string]time.Time {
	v := c.waitForOwner()
	time.Sleep(6 * time.Second)
	start, ownedSince, lastRead := time.Now(), time.Now(), time.Now()
	ended := make(map[string]time.Time)
	for _, a := range list {
		time.Sleep(a.at - time.Since(start))
		if time.Since(lastRead) > readEverySeconds*time.Second {
			maps.Copy(ended, c.endTimes())
			lastRead = time.Now()
		}
		if time.Since(ownedSince) > tenure {
			c.kill(v)
			next := c.waitForSuccessor(v)
			c.startVM(v.id)
			v, ownedSince = next, time.Now()
		}
		a.work.Accepted = time.Now()
		c.submit(v, a.work)
	}
	maps.Copy(ended, c.endTimes())
	return ended
}
