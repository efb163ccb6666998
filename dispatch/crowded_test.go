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

// Guards against large works that are served less than half as often as all for as long as a cell is crowded, because
// their gangs find no hole by chance and may not gather room.
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
	// crowdedFor is how long callers come, longer than three objectives of the largest roster.
	crowdedFor = 130 * time.Second
	// crowdedBase and crowdedPerWorker are what a question of a roster costs.
	crowdedBase      = 250 * time.Millisecond
	crowdedPerWorker = 5 * time.Millisecond
)

// arrival is a work and when it is handed in.
type arrival struct {
	at   time.Duration
	work *job.Work
}

// otherLoad makes the batches and checks that take room beside the rosters.
func otherLoad(c *cell, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	var list []arrival
	stream := func(queue string, every time.Duration, tasks int, millicores int64, takes time.Duration) {
		for at := time.Duration(0); at < crowdedFor; at += time.Duration(float64(every) * random.ExpFloat64()) {
			step := job.Step{Tasks: 1 + random.IntN(2*tasks-1), TaskResources: job.Resources{Millicores: millicores, MemoryMB: 100}, Estimate: time.Duration(float64(takes) * (0.5 + random.Float64()))}
			w := c.work(fmt.Sprint(queue, len(list)), step)
			w.Queue = *c.config.QueueByName(queue)
			list = append(list, arrival{at, w})
		}
	}
	stream("check", 80*time.Millisecond, 6, 2500, time.Second)
	stream("batch", 250*time.Millisecond, 12, 1700, 3400*time.Millisecond)
	return list
}

// rosterEvery is the pause between two rosters.
const rosterEvery = 150 * time.Millisecond

// runCrowded plays rosters, batches and checks against owners of that tenure, and judges what became of the rosters.
func runCrowded(t *testing.T, tenure time.Duration, seed uint64) {
	byID := make(map[string]*job.Work)
	c := crowdedCell(t, byID)
	load := rosters(c, int(crowdedFor/rosterEvery), seed)
	list := otherLoad(c, seed)
	for i, r := range load {
		list = append(list, arrival{time.Duration(i) * rosterEvery, r.work})
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
	time.Sleep(5 * time.Second) // questions under way have ended
}

// crowdedCell is a cell with a queue of gangs that need permits, one of urgent checks and one of patient batches; its
// workers run what byID holds.
func crowdedCell(t *testing.T, byID map[string]*job.Work) *cell {
	var vms []string
	for i := range 12 {
		vms = append(vms, fmt.Sprint("vm", i))
	}
	c := newCell(t, func(task worker.Task, _ int64) floor.Behaviour {
		s := &byID[task.Work].Steps[task.Step]
		return floor.Behaviour{Duration: s.Estimate, Ending: worker.OutcomeDone, Resources: s.TaskResources, GangSize: members(s)}
	}, vms...)
	roster := &c.config.Queues[0]
	roster.Priority, roster.SlackFactor = 1, rosterSlack
	roster.Permit = &job.PermitCost{Base: crowdedBase, PerWorker: crowdedPerWorker}
	c.config.Queues = append(c.config.Queues,
		job.Queue{Name: "check", Pool: pool, Priority: 0, MaxAttempts: 2, SlackFactor: 1.5, TargetDuration: 250 * time.Millisecond},
		job.Queue{Name: "batch", Pool: pool, Priority: 2, MaxAttempts: 2, SlackFactor: 4, TargetDuration: 3 * time.Second})
	c.permits = func(q *permit.Request) ([]string, time.Duration) {
		names, _ := allowQuarter(q)
		return names, crowdedBase + time.Duration(len(q.Workers))*crowdedPerWorker
	}
	c.workers(crowdedWorkers, crowdedCores)
	return c
}

// submitAll hands in works when their time has come, to an owner that is replaced after each tenure, and gives when they
// ended.
func (c *cell) submitAll(list []arrival, tenure time.Duration) map[string]time.Time {
	v := c.owner()
	time.Sleep(6 * time.Second)
	began, owned, read := time.Now(), time.Now(), time.Now()
	ended := make(map[string]time.Time)
	for _, a := range list {
		time.Sleep(a.at - time.Since(began))
		if time.Since(read) > readEvery*time.Second {
			maps.Copy(ended, c.endedAt())
			read = time.Now()
		}
		if time.Since(owned) > tenure {
			c.kill(v)
			next := c.successor(v)
			c.boot(v.id)
			v, owned = next, time.Now()
		}
		a.work.Accepted = time.Now()
		c.submit(v, a.work)
	}
	maps.Copy(ended, c.endedAt())
	return ended
}
