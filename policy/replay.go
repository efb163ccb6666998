package policy

import (
	"container/heap"
	"time"

	"turmericgap/job"
	"turmericgap/planner"
)

const (
	// batch is how many starts are asked for at a time.
	batch = 64
	// stopTime is how long a preempted task takes to checkpoint and stop.
	stopTime = 1500 * time.Millisecond
	// tickEvery is how often the planner is asked when nothing has happened.
	tickEvery = time.Second
	// overtime bounds a replay past the end of its load.
	overtime = 24 * time.Hour
)

// Replay puts a load through a policy and gives what came of it.
func Replay(l *Load, p Policy) *Report {
	r := &replay{load: l, policy: p, report: newReport(l, p.Name), jobs: make([]progress, len(l.Jobs)), index: map[string]int{}}
	for i := range l.Workers {
		p.SetWorker(l.From, l.Workers[i], true, false)
		r.report.has = r.report.has.Plus(l.Workers[i].Has)
	}
	r.run()
	return r.report
}

type replay struct {
	load   *Load
	policy Policy
	report *Report
	jobs   []progress
	index  map[string]int
	events events
	seq    int
	// demand is what running and pending batch tasks and services need together.
	demand  job.Resources
	pending int
	arrived int
}

type progress struct {
	left     int
	attempts map[int]int
	started  map[int]time.Time
	done     map[int]bool
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

// Push is for container/heap alone.
func (e *events) Push(x any) { v, _ := x.(event); *e = append(*e, v) }

// Pop is for container/heap alone.
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
	sample := now
	for now.Before(r.load.To.Add(overtime)) {
		r.arrive(now)
		r.end(now)
		r.decide(now)
		if !now.Before(sample) {
			r.sample(now)
			sample = sample.Add(r.load.To.Sub(r.load.From) / samples)
		}
		if r.arrived == len(r.load.Jobs) && len(r.events) == 0 && r.pending == 0 {
			return
		}
		now = r.next(now)
	}
}

// next is when something happens next.
func (r *replay) next(now time.Time) time.Time {
	at := now.Add(time.Hour)
	if r.pending > 0 {
		at = now.Add(tickEvery)
	}
	if r.arrived < len(r.load.Jobs) && r.load.Jobs[r.arrived].At.Before(at) {
		at = r.load.Jobs[r.arrived].At
	}
	if len(r.events) > 0 && r.events[0].at.Before(at) {
		at = r.events[0].at
	}
	return at
}

func (r *replay) arrive(now time.Time) {
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
		r.index[j.ID] = i
		r.jobs[i] = progress{left: a.Spec.Tasks, attempts: map[int]int{}, started: map[int]time.Time{}, done: map[int]bool{}}
		r.pending += a.Spec.Tasks
		r.demand = r.demand.Plus(a.Spec.Each.Times(a.Spec.Tasks))
	}
}

func (r *replay) end(now time.Time) {
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
			r.report.LostCoreSeconds += int64(ran.Seconds()) * a.Spec.Each.Millicores / 1000
			r.policy.Release(now, a.Spec.Key, e.task, planner.AttemptResult{Requeue: true, RunTime: ran})
			continue
		}
		j.done[e.task] = true
		r.demand = r.demand.Minus(a.Spec.Each)
		r.policy.Release(now, a.Spec.Key, e.task, planner.AttemptResult{Completed: true, RunTime: ran, PeakUsage: a.PeakUsage})
		if j.left--; j.left == 0 {
			r.report.finished(a, now)
		}
	}
}

func (r *replay) decide(now time.Time) {
	for {
		plan := r.policy.Next(now, batch)
		for i := range plan.Starts {
			r.start(now, &plan.Starts[i])
		}
		for i := range plan.Preemptions {
			v := &plan.Preemptions[i]
			k := r.index[v.Job]
			r.report.Preempted++
			r.schedule(event{at: now.Add(stopTime), job: k, task: v.Task, attempt: r.jobs[k].attempts[v.Task], stopped: true})
		}
		if len(plan.Starts) == 0 {
			return
		}
	}
}

func (r *replay) start(now time.Time, s *planner.Start) {
	i := r.index[s.Job]
	a, j := &r.load.Jobs[i], &r.jobs[i]
	if j.attempts[s.Task] == 0 {
		r.report.started(a, s.Waited)
	}
	j.started[s.Task] = now
	r.pending--
	if a.Spec.Kind != job.Service {
		r.schedule(event{at: now.Add(a.RunTimes[s.Task]), job: i, task: s.Task, attempt: j.attempts[s.Task]})
	}
}

// sample compares what is used with the most that could be. It looks only while more is asked for
// than there is of some part: then no policy can use more than all of that part.
func (r *replay) sample(now time.Time) {
	has := r.report.has
	if now.After(r.load.To) || r.demand.Fits(has) {
		return
	}
	used := r.policy.Stats(now).Used
	packing := 0.0
	if r.demand.Millicores > has.Millicores {
		packing = float64(used.Millicores) / float64(has.Millicores)
	}
	if r.demand.MemoryMB > has.MemoryMB {
		packing = max(packing, float64(used.MemoryMB)/float64(has.MemoryMB))
	}
	r.report.packing = append(r.report.packing, packing)
}
