package policy

import (
	"container/heap"
	"time"

	"turmericgap/job"
	"turmericgap/planner"
)

const (
	// maxStartsPerPass is the maximum number of starts of a pass.
	maxStartsPerPass = 64
	// preemptionDelay is the time a preempted task takes to checkpoint and stop.
	preemptionDelay = 1500 * time.Millisecond
	// tickInterval is the interval between passes while no event occurs.
	tickInterval = time.Second
	// maxOvertime is how long a replay may continue after the end of its load.
	maxOvertime = 24 * time.Hour
)

// Replay runs a load under a policy in simulated time and returns the report.
func Replay(l *Load, p Policy) *Report {
	r := &replay{load: l, policy: p, report: newReport(l, p.Name), jobs: make([]progress, len(l.Jobs)), jobIndex: map[string]int{}}
	for i := range l.Workers {
		p.SetWorker(l.From, l.Workers[i], true, false)
		r.report.capacity = r.report.capacity.Plus(l.Workers[i].Has)
	}
	r.run()
	return r.report
}

type replay struct {
	load     *Load
	policy   Policy
	report   *Report
	jobs     []progress
	jobIndex map[string]int
	events   events
	seq      int
	// demand is the sum of the requests of all running and pending tasks.
	demand  job.Resources
	pending int
	arrived int
}

type progress struct {
	remaining int
	attempts  map[int]int
	started   map[int]time.Time
	done      map[int]bool
}

// event is the end of an attempt, or its stop after a preemption.
type event struct {
	at      time.Time
	seq     int
	job     int
	task    int
	attempt int
	stopped bool
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { v, _ := x.(event); *e = append(*e, v) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	v := (*e)[last]
	*e = (*e)[:last]
	return v
}

func (r *replay) schedule(e event) {
	r.seq++
	e.seq = r.seq
	heap.Push(&r.events, e)
}

func (r *replay) run() {
	now := r.load.From
	nextSample := now
	for now.Before(r.load.To.Add(maxOvertime)) {
		r.admitArrivals(now)
		r.endAttempts(now)
		r.runPasses(now)
		if !now.Before(nextSample) {
			r.samplePacking(now)
			nextSample = nextSample.Add(r.load.To.Sub(r.load.From) / sampleCount)
		}
		if r.arrived == len(r.load.Jobs) && len(r.events) == 0 && r.pending == 0 {
			return
		}
		now = r.nextTime(now)
	}
}

// nextTime returns the time of the next arrival, event or pass.
func (r *replay) nextTime(now time.Time) time.Time {
	at := now.Add(time.Hour)
	if r.pending > 0 {
		at = now.Add(tickInterval)
	}
	if r.arrived < len(r.load.Jobs) && r.load.Jobs[r.arrived].At.Before(at) {
		at = r.load.Jobs[r.arrived].At
	}
	if len(r.events) > 0 && r.events[0].at.Before(at) {
		at = r.events[0].at
	}
	return at
}

func (r *replay) admitArrivals(now time.Time) {
	for r.arrived < len(r.load.Jobs) && !r.load.Jobs[r.arrived].At.After(now) {
		i := r.arrived
		a := &r.load.Jobs[i]
		r.arrived++
		j := &planner.Job{ID: a.Spec.Key, Spec: a.Spec, Accepted: a.At}
		if r.policy.Admit(now, j).RefusalReason != "" {
			r.report.Refused++
			continue
		}
		r.policy.Add(now, j)
		r.jobIndex[j.ID] = i
		r.jobs[i] = progress{remaining: a.Spec.Tasks, attempts: map[int]int{}, started: map[int]time.Time{}, done: map[int]bool{}}
		r.pending += a.Spec.Tasks
		r.demand = r.demand.Plus(a.Spec.TaskResources.Times(a.Spec.Tasks))
	}
}

func (r *replay) endAttempts(now time.Time) {
	for len(r.events) > 0 && !r.events[0].at.After(now) {
		e, _ := heap.Pop(&r.events).(event)
		j := &r.jobs[e.job]
		if j.attempts[e.task] != e.attempt || j.done[e.task] {
			continue
		}
		a := &r.load.Jobs[e.job]
		ran := now.Sub(j.started[e.task])
		if e.stopped {
			j.attempts[e.task]++
			r.pending++
			r.report.LostCoreSeconds += int64(ran.Seconds()) * a.Spec.TaskResources.Millicores / 1000
			r.policy.Release(now, a.Spec.Key, e.task, planner.AttemptResult{Requeue: true, RunTime: ran})
			continue
		}
		j.done[e.task] = true
		r.demand = r.demand.Minus(a.Spec.TaskResources)
		r.policy.Release(now, a.Spec.Key, e.task, planner.AttemptResult{Completed: true, RunTime: ran, PeakUsage: a.PeakUsage})
		if j.remaining--; j.remaining == 0 {
			r.report.recordEnd(a, now)
		}
	}
}

func (r *replay) runPasses(now time.Time) {
	for {
		plan := r.policy.Next(now, maxStartsPerPass)
		for i := range plan.Starts {
			r.startTask(now, &plan.Starts[i])
		}
		for i := range plan.Preemptions {
			p := &plan.Preemptions[i]
			k := r.jobIndex[p.Job]
			r.report.Preempted++
			r.schedule(event{at: now.Add(preemptionDelay), job: k, task: p.Task, attempt: r.jobs[k].attempts[p.Task], stopped: true})
		}
		if len(plan.Starts) == 0 {
			return
		}
	}
}

func (r *replay) startTask(now time.Time, s *planner.Start) {
	i := r.jobIndex[s.Job]
	a, j := &r.load.Jobs[i], &r.jobs[i]
	if j.attempts[s.Task] == 0 {
		r.report.recordStart(a, s.Waited)
	}
	j.started[s.Task] = now
	r.pending--
	if a.Spec.Kind != job.Service {
		r.schedule(event{at: now.Add(a.RunTimes[s.Task]), job: i, task: s.Task, attempt: j.attempts[s.Task]})
	}
}

// samplePacking records the used share of the capacity while the demand for processors or memory exceeds it. If both
// are short, it records the larger share. It records nothing without excess demand, because no policy could reach
// full use then.
func (r *replay) samplePacking(now time.Time) {
	capacity := r.report.capacity
	if now.After(r.load.To) || r.demand.FitsIn(capacity) {
		return
	}
	used := r.policy.Stats(now).Used
	packing := 0.0
	if r.demand.Millicores > capacity.Millicores {
		packing = float64(used.Millicores) / float64(capacity.Millicores)
	}
	if r.demand.MemoryMB > capacity.MemoryMB {
		packing = max(packing, float64(used.MemoryMB)/float64(capacity.MemoryMB))
	}
	r.report.packing = append(r.report.packing, packing)
}
