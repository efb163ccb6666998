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

// The properties run from a fixed seed, so that a verdict does not change from run to run.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Unix(1_800_000_000, 0)

func spec(class string, tasks int, millicores int64) *job.Submission {
	return &job.Submission{
		Key: class, Team: "desk", Class: class, Kind: job.Batch, Tasks: tasks, Repeatable: true, RunSeconds: 60,
		Each: job.Resources{Millicores: millicores, MemoryMB: 1000},
	}
}

func vm(i int, millicores int64) worker.Info {
	return worker.Info{
		ID: fmt.Sprintf("vm%d", i), Zone: fmt.Sprintf("zone%d", i%2), Rack: fmt.Sprintf("rack%d", i%4),
		Has: job.Resources{Millicores: millicores, MemoryMB: 64000},
	}
}

// cell is a planner with equal workers, and the judge of what it does.
type cell struct {
	*Planner
	now     time.Time
	has     map[string]job.Resources
	used    map[string]job.Resources
	closed  map[string]bool
	specs   map[string]*job.Submission
	running map[string]Start
	left    map[string]int
	victims []Preemption
	// slow is the part of the victims that stop at a time, peak what tasks use of what they declared.
	slow int
	peak int
}

func newCell(workers int, millicores int64, opts ...Option) *cell {
	c := &cell{
		Planner: New(append([]Option{Rules(standard.List())}, opts...)...), now: start,
		has: map[string]job.Resources{}, used: map[string]job.Resources{}, closed: map[string]bool{},
		specs: map[string]*job.Submission{}, running: map[string]Start{}, left: map[string]int{}, slow: 1, peak: 1,
	}
	for i := range workers {
		c.has[vm(i, 0).ID] = vm(i, millicores).Has
		c.SetWorker(start, vm(i, millicores), true, false)
	}
	return c
}

func (c *cell) add(id string, s *job.Submission) Decision {
	j := &Job{ID: id, Spec: s, Accepted: c.now}
	if d := c.Admit(c.now, j); d.RefusalReason != "" {
		return d
	}
	c.specs[id], c.left[id] = s, s.Tasks
	return c.Add(c.now, j)
}

// judge gives the first promise that a plan breaks, or "".
func (c *cell) judge(p Plan) string {
	gangs := map[string]int{}
	for _, s := range p.Starts {
		k := fmt.Sprint(s.Job, "/", s.Task)
		if _, ok := c.running[k]; ok {
			return k + " runs twice"
		}
		c.running[k] = s
		c.left[s.Job]--
		c.used[s.Worker] = c.used[s.Worker].Plus(c.specs[s.Job].Each)
		if !c.used[s.Worker].Fits(c.has[s.Worker]) {
			return s.Worker + " is overfilled"
		}
		if c.closed[s.Worker] {
			return s.Worker + " is closed"
		}
		if c.specs[s.Job].Gang {
			gangs[s.Job]++
		}
	}
	for id := range gangs {
		if c.left[id] != 0 {
			return "gang " + id + " started in part"
		}
	}
	return ""
}

func (c *cell) end(k string, requeue bool) {
	s := c.running[k]
	delete(c.running, k)
	c.used[s.Worker] = c.used[s.Worker].Minus(c.specs[s.Job].Each)
	if requeue {
		c.left[s.Job]++
	}
	c.Release(c.now, s.Job, s.Task, AttemptResult{Completed: !requeue, Requeue: requeue, RunTime: time.Minute, PeakUsage: c.specs[s.Job].Each.Times(c.peak)})
}

// step judges a plan and stops some of the victims; the others stop with the next plans.
func (c *cell) step(p Plan) string {
	fault := c.judge(p)
	c.victims = append(c.victims, p.Preemptions...)
	stops := (len(c.victims) + c.slow - 1) / c.slow
	for _, v := range c.victims[:stops] {
		if k := fmt.Sprint(v.Job, "/", v.Task); c.running[k].Worker != "" {
			c.end(k, true)
		}
	}
	c.victims = c.victims[stops:]
	return fault
}

func drawJob(t *rapid.T, i int) *job.Submission {
	s := spec(rapid.SampledFrom([]string{"roster", "booking", "certificate", "other"}).Draw(t, "class"),
		rapid.IntRange(1, 6).Draw(t, "tasks"), int64(rapid.IntRange(1, 16).Draw(t, "cores"))*500)
	s.Team = fmt.Sprintf("team%d", i%3)
	s.Gang, s.Urgent = rapid.Bool().Draw(t, "gang"), rapid.IntRange(0, 5).Draw(t, "urgent") == 0
	s.Repeatable = rapid.Bool().Draw(t, "repeatable")
	return s
}

// Whatever arrives, ends, is preempted, is dropped or changes its workers, in any order: no worker is
// overfilled, no gang starts in part, no task runs twice, and in the end everything has started.
func TestPromisesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCell(6, 8000, Quotas(map[string]job.Resources{"team1": {Millicores: 8000, MemoryMB: 64000}}))
		c.slow, c.peak = 2, 2
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			c.now = c.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			id := vm(rapid.IntRange(0, 5).Draw(t, "worker"), 8000)
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2:
				c.add(fmt.Sprint("job", i), drawJob(t, i))
			case 3, 4:
				if keys := keysOf(c); len(keys) > 0 {
					c.end(rapid.SampledFrom(keys).Draw(t, "ends"), rapid.Bool().Draw(t, "requeue"))
				}
			case 5:
				c.closed[id.ID] = !c.closed[id.ID]
				c.SetWorker(c.now, id, !c.closed[id.ID], false)
			case 6:
				// It drops out of the VM list and comes back while its tasks run on.
				c.RemoveWorker(id.ID)
				c.SetWorker(c.now, id, !c.closed[id.ID], false)
			}
			if fault := c.step(c.Next(c.now, 8)); fault != "" {
				t.Fatal(fault)
			}
		}
		for i := range 6 {
			c.closed[vm(i, 0).ID] = false
			c.SetWorker(c.now, vm(i, 8000), true, false)
		}
		for range 2000 {
			c.now = c.now.Add(10 * time.Second)
			if fault := c.step(c.Next(c.now, 8)); fault != "" {
				t.Fatal(fault)
			}
			if keys := keysOf(c); len(keys) > 0 {
				c.end(keys[0], false)
			}
		}
		if s := c.Stats(c.now); len(s.Pending) > 0 || s.Running > 0 || (s.Used != job.Resources{}) || len(c.jobs) > 0 || len(c.rules) > 0 {
			t.Fatalf("left over: %+v, jobs %d, rules %d", s, len(c.jobs), len(c.rules))
		}
	})
}

func keysOf(c *cell) []string {
	var keys []string
	for _, t := range c.Planner.running {
		keys = append(keys, fmt.Sprint(t.entry.id, "/", t.index))
	}
	return keys
}

// The judge itself must catch each planted violation, or the property above proves nothing.
func TestJudgeCatchesPlantedViolations(t *testing.T) {
	gang := spec("roster", 2, 1000)
	gang.Gang = true
	for want, starts := range map[string][]Start{
		"vm0 is overfilled":      {{Job: "a", Worker: "vm0"}, {Job: "a", Task: 1, Worker: "vm0"}},
		"a/0 runs twice":         {{Job: "a", Worker: "vm0"}, {Job: "a", Worker: "vm1"}},
		"vm1 is closed":          {{Job: "a", Worker: "vm1"}},
		"gang g started in part": {{Job: "g", Worker: "vm0"}},
	} {
		is := is.New(t)
		c := newCell(2, 8000)
		c.closed["vm1"] = want == "vm1 is closed"
		c.add("a", spec("roster", 2, 6000))
		c.add("g", gang)
		is.Equal(c.judge(Plan{Starts: starts}), want)
	}
}

// The cell is full of rosters, a certificate batch and a service when urgent work comes. It may not
// wait for them: within the same call rosters are asked to give way, and once they have stopped it
// starts, while what is not repeatable and what serves sessions runs on.
func TestUrgentPreemptsWhatMayBeRepeated(t *testing.T) {
	is := is.New(t)
	c := newCell(3, 8000)
	service := spec("desk", 1, 8000)
	service.Kind = job.Service
	once := spec("other", 4, 2000) // Younger than the rosters, so its loss would cost least.
	once.Repeatable = false
	c.add("service", service)
	c.add("roster", spec("roster", 4, 2000))
	is.Equal(c.step(c.Next(c.now, 16)), "")
	c.now = c.now.Add(time.Minute)
	c.add("once", once)
	is.Equal(c.step(c.Next(c.now, 16)), "")
	is.Equal(len(c.running), 9)
	c.now = c.now.Add(time.Second)
	urgent := spec("alarm", 1, 4000)
	urgent.Urgent = true
	c.add("urgent", urgent)
	c.add("small", spec("booking", 8, 500)) // It must not take what the victims leave.
	plan := c.Next(c.now, 8)
	is.Equal(len(plan.Starts), 0)
	is.Equal(len(plan.Preemptions), 2)
	for _, v := range plan.Preemptions {
		is.Equal(v.Job, "roster")
		is.Equal(v.ForJob, "urgent")
	}
	c.now = c.now.Add(1500 * time.Millisecond)
	c.step(plan)
	plan = c.Next(c.now, 1)
	is.Equal(plan.Starts[0].Job, "urgent")
	is.True(plan.Starts[0].Waited <= 4700*time.Millisecond)
}

// One team has borrowed the whole cell. When the other comes with work within its quota, the loan is
// given back: borrowed tasks give way after the grace, and no more of them than are needed.
func TestBorrowedCapacityIsGivenBack(t *testing.T) {
	is := is.New(t)
	half := job.Resources{Millicores: 16000, MemoryMB: 128000}
	c := newCell(4, 8000, Quotas(map[string]job.Resources{"desk": half, "lender": half}))
	c.add("loan", spec("other", 16, 2000))
	is.Equal(c.step(c.Next(c.now, 32)), "")
	is.Equal(len(c.running), 16)
	own := spec("other", 8, 2000)
	own.Team = "lender"
	c.add("own", own)
	is.Equal(len(c.Next(c.now, 32).Preemptions), 0)
	c.now = c.now.Add(reclaimAfter)
	plan := c.Next(c.now, 32)
	is.Equal(len(plan.Preemptions), 8)
	c.step(plan)
	plan = c.Next(c.now, 32)
	is.Equal(len(plan.Starts), 8)
	for _, s := range plan.Starts {
		is.Equal(s.Job, "own")
	}
}

// Small work of the same priority never ends. Without a reservation it takes each core that becomes
// free, and a task that needs several at once waits for ever: one that needs a whole worker is
// helped at once, one that needs less when it is late.
func TestLargerWorkIsNotStarved(t *testing.T) {
	for _, millicores := range []int64{8000, 3000} {
		t.Run(fmt.Sprint(millicores), func(t *testing.T) {
			is := is.New(t)
			c := newCell(2, 8000)
			c.add("small0", spec("roster", 16, 1000))
			c.step(c.Next(c.now, 32))
			c.add("larger", spec("roster", 1, millicores))
			for i := 1; i < 2000; i++ {
				c.now = c.now.Add(10 * time.Second)
				c.add(fmt.Sprint("small", i), spec("roster", 2, 1000))
				if keys := keysOf(c); len(keys) > 0 {
					c.end(keys[i%len(keys)], false)
				}
				plan := c.Next(c.now, 32)
				is.Equal(c.step(plan), "")
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

// A gang of which one task yields could do nothing with the rest, and would hold their workers.
func TestGangYieldsWhole(t *testing.T) {
	is := is.New(t)
	c := newCell(4, 8000)
	gang := spec("other", 2, 8000)
	gang.Gang = true
	c.add("gang0", gang)
	c.add("gang1", gang)
	is.Equal(c.step(c.Next(c.now, 8)), "")
	urgent := spec("alarm", 1, 4000)
	urgent.Urgent = true
	c.add("urgent", urgent)
	plan := c.Next(c.now, 8)
	is.Equal(len(plan.Preemptions), 2)
	is.Equal(plan.Preemptions[0].Job, plan.Preemptions[1].Job)
	// One has stopped and the other not yet: the first must not start again alone.
	c.end(fmt.Sprint(plan.Preemptions[0].Job, "/", plan.Preemptions[0].Task), true)
	c.SetWorker(c.now, vm(4, 8000), true, false)
	next := c.Next(c.now, 8)
	is.Equal(len(next.Starts), 1)
	is.Equal(next.Starts[0].Job, "urgent")
}

// A new owner releases what had ended before it came, without knowing for how long it ran.
func TestUnknownRunTimesAreNotLearned(t *testing.T) {
	is := is.New(t)
	c := newCell(1, 8000)
	c.add("a", spec("roster", 2, 1000))
	for i, ran := range []time.Duration{0, time.Minute} {
		c.MarkRunning("a", i, "vm0")
		c.Release(c.now, "a", i, AttemptResult{Completed: true, RunTime: ran})
		is.Equal(c.learner.Classes(), i)
	}
}

func TestAdmit(t *testing.T) {
	gang := spec("roster", 9, 4000)
	gang.Gang = true
	pinned := spec("roster", 1, 1000)
	pinned.Zone = "zone9"
	for name, s := range map[string]*job.Submission{
		"task fits no worker": spec("roster", 1, 9000), "gang fits no zone": gang, "zone has no worker": pinned,
		"queue is full": spec("roster", 11, 1000),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(4, 8000, MaxPending(10))
			d := c.Admit(start, &Job{ID: "x", Spec: s, Accepted: start})
			is.True(d.RefusalReason != "")
			is.Equal(d.RetryAfter > 0, name == "queue is full")
		})
	}
}

// An operator's change of the rules must govern what already waits, or a queue of hours would go on
// under the old rules.
func TestNewRulesGovernWhatWaits(t *testing.T) {
	is := is.New(t)
	c := newCell(1, 1000)
	c.add("first", spec("a", 1, 1000))
	c.add("second", spec("b", 1, 1000))
	l, err := rule.Parse([]byte(`{"version":1,"rules":[{"id":"b","when":"class == \"b\"","then":[{"kind":"queue","with":{"priority":4}}]}]}`))
	is.NoErr(err)
	c.SetRules(l)
	is.Equal(c.Next(c.now, 1).Starts[0].Job, "second")
	x := c.Explain(c.now, "first")
	is.Equal(x.Rules.Results[0].FieldValues, `class is "a"`)
	is.True(x.WaitsFor != "")
}
