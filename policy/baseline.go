package policy

import (
	"math/rand/v2"
	"time"

	"turmericgap/job"
	"turmericgap/planner"
	"turmericgap/worker"
)

// baseline starts jobs in order of arrival and skips those that do not fit. A gang starts within one zone, since
// each zone has its own owner.
type baseline struct {
	jobs      map[string]*queuedJob
	order     []*queuedJob
	nodes     []*node
	zones     map[string][]*node
	zoneNames []string
	byID      map[string]*node
	pick      func(nodes []*node, request job.Resources) *node
	running   int
}

type queuedJob struct {
	planner.Job
	pending []int
	placed  map[int]*node
}

type node struct {
	info worker.Info
	free job.Resources
}

// FirstFit returns the policy that starts jobs in order on the first worker with enough free resources.
func FirstFit() Policy {
	return newBaseline("first fit", func(nodes []*node, request job.Resources) *node {
		for _, n := range nodes {
			if request.FitsIn(n.free) {
				return n
			}
		}
		return nil
	})
}

// RandomOfTwo returns the policy that starts jobs in order on the less loaded of two random workers, or on the first
// worker with enough free resources if neither has them.
func RandomOfTwo(seed uint64) Policy {
	r := rand.New(rand.NewPCG(seed, seed))
	return newBaseline("random of two", func(nodes []*node, request job.Resources) *node {
		a, b := nodes[r.IntN(len(nodes))], nodes[r.IntN(len(nodes))]
		if b.free.Millicores > a.free.Millicores {
			a, b = b, a
		}
		for _, n := range append([]*node{a, b}, nodes...) {
			if request.FitsIn(n.free) {
				return n
			}
		}
		return nil
	})
}

func newBaseline(name string, pick func([]*node, job.Resources) *node) Policy {
	b := &baseline{jobs: map[string]*queuedJob{}, byID: map[string]*node{}, zones: map[string][]*node{}, pick: pick}
	return Policy{
		Name: name, SetWorker: b.setWorker, Add: b.add, Next: b.next, Release: b.release, Stats: b.stats,
		Admit: func(time.Time, *planner.Job) planner.Decision { return planner.Decision{} },
	}
}

func (b *baseline) setWorker(_ time.Time, info worker.Info, _, _ bool) {
	n := &node{info: info, free: info.Has}
	b.byID[info.ID] = n
	b.nodes = append(b.nodes, n)
	if b.zones[info.Zone] == nil {
		b.zoneNames = append(b.zoneNames, info.Zone)
	}
	b.zones[info.Zone] = append(b.zones[info.Zone], n)
}

func (b *baseline) add(_ time.Time, j *planner.Job) planner.Decision {
	w := &queuedJob{Job: *j, placed: map[int]*node{}}
	for i := range j.Spec.Tasks {
		w.pending = append(w.pending, i)
	}
	b.jobs[j.ID] = w
	b.order = append(b.order, w)
	return planner.Decision{}
}

// failedRequest is a request that did not fit and is not tried again in the same pass.
type failedRequest struct {
	resources job.Resources
	tasks     int
}

func (b *baseline) next(now time.Time, limit int) planner.Plan {
	var plan planner.Plan
	failed := map[failedRequest]bool{}
	remaining := b.order[:0]
	for _, w := range b.order {
		request := failedRequest{w.Spec.TaskResources, 1}
		if w.Spec.Gang {
			request.tasks = len(w.pending)
		}
		for len(w.pending) > 0 && len(plan.Starts) < limit && !failed[request] {
			failed[request] = !b.startInAnyZone(now, w, request.tasks, &plan)
		}
		if len(w.pending) > 0 {
			remaining = append(remaining, w)
		}
	}
	b.order = remaining
	return plan
}

func (b *baseline) startInAnyZone(now time.Time, w *queuedJob, count int, plan *planner.Plan) bool {
	if !w.Spec.Gang {
		return b.startTasks(now, w, b.nodes, count, plan)
	}
	for _, name := range b.zoneNames {
		if b.startTasks(now, w, b.zones[name], count, plan) {
			return true
		}
	}
	return false
}

// startTasks starts count tasks of a job on the nodes, or none if not all of them fit.
func (b *baseline) startTasks(now time.Time, w *queuedJob, nodes []*node, count int, plan *planner.Plan) bool {
	var selected []*node
	for range count {
		n := b.pick(nodes, w.Spec.TaskResources)
		if n == nil {
			break
		}
		n.free = n.free.Minus(w.Spec.TaskResources)
		selected = append(selected, n)
	}
	if len(selected) < count {
		for _, n := range selected {
			n.free = n.free.Plus(w.Spec.TaskResources)
		}
		return false
	}
	for _, n := range selected {
		index := w.pending[0]
		w.pending = w.pending[1:]
		w.placed[index] = n
		b.running++
		plan.Starts = append(plan.Starts, planner.Start{Job: w.ID, Task: index, Worker: n.info.ID, Waited: now.Sub(w.Accepted)})
	}
	return true
}

func (b *baseline) release(_ time.Time, jobID string, task int, _ planner.AttemptResult) {
	w := b.jobs[jobID]
	n := w.placed[task]
	n.free = n.free.Plus(w.Spec.TaskResources)
	delete(w.placed, task)
	if b.running--; len(w.placed) == 0 && len(w.pending) == 0 {
		delete(b.jobs, jobID)
	}
}

func (b *baseline) stats(time.Time) planner.Stats {
	s := planner.Stats{Running: b.running}
	for _, n := range b.nodes {
		s.Has = s.Has.Plus(n.info.Has)
		s.Used = s.Used.Plus(n.info.Has.Minus(n.free))
	}
	return s
}
