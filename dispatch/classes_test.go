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
	// A permit request for n workers takes rosterPermitBase plus n times rosterPermitPerWorker.
	rosterPermitBase      = 700 * time.Millisecond
	rosterPermitPerWorker = 10 * time.Millisecond
	rosterSlack           = 2.2 // slack factor of the queue
	// expiryFactor is the number of objectives after its submission at which a roster expires.
	expiryFactor = 3
	// minServedShare is the lowest allowed ratio of the served share of a size class to that of all rosters.
	minServedShare = 0.5
)

// roster is a work of the load, with what checkClasses needs to judge it.
type roster struct {
	work         *job.Work
	size         float64
	objective    time.Duration
	submittedAt  time.Time
	taskDuration time.Duration
}

// newRosters returns gangs with log-normal widths and run times: many small ones, a few very large.
func newRosters(c *cell, n int, seed uint64) []*roster {
	random := rand.New(rand.NewPCG(seed, seed))
	sample := func(mean, sigma, limit float64) float64 {
		return min(mean*math.Exp(sigma*random.NormFloat64()-sigma*sigma/2), limit)
	}
	list := make([]*roster, 0, n)
	for i := range n {
		step := job.Step{
			Tasks: max(1, int(math.Round(sample(8, 0.8, 24)))), Gang: true, TaskResources: job.Resources{Millicores: 4000, MemoryMB: 100},
			Estimate: time.Duration(sample(5000, 0.5, 14000)) * time.Millisecond,
		}
		w := c.newWork(fmt.Sprintf("roster%03d", i), step)
		if random.Float64() < 0.2 {
			step.DependsOn = []int{0}
			w.Steps = append(w.Steps, step)
		}
		r := &roster{work: w, taskDuration: step.Estimate}
		for range w.Steps {
			r.size += float64(step.Tasks) * 4 * step.Estimate.Seconds()
			r.objective += time.Duration(rosterSlack * float64(step.Estimate+rosterPermitBase+30*rosterPermitPerWorker))
		}
		r.objective += time.Second
		list = append(list, r)
	}
	return list
}

// toSingleTasks replaces the steps of each roster with a single task of the same duration.
func toSingleTasks(load []*roster) {
	for _, r := range load {
		r.work.Steps = []job.Step{{Tasks: 1, TaskResources: job.Resources{Millicores: 1000, MemoryMB: 100}, Estimate: r.taskDuration}}
		r.size = r.taskDuration.Seconds()
		r.objective = time.Duration(rosterSlack*float64(r.taskDuration)) + time.Second
	}
}

// allowQuarter allows each step about one worker in four, after the time that the request costs.
func allowQuarter(req *permit.Request) ([]string, time.Duration) {
	var names []string
	for _, id := range req.Workers {
		h := fnv.New32a()
		fmt.Fprint(h, req.Work, req.Step, id)
		if h.Sum32()%4 == 0 {
			names = append(names, id)
		}
	}
	return names, rosterPermitBase + time.Duration(len(req.Workers))*rosterPermitPerWorker
}

// Guards against starving large rosters when callers submit more than the policy service can answer for. Its few
// answers go to small rosters; a large one gets its permit request after its deadline, ranks behind all work that can
// still be on time, and expires. Gangs then wait mostly for a VM that is free to send their request, hardly ever for
// capacity. The owner must not rely on expired works to see this: a new owner sees none for three objectives, more than
// a minute.
func TestEachClassOfSizesIsServed(t *testing.T) {
	for name, tenure := range map[string]time.Duration{"one owner": time.Hour, "an owner every 15 s": 15 * time.Second} {
		t.Run(name, func(t *testing.T) {
			for _, seed := range []uint64{1, 2, 3} {
				t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
					inBubble(t,
						func(t *testing.T) { (&overload{workers: 48, cores: 16, ownerTenure: tenure, gangs: true}).run(t, seed) })
				})
			}
		})
	}
}

// requiredGangSize returns how many tasks of a step must be present together, zero for a step that is no gang.
func requiredGangSize(s *job.Step) int {
	if s.Gang {
		return s.Tasks
	}
	return 0
}

// Guards against starving large works when more single tasks are submitted than the cell can run and one slot frees up
// at a time: if every pass began with the smallest work, it would always get the slot, however the rest is ordered.
func TestEachClassOfSizesIsServedBySingleSlots(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inBubble(t, func(t *testing.T) { (&overload{workers: 14, cores: 1, ownerTenure: time.Hour}).run(t, seed) })
		})
	}
}

// overload is a load that exceeds the capacity of the workers or of the policy service.
type overload struct {
	workers int
	cores   int64
	// ownerTenure is how long each VM owns the cell before it is killed.
	ownerTenure time.Duration
	// gangs submits gangs that need permits instead of single tasks.
	gangs bool
}

const (
	submitPerSecond, loadSeconds = 4, 160
	readEverySeconds             = 60 // below the retention of ended works, two minutes
)

func (o *overload) run(t *testing.T, seed uint64) {
	byID := make(map[string]*roster)
	vms := []string{"vm1", "vm2", "vm3", "vm4", "vm5", "vm6", "vm7", "vm8"}
	c := newCell(t, func(task worker.Task, _ int64) floor.Behaviour {
		r := byID[task.Work]
		s := &r.work.Steps[task.Step]
		return floor.Behaviour{Duration: r.taskDuration, Ending: worker.OutcomeDone, Resources: s.TaskResources, GangSize: requiredGangSize(s)}
	}, vms...)
	c.config.Queues[0].SlackFactor = rosterSlack
	if o.gangs {
		c.config.Queues[0].Permit = &job.PermitCost{Base: rosterPermitBase, PerWorker: rosterPermitPerWorker}
		c.permits = allowQuarter
	}
	load := newRosters(c, submitPerSecond*loadSeconds, seed)
	if !o.gangs {
		toSingleTasks(load)
	}
	for _, r := range load {
		byID[r.work.ID] = r
	}
	c.addWorkers(o.workers, o.cores)
	v := c.waitForOwner()
	time.Sleep(6 * time.Second)
	ownedSince, ended := time.Now(), make(map[string]time.Time)
	for i, r := range load {
		if i%(submitPerSecond*readEverySeconds) == 0 {
			maps.Copy(ended, c.endTimes())
		}
		if time.Since(ownedSince) > o.ownerTenure {
			c.kill(v)
			next := c.waitForSuccessor(v)
			c.startVM(v.id)
			v, ownedSince = next, time.Now()
		}
		r.submittedAt, r.work.Accepted = time.Now(), time.Now()
		c.submit(v, r.work)
		time.Sleep(time.Second / submitPerSecond)
	}
	maps.Copy(ended, c.endTimes())
	checkClasses(t, load, ended, time.Now())
	c.checkHistory()
	for _, v := range c.vms {
		c.kill(v)
	}
	time.Sleep(5 * time.Second) // lets permit requests in flight end
}

// checkClasses fails the test if a size class is served less than minServedShare as often as all rosters. Rosters that
// expire after end are left out: once the overload is over, everything is served.
func checkClasses(t *testing.T, load []*roster, ended map[string]time.Time, end time.Time) {
	t.Helper()
	is := is.NewRelaxed(t)
	load = slices.DeleteFunc(load, func(r *roster) bool {
		return r.submittedAt.Add(expiryFactor * r.objective).After(end)
	})
	served := func(class []*roster) float64 {
		n := 0
		for _, r := range class {
			if at, ok := ended[r.work.ID]; ok && at.Sub(r.submittedAt) <= expiryFactor*r.objective {
				n++
			}
		}
		return float64(n) / float64(len(class))
	}
	slices.SortFunc(load, func(a, b *roster) int { return cmp.Compare(a.size, b.size) })
	all := served(load)
	for name, class := range map[string][]*roster{
		"the largest tenth": load[len(load)*9/10:], "the fifth below it": load[len(load)*7/10 : len(load)*9/10],
	} {
		share := served(class)
		t.Logf("%s: %.2f served; all %d: %.2f served", name, share, len(load), all)
		is.True(share >= minServedShare*all)
	}
}
