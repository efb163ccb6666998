package planner

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"turmericgap/job"
	"turmericgap/rule"
	"turmericgap/rule/standard"
	"turmericgap/worker"
)

// A fixed seed makes the property tests reproducible.
func init() { _ = flag.Set("rapid.seed", "1") }

var startTime = time.Unix(1_800_000_000, 0)

func newSpec(class string, tasks int, millicores int64) *job.Submission {
	return &job.Submission{
		Key: class, Team: "desk", Class: class, Kind: job.Batch, Tasks: tasks, Repeatable: true, RunSeconds: 60,
		TaskResources: job.Resources{Millicores: millicores, MemoryMB: 1000},
	}
}

func newWorker(i int, millicores int64) worker.Info {
	return worker.Info{
		ID: fmt.Sprintf("vm%d", i), Zone: fmt.Sprintf("zone%d", i%2), Rack: fmt.Sprintf("rack%d", i%4),
		Has: job.Resources{Millicores: millicores, MemoryMB: 64000},
	}
}

// cell is a planner with equal workers that checks the plans it makes.
type cell struct {
	*Planner
	now       time.Time
	capacity  map[string]job.Resources
	used      map[string]job.Resources
	closed    map[string]bool
	specs     map[string]*job.Submission
	running   map[string]Start
	unstarted map[string]int
	victims   []Preemption
	// stopDivisor sets the fraction of the victims that stop per plan, 1/stopDivisor. peakFactor is the peak usage as a
	// multiple of the declared resources.
	stopDivisor int
	peakFactor  int
}

func newCell(workers int, millicores int64, opts ...Option) *cell {
	c := &cell{
		Planner: New(append([]Option{Rules(standard.List())}, opts...)...), now: startTime,
		capacity: map[string]job.Resources{}, used: map[string]job.Resources{}, closed: map[string]bool{},
		specs: map[string]*job.Submission{}, running: map[string]Start{},
		unstarted: map[string]int{}, stopDivisor: 1, peakFactor: 1,
	}
	for i := range workers {
		c.capacity[newWorker(i, 0).ID] = newWorker(i, millicores).Has
		c.SetWorker(startTime, newWorker(i, millicores), true, false)
	}
	return c
}

func (c *cell) add(id string, s *job.Submission) Decision {
	j := &Job{ID: id, Spec: s, Accepted: c.now}
	if d := c.Admit(c.now, j); d.RefusalReason != "" {
		return d
	}
	c.specs[id], c.unstarted[id] = s, s.Tasks
	return c.Add(c.now, j)
}

// checkPlan returns the first invariant that a plan violates, or "".
func (c *cell) checkPlan(p Plan) string {
	gangs := map[string]int{}
	for _, s := range p.Starts {
		k := fmt.Sprint(s.Job, "/", s.Task)
		if _, ok := c.running[k]; ok {
			return k + " runs twice"
		}
		c.running[k] = s
		c.unstarted[s.Job]--
		c.used[s.Worker] = c.used[s.Worker].Plus(c.specs[s.Job].TaskResources)
		if !c.used[s.Worker].FitsIn(c.capacity[s.Worker]) {
			return s.Worker + " is overcommitted"
		}
		if c.closed[s.Worker] {
			return s.Worker + " is closed"
		}
		if c.specs[s.Job].Gang {
			gangs[s.Job]++
		}
	}
	for id := range gangs {
		if c.unstarted[id] != 0 {
			return "gang " + id + " started in part"
		}
	}
	return ""
}

func (c *cell) end(k string, requeue bool) {
	s := c.running[k]
	delete(c.running, k)
	c.used[s.Worker] = c.used[s.Worker].Minus(c.specs[s.Job].TaskResources)
	if requeue {
		c.unstarted[s.Job]++
	}
	c.Release(c.now, s.Job, s.Task,
		AttemptResult{Completed: !requeue, Requeue: requeue, RunTime: time.Minute, PeakUsage: c.specs[s.Job].TaskResources.Times(c.peakFactor)})
}

// applyPlan checks a plan and stops some of the victims; the others stop with later plans.
func (c *cell) applyPlan(p Plan) string {
	violation := c.checkPlan(p)
	c.victims = append(c.victims, p.Preemptions...)
	stops := (len(c.victims) + c.stopDivisor - 1) / c.stopDivisor
	for _, v := range c.victims[:stops] {
		if k := fmt.Sprint(v.Job, "/", v.Task); c.running[k].Worker != "" {
			c.end(k, true)
		}
	}
	c.victims = c.victims[stops:]
	return violation
}

func drawJob(t *rapid.T, i int) *job.Submission {
	s := newSpec(rapid.SampledFrom([]string{"roster", "booking", "certificate", "other"}).Draw(t, "class"),
		rapid.IntRange(1, 6).Draw(t, "tasks"), int64(rapid.IntRange(1, 16).Draw(t, "cores"))*500)
	s.Team = fmt.Sprintf("team%d", i%3)
	s.Gang, s.Urgent = rapid.Bool().Draw(t, "gang"), rapid.IntRange(0, 5).Draw(t, "urgent") == 0
	s.Repeatable = rapid.Bool().Draw(t, "repeatable")
	return s
}

// Checks the invariants of plans under any sequence of arrivals, ends, preemptions and worker changes: no worker is
// overcommitted, no gang starts in part, no task runs twice, and every task starts eventually.
func TestPromisesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCell(6, 8000, Quotas(map[string]job.Resources{"team1": {Millicores: 8000, MemoryMB: 64000}}))
		c.stopDivisor, c.peakFactor = 2, 2
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			c.now = c.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			id := newWorker(rapid.IntRange(0, 5).Draw(t, "worker"), 8000)
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2:
				c.add(fmt.Sprint("job", i), drawJob(t, i))
			case 3, 4:
				if keys := runningKeys(c); len(keys) > 0 {
					c.end(rapid.SampledFrom(keys).Draw(t, "ends"), rapid.Bool().Draw(t, "requeue"))
				}
			case 5:
				c.closed[id.ID] = !c.closed[id.ID]
				c.SetWorker(c.now, id, !c.closed[id.ID], false)
			case 6:
				// The worker leaves the VM list and returns while its tasks keep running.
				c.RemoveWorker(id.ID)
				c.SetWorker(c.now, id, !c.closed[id.ID], false)
			}
			if violation := c.applyPlan(c.Next(c.now, 8)); violation != "" {
				t.Fatal(violation)
			}
		}
		for i := range 6 {
			c.closed[newWorker(i, 0).ID] = false
			c.SetWorker(c.now, newWorker(i, 8000), true, false)
		}
		for range 2000 {
			c.now = c.now.Add(10 * time.Second)
			if violation := c.applyPlan(c.Next(c.now, 8)); violation != "" {
				t.Fatal(violation)
			}
			if keys := runningKeys(c); len(keys) > 0 {
				c.end(keys[0], false)
			}
		}
		if s := c.Stats(c.now); len(s.Pending) > 0 || s.Running > 0 || (s.Used != job.Resources{}) ||
			len(c.jobs) > 0 || len(c.ruleCounts) > 0 {
			t.Fatalf("left over: %+v, jobs %d, rules %d", s, len(c.jobs), len(c.ruleCounts))
		}
	})
}

func runningKeys(c *cell) []string {
	var keys []string
	for _, t := range c.Planner.running {
		keys = append(keys, fmt.Sprint(t.entry.id, "/", t.index))
	}
	return keys
}

// Checks that checkPlan detects each kind of violation; otherwise TestPromisesHold would prove nothing.
func TestJudgeCatchesPlantedViolations(t *testing.T) {
	gang := newSpec("roster", 2, 1000)
	gang.Gang = true
	for want, starts := range map[string][]Start{
		"vm0 is overcommitted":   {{Job: "a", Worker: "vm0"}, {Job: "a", Task: 1, Worker: "vm0"}},
		"a/0 runs twice":         {{Job: "a", Worker: "vm0"}, {Job: "a", Worker: "vm1"}},
		"vm1 is closed":          {{Job: "a", Worker: "vm1"}},
		"gang g started in part": {{Job: "g", Worker: "vm0"}},
	} {
		is := is.New(t)
		c := newCell(2, 8000)
		c.closed["vm1"] = want == "vm1 is closed"
		c.add("a", newSpec("roster", 2, 6000))
		c.add("g", gang)
		is.Equal(c.checkPlan(Plan{Starts: starts}), want)
	}
}

// An urgent job arrives in a full cell. The same call must preempt repeatable tasks, and the urgent job starts when
// they have stopped. Services and tasks that are not repeatable keep running.
func TestUrgentPreemptsRepeatableTasks(t *testing.T) {
	is := is.New(t)
	c := newCell(3, 8000)
	service := newSpec("desk", 1, 8000)
	service.Kind = job.Service
	once := newSpec("other", 4, 2000) // Started after the rosters, so preempting it would lose the least work.
	once.Repeatable = false
	c.add("service", service)
	c.add("roster", newSpec("roster", 4, 2000))
	is.Equal(c.applyPlan(c.Next(c.now, 16)), "")
	c.now = c.now.Add(time.Minute)
	c.add("once", once)
	is.Equal(c.applyPlan(c.Next(c.now, 16)), "")
	is.Equal(len(c.running), 9)
	c.now = c.now.Add(time.Second)
	urgent := newSpec("alarm", 1, 4000)
	urgent.Urgent = true
	c.add("urgent", urgent)
	c.add("small", newSpec("booking", 8, 500)) // Must not use the capacity freed by the victims.
	plan := c.Next(c.now, 8)
	is.Equal(len(plan.Starts), 0)
	is.Equal(len(plan.Preemptions), 2)
	for _, v := range plan.Preemptions {
		is.Equal(v.Job, "roster")
		is.Equal(v.ForJob, "urgent")
	}
	c.now = c.now.Add(1500 * time.Millisecond)
	c.applyPlan(plan)
	plan = c.Next(c.now, 1)
	is.Equal(plan.Starts[0].Job, "urgent")
	is.True(plan.Starts[0].Waited <= 4700*time.Millisecond)
}

// One team has borrowed the whole cell when another submits work within its quota. After reclaimDelay borrowed
// tasks are preempted, and no more of them than needed.
func TestBorrowedCapacityIsReclaimed(t *testing.T) {
	is := is.New(t)
	half := job.Resources{Millicores: 16000, MemoryMB: 128000}
	c := newCell(4, 8000, Quotas(map[string]job.Resources{"desk": half, "lender": half}))
	c.add("loan", newSpec("other", 16, 2000))
	is.Equal(c.applyPlan(c.Next(c.now, 32)), "")
	is.Equal(len(c.running), 16)
	own := newSpec("other", 8, 2000)
	own.Team = "lender"
	c.add("own", own)
	is.Equal(len(c.Next(c.now, 32).Preemptions), 0)
	c.now = c.now.Add(reclaimDelay)
	plan := c.Next(c.now, 32)
	is.Equal(len(plan.Preemptions), 8)
	c.applyPlan(plan)
	plan = c.Next(c.now, 32)
	is.Equal(len(plan.Starts), 8)
	for _, s := range plan.Starts {
		is.Equal(s.Job, "own")
	}
}

// Small tasks of the same priority arrive without end and take every freed core, so that a larger task never starts
// without a reservation. A task that needs a whole worker gets one soon, a smaller one once it is late.
func TestLargerTasksAreNotStarved(t *testing.T) {
	for _, millicores := range []int64{8000, 3000} {
		t.Run(fmt.Sprint(millicores), func(t *testing.T) {
			is := is.New(t)
			c := newCell(2, 8000)
			c.add("small0", newSpec("roster", 16, 1000))
			c.applyPlan(c.Next(c.now, 32))
			c.add("larger", newSpec("roster", 1, millicores))
			for i := 1; i < 2000; i++ {
				c.now = c.now.Add(10 * time.Second)
				c.add(fmt.Sprint("small", i), newSpec("roster", 2, 1000))
				if keys := runningKeys(c); len(keys) > 0 {
					c.end(keys[i%len(keys)], false)
				}
				plan := c.Next(c.now, 32)
				is.Equal(c.applyPlan(plan), "")
				for _, s := range plan.Starts {
					if s.Job == "larger" {
						return
					}
				}
			}
			t.Fatal("the larger task never started")
		})
	}
}

// A gang must be preempted as a whole: if only some of its tasks stopped, the others could not make progress but would
// still occupy their workers.
func TestGangIsPreemptedWhole(t *testing.T) {
	is := is.New(t)
	c := newCell(4, 8000)
	gang := newSpec("other", 2, 8000)
	gang.Gang = true
	c.add("gang0", gang)
	c.add("gang1", gang)
	is.Equal(c.applyPlan(c.Next(c.now, 8)), "")
	urgent := newSpec("alarm", 1, 4000)
	urgent.Urgent = true
	c.add("urgent", urgent)
	plan := c.Next(c.now, 8)
	is.Equal(len(plan.Preemptions), 2)
	is.Equal(plan.Preemptions[0].Job, plan.Preemptions[1].Job)
	// One task has stopped and the other has not: the first must not restart alone.
	c.end(fmt.Sprint(plan.Preemptions[0].Job, "/", plan.Preemptions[0].Task), true)
	c.SetWorker(c.now, newWorker(4, 8000), true, false)
	next := c.Next(c.now, 8)
	is.Equal(len(next.Starts), 1)
	is.Equal(next.Starts[0].Job, "urgent")
}

// A recovering owner releases tasks that ended earlier, without knowing their run time, which must not be learned.
func TestUnknownRunTimesAreNotLearned(t *testing.T) {
	is := is.New(t)
	c := newCell(1, 8000)
	c.add("a", newSpec("roster", 2, 1000))
	for i, ran := range []time.Duration{0, time.Minute} {
		c.MarkRunning("a", i, "vm0")
		c.Release(c.now, "a", i, AttemptResult{Completed: true, RunTime: ran})
		is.Equal(c.learner.Classes(), i)
	}
}

func TestAdmit(t *testing.T) {
	gang := newSpec("roster", 9, 4000)
	gang.Gang = true
	pinned := newSpec("roster", 1, 1000)
	pinned.Zone = "zone9"
	for name, s := range map[string]*job.Submission{
		"task fits no worker": newSpec("roster", 1, 9000), "gang fits no zone": gang, "zone has no worker": pinned,
		"queue is full": newSpec("roster", 11, 1000),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(4, 8000, MaxPending(10))
			d := c.Admit(startTime, &Job{ID: "x", Spec: s, Accepted: startTime})
			is.True(d.RefusalReason != "")
			is.Equal(d.RetryAfter > 0, name == "queue is full")
		})
	}
}

// New rules must apply to jobs that already wait, or a long queue would be processed under the old rules.
func TestNewRulesGovernWhatWaits(t *testing.T) {
	is := is.New(t)
	c := newCell(1, 1000)
	c.add("first", newSpec("a", 1, 1000))
	c.add("second", newSpec("b", 1, 1000))
	l, err := rule.Parse([]byte(`{"version":1,"rules":[{"id":"b","when":"class == \"b\"","then":[{"kind":"queue","with":{"priority":4}}]}]}`))
	is.NoErr(err)
	c.SetRules(l)
	is.Equal(c.Next(c.now, 1).Starts[0].Job, "second")
	x := c.Explain(c.now, "first")
	is.Equal(x.Rules.Results[0].FieldValues, `class is "a"`)
	is.True(x.WaitsFor != "")
}
