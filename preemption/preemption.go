package preemption

import (
	"cmp"
	"slices"
	"time"

	"turmericgap/job"
)

const (
	// lossWindow is the span over which the work that is lost is bounded, maxLossShare its bound as a part of what the
	// cell's cores do in that span.
	lossWindow   = 10 * time.Second
	maxLossShare = 0.02
	// littleWork is how long a task that does not save its progress may have run to be stopped.
	littleWork = 500 * time.Millisecond
	// restoreTime is what a task that saves its progress loses when it is stopped: the time to write and restore its
	// checkpoint.
	restoreTime = 500 * time.Millisecond
	// lead is how much slack beyond the time of a stop an urgent task may have left when others are stopped for it: the
	// order has to become durable and to reach a worker. Until then, a task may end by itself.
	lead = 400 * time.Millisecond
)

// Worker is a worker that may run the urgent task; Ref and that of its runs are the caller's.
type Worker[W, R any] struct {
	Ref W
	// Free is what new tasks may use.
	Free job.Resources
	Runs []Run[R]
}

// Run is a running task.
type Run[R any] struct {
	Ref           R
	Needs         job.Resources
	Priority      int
	Gang, Service bool
	// Saves is true if it saves its progress, Age is for how long it has run.
	Saves bool
	Age   time.Duration
	// Slack is how much later it may end.
	Slack time.Duration
}

// lost returns the core-seconds that are lost if a run is stopped.
func (r *Run[R]) lost() float64 {
	if r.Saves {
		return r.Needs.Cores() * min(r.Age, restoreTime).Seconds()
	}
	return r.Needs.Cores() * r.Age.Seconds()
}

// mayStop reports whether a run may be stopped for a task of a priority. A gang loses the work of all its members, and a
// service is missed at once.
func (r *Run[R]) mayStop(priority int) bool {
	return !r.Gang && !r.Service && r.Priority > priority && (r.Saves || r.Age <= littleWork)
}

// LogFields returns names and values for the log.
func (r Run[R]) LogFields() []any {
	return []any{
		"priority", r.Priority,
		"saves", r.Saves,
		"age", r.Age,
		"slack", r.Slack,
	}
}

// Choice is a worker and the runs to stop there for one urgent task.
type Choice[W, R any] struct {
	Worker W
	Runs   []Run[R]
	// Lost is the work that is lost in core-seconds, slack the least slack of the runs.
	Lost  float64
	slack time.Duration
}

// Preemptor chooses runs within a bound of lost work. It is not safe for concurrent use.
//
// Load pattern: a burst of short urgent tasks meets a cell that is full of longer ones, and would be late before any of
// them ends.
type Preemptor struct{ losses []loss }

type loss struct {
	at          time.Time
	coreSeconds float64
}

// left returns the work that may still be lost in a cell of a number of cores.
func (p *Preemptor) left(now time.Time, cores float64) float64 {
	for len(p.losses) > 0 && now.Sub(p.losses[0].at) > lossWindow {
		p.losses = p.losses[1:]
	}
	left := maxLossShare * cores * lossWindow.Seconds()
	for _, l := range p.losses {
		left -= l.coreSeconds
	}
	return left
}

// IsDue reports whether an urgent task must take the place of others now, and work may still be lost for it. With more
// slack the task may still find capacity, and with less than a stop takes it is late whatever is stopped.
func (p *Preemptor) IsDue(now time.Time, cores float64, slack, stop time.Duration) bool {
	return slack >= stop && slack <= stop+lead && p.left(now, cores) > 0
}

// Choose returns the runs to stop so that tasks of a priority can start, one choice for each task, and counts what is
// lost by that. It prefers the least work lost, then the most slack.
func Choose[W, R any](p *Preemptor, now time.Time, cores float64, task job.Resources, priority, tasks int, workers []Worker[W, R]) []Choice[W, R] {
	left := p.left(now, cores)
	var out []Choice[W, R]
	used := make(map[int]bool)
	for range tasks {
		var best *Choice[W, R]
		bestAt := 0
		for i := range workers {
			if used[i] {
				continue
			}
			if c := workers[i].cheapest(task, priority); c != nil && c.Lost <= left && (best == nil || c.compare(best) < 0) {
				best, bestAt = c, i
			}
		}
		if best == nil {
			break
		}
		used[bestAt] = true // a second task there waits for the next choice, when the runs have ended
		left -= best.Lost
		p.losses = append(p.losses, loss{now, best.Lost})
		out = append(out, *best)
	}
	return out
}

func (c *Choice[W, R]) compare(o *Choice[W, R]) int {
	return cmp.Or(cmp.Compare(c.Lost, o.Lost), cmp.Compare(o.slack, c.slack))
}

// cheapest returns the runs to stop on a worker for a task, or nil if stopping is of no use there.
func (w *Worker[W, R]) cheapest(task job.Resources, priority int) *Choice[W, R] {
	var order []Run[R]
	for i := range w.Runs {
		if w.Runs[i].mayStop(priority) {
			order = append(order, w.Runs[i])
		}
	}
	slices.SortStableFunc(order, func(a, b Run[R]) int {
		return cmp.Or(cmp.Compare(a.lost(), b.lost()), cmp.Compare(b.Slack, a.Slack))
	})
	free, n := w.Free, 0
	for n < len(order) && !task.FitsIn(free) {
		free = free.Plus(order[n].Needs)
		n++
	}
	if n == 0 || !task.FitsIn(free) {
		return nil
	}
	c := &Choice[W, R]{Worker: w.Ref}
	for k := n - 1; k >= 0; k-- {
		r := &order[k]
		if without := free.Minus(r.Needs); task.FitsIn(without) {
			free = without // smaller ones before it suffice
			continue
		}
		if c.Runs = append(c.Runs, *r); len(c.Runs) == 1 || r.Slack < c.slack {
			c.slack = r.Slack
		}
		c.Lost += r.lost()
	}
	return c
}
