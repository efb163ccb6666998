package dispatch_test

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/permit"
	"turmericgap/standin/floor"
	"turmericgap/worker"
)

const (
	// rosterBase and rosterPerWorker are what a question costs, one worker in four is allowed.
	rosterBase      = 700 * time.Millisecond
	rosterPerWorker = 10 * time.Millisecond
	rosterSlack     = 2.2
	// expiryFactor objectives after it was handed in a roster is worth nothing any more.
	expiryFactor = 3
	// minServedShare is how much less often than all rosters a class of sizes may be served: half as often.
	minServedShare = 0.5
)

// roster is a work of the load, and what the judge needs to know of it.
type roster struct {
	work        *job.Work
	size        float64
	objective   time.Duration
	submittedAt time.Time
	step        time.Duration
}

// rosters makes a load of gangs whose widths and times vary as callers' do: many small ones, a few very large.
func rosters(c *cell, n int, seed uint64) []*roster {
	random := rand.New(rand.NewPCG(seed, seed))
	vary := func(mean, spread, most float64) float64 {
		return min(mean*math.Exp(spread*random.NormFloat64()-spread*spread/2), most)
	}
	list := make([]*roster, 0, n)
	for i := range n {
		step := job.Step{
			Tasks: max(1, int(math.Round(vary(8, 0.8, 24)))), Gang: true, TaskResources: job.Resources{Millicores: 4000, MemoryMB: 100},
			Estimate: time.Duration(vary(5000, 0.5, 14000)) * time.Millisecond,
		}
		w := c.work(fmt.Sprintf("roster%03d", i), step)
		if random.Float64() < 0.2 {
			step.DependsOn = []int{0}
			w.Steps = append(w.Steps, step)
		}
		r := &roster{work: w, step: step.Estimate}
		for range w.Steps {
			r.size += float64(step.Tasks) * 4 * step.Estimate.Seconds()
			r.objective += time.Duration(rosterSlack * float64(step.Estimate+rosterBase+30*rosterPerWorker))
		}
		r.objective += time.Second
		list = append(list, r)
	}
	return list
}

// singleTasks makes each roster one task of the same time.
func singleTasks(load []*roster) {
	for _, r := range load {
		r.work.Steps = []job.Step{{Tasks: 1, TaskResources: job.Resources{Millicores: 1000, MemoryMB: 100}, Estimate: r.step}}
		r.size = r.step.Seconds()
		r.objective = time.Duration(rosterSlack*float64(r.step)) + time.Second
	}
}

// allowQuarter allows one worker in four for each step.
func allowQuarter(q *permit.Request) ([]string, time.Duration) {
	var names []string
	for _, id := range q.Workers {
		h := fnv.New32a()
		fmt.Fprint(h, q.Work, q.Step, id)
		if h.Sum32()%4 == 0 {
			names = append(names, id)
		}
	}
	return names, rosterBase + time.Duration(len(q.Workers))*rosterPerWorker
}

// Callers hand in more rosters than the policy service can answer for, minutes long. The few questions that it
// answers go to the small ones, whose turn comes first; a large one's turn comes after its goal, and what is late
// stands behind all that can be in time. So hardly any large roster is done before it is worth nothing, while most of
// the others are. An owner that learns of this from works that were lost sees none for three objectives, a minute
// and more: "large: taken 13, inTime 0, late 0, lost 0, gangs wait for service 13" is what it knew after half a day,
// on which gangs waited 3,632 of 4,827 gang-seconds because no VM was free to ask the service, and 4 for room.
func TestEachClassOfSizesIsServed(t *testing.T) {
	for name, tenure := range map[string]time.Duration{"one owner": time.Hour, "an owner every 15 s": 15 * time.Second} {
		t.Run(name, func(t *testing.T) {
			for _, seed := range []uint64{1, 2, 3} {
				t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
					inBubble(t, func(t *testing.T) { (&overload{workers: 48, cores: 16, tenure: tenure, gangs: true}).run(t, seed) })
				})
			}
		})
	}
}

// members is how many tasks of a step must be present together.
func members(s *job.Step) int {
	if s.Gang {
		return s.Tasks
	}
	return 0
}

// Callers hand in single tasks for more time than the cell has, and one slot frees at a time. If each moment began
// with the smallest work, it alone would have the slot, and no large one would begin however the rest is ordered.
func TestEachClassOfSizesIsServedBySingleSlots(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inBubble(t, func(t *testing.T) { (&overload{workers: 14, cores: 1, tenure: time.Hour}).run(t, seed) })
		})
	}
}

// overload is more work than room, or than the policy service answers for.
type overload struct {
	workers int
	cores   int64
	// tenure is how long each owner has the cell.
	tenure time.Duration
	// gangs says that works are gangs that need permits; the others are single tasks.
	gangs bool
}

const (
	perSecond, seconds = 4, 160
	readEvery          = 60 // seconds; what has ended is forgotten after two minutes
)

func (o *overload) run(t *testing.T, seed uint64) {
	byID := make(map[string]*roster)
	vms := []string{"vm1", "vm2", "vm3", "vm4", "vm5", "vm6", "vm7", "vm8"}
	c := newCell(t, func(task worker.Task, _ int64) floor.Behaviour {
		r := byID[task.Work]
		s := &r.work.Steps[task.Step]
		return floor.Behaviour{Duration: r.step, Ending: worker.OutcomeDone, Resources: s.TaskResources, GangSize: members(s)}
	}, vms...)
	c.config.Queues[0].SlackFactor = rosterSlack
	if o.gangs {
		c.config.Queues[0].Permit = &job.PermitCost{Base: rosterBase, PerWorker: rosterPerWorker}
		c.permits = allowQuarter
	}
	load := rosters(c, perSecond*seconds, seed)
	if !o.gangs {
		singleTasks(load)
	}
	for _, r := range load {
		byID[r.work.ID] = r
	}
	c.workers(o.workers, o.cores)
	v := c.owner()
	time.Sleep(6 * time.Second)
	owned, ended := time.Now(), make(map[string]time.Time)
	for i, r := range load {
		if i%(perSecond*readEvery) == 0 {
			maps.Copy(ended, c.endedAt())
		}
		if time.Since(owned) > o.tenure {
			c.kill(v)
			next := c.successor(v)
			c.boot(v.id)
			v, owned = next, time.Now()
		}
		r.submittedAt, r.work.Accepted = time.Now(), time.Now()
		c.submit(v, r.work)
		time.Sleep(time.Second / perSecond)
	}
	maps.Copy(ended, c.endedAt())
	checkClasses(t, load, ended, time.Now())
	c.checkHistory()
	for _, v := range c.vms {
		c.kill(v)
	}
	time.Sleep(5 * time.Second) // questions under way have ended
}

// checkClasses fails the test if a class of sizes is served less than half as often as all, of the rosters that the
// overload outlasts: after it everybody is served.
func checkClasses(t *testing.T, load []*roster, ended map[string]time.Time, end time.Time) {
	t.Helper()
	is := is.NewRelaxed(t)
	load = slices.DeleteFunc(load, func(r *roster) bool {
		return r.submittedAt.Add(expiryFactor * r.objective).After(end)
	})
	served := func(part []*roster) float64 {
		n := 0
		for _, r := range part {
			if at, ok := ended[r.work.ID]; ok && at.Sub(r.submittedAt) <= expiryFactor*r.objective {
				n++
			}
		}
		return float64(n) / float64(len(part))
	}
	slices.SortFunc(load, func(a, b *roster) int { return cmp.Compare(a.size, b.size) })
	all := served(load)
	for name, part := range map[string][]*roster{
		"the largest tenth": load[len(load)*9/10:], "the fifth below it": load[len(load)*7/10 : len(load)*9/10],
	} {
		share := served(part)
		t.Logf("of %s %.2f were served, of all %d %.2f", name, share, len(load), all)
		is.True(share >= minServedShare*all)
	}
}
