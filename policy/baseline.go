package policy

import (
	"math/rand/v2"
	"time"

	"turmericgap/job"
	"turmericgap/planner"
	"turmericgap/worker"
)

// baseline starts jobs in the order of their arrival and passes over those that do not fit. A gang
// starts in one zone, as it must, since each zone has its own owner.
type baseline struct {
	jobs    map[string]*waiting
	order   []*waiting
	nodes   []*node
	zones   map[string][]*node
	names   []string
	byID    map[string]*node
	pick    func(nodes []*node, each job.Resources) *node
	running int
}

type waiting struct {
	planner.Job
	pending []int
	on      map[int]*node
}

type node struct {
	info worker.Info
	free job.Resources
}

// FirstFit makes the policy that starts in order on the first worker that fits.
func FirstFit() Policy {
	return newBaseline("first fit", func(nodes []*node, each job.Resources) *node {
		for _, n := range nodes {
			if each.FitsIn(n.free) {
				return n
			}
		}
		return nil
	})
}

// RandomOfTwo makes the policy that starts in order on the emptier of two random workers, and on
// the first that fits if neither does.
func RandomOfTwo(seed uint64) Policy {
	r := rand.New(rand.NewPCG(seed, seed))
	return newBaseline("random of two", func(nodes []*node, each job.Resources) *node {
		a, b := nodes[r.IntN(len(nodes))], nodes[r.IntN(len(nodes))]
		if b.free.Millicores > a.free.Millicores {
			a, b = b, a
		}
		for _, n := range append([]*node{a, b}, nodes...) {
			if each.FitsIn(n.free) {
				return n
			}
		}
		return nil
	})
}

func newBaseline(name string, pick func([]*node, job.Resources) *node) Policy {
	b := &baseline{jobs: map[string]*waiting{}, byID: map[string]*node{}, zones: map[string][]*node{}, pick: pick}
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
		b.names = append(b.names, info.Zone)
	}
	b.zones[info.Zone] = append(b.zones[info.Zone], n)
}

func (b *baseline) add(_ time.Time, j *planner.Job) planner.Decision {
	w := &waiting{Job: *j, on: map[int]*node{}}
	for i := range j.Spec.Tasks {
		w.pending = append(w.pending, i)
	}
	b.jobs[j.ID] = w
	b.order = append(b.order, w)
	return planner.Decision{}
}

// need is what cannot start in a pass once it has failed.
type need struct {
	each  job.Resources
	tasks int
}

func (b *baseline) next(now time.Time, most int) planner.Plan {
	var plan planner.Plan
	failed := map[need]bool{}
	kept := b.order[:0]
	for _, w := range b.order {
		k := need{w.Spec.TaskResources, 1}
		if w.Spec.Gang {
			k.tasks = len(w.pending)
		}
		for len(w.pending) > 0 && len(plan.Starts) < most && !failed[k] {
			failed[k] = !b.startSomewhere(now, w, k.tasks, &plan)
		}
		if len(w.pending) > 0 {
			kept = append(kept, w)
		}
	}
	b.order = kept
	return plan
}

func (b *baseline) startSomewhere(now time.Time, w *waiting, count int, plan *planner.Plan) bool {
	if !w.Spec.Gang {
		return b.start(now, w, b.nodes, count, plan)
	}
	for _, name := range b.names {
		if b.start(now, w, b.zones[name], count, plan) {
			return true
		}
	}
	return false
}

// start starts count tasks of a job on some of the nodes, or none.
func (b *baseline) start(now time.Time, w *waiting, nodes []*node, count int, plan *planner.Plan) bool {
	var taken []*node
	for range count {
		n := b.pick(nodes, w.Spec.TaskResources)
		if n == nil {
			break
		}
		n.free = n.free.Minus(w.Spec.TaskResources)
		taken = append(taken, n)
	}
	if len(taken) < count {
		for _, n := range taken {
			n.free = n.free.Plus(w.Spec.TaskResources)
		}
		return false
	}
	for _, n := range taken {
		index := w.pending[0]
		w.pending = w.pending[1:]
		w.on[index] = n
		b.running++
		plan.Starts = append(plan.Starts, planner.Start{Job: w.ID, Task: index, Worker: n.info.ID, Waited: now.Sub(w.Accepted)})
	}
	return true
}

func (b *baseline) release(_ time.Time, jobID string, task int, _ planner.AttemptResult) {
	w := b.jobs[jobID]
	n := w.on[task]
	n.free = n.free.Plus(w.Spec.TaskResources)
	delete(w.on, task)
	if b.running--; len(w.on) == 0 && len(w.pending) == 0 {
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
