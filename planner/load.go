package planner

import (
	"turmericgap/job"
	"turmericgap/placement"
	"turmericgap/worker"
)

// Load is one worker with what its tasks are charged.
type Load struct {
	Info  worker.Info   `json:"info"`
	Used  job.Resources `json:"used"`
	Tasks int           `json:"tasks"`
	// Open says that it gets new tasks, Probe that it gets them one at a time.
	Open  bool `json:"open"`
	Probe bool `json:"probe"`
}

// Packing gives the largest part of the worker that is charged.
func (l *Load) Packing() float64 { return packing(l.Used, l.Info.Has) }

// Loads gives all workers by zone, rack and id.
func (p *Planner) Loads() []Load {
	out := make([]Load, 0, p.index.Len())
	p.index.ForEach(func(n *placement.Node) {
		out = append(out, Load{Info: n.Info, Used: n.Info.Has.Minus(n.Free), Tasks: n.Tasks, Open: n.Open, Probe: n.Probe})
	})
	return out
}

// State says in a word whether the worker gets new tasks.
func (l *Load) State() string {
	switch {
	case l.Info.Leaving:
		return "leaving"
	case l.Probe:
		return "probed"
	case l.Open:
		return "open"
	default:
		return "closed"
	}
}
