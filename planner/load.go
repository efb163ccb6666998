package planner

import (
	"turmericgap/job"
	"turmericgap/placement"
	"turmericgap/worker"
)

// Load is a worker and the resources charged to it.
type Load struct {
	Info  worker.Info   `json:"info"`
	Used  job.Resources `json:"used"`
	Tasks int           `json:"tasks"`
	// Open is set if the worker gets new tasks; Probe limits it to one task at a time.
	Open  bool `json:"open"`
	Probe bool `json:"probe"`
}

// Packing returns the largest used fraction of the worker's millicores, memory or accelerators.
func (l *Load) Packing() float64 { return dominantShare(l.Used, l.Info.Has) }

// Loads returns all workers, ordered by zone, rack and id.
func (p *Planner) Loads() []Load {
	out := make([]Load, 0, p.index.Len())
	p.index.ForEach(func(n *placement.Node) {
		out = append(out, Load{Info: n.Info, Used: n.Info.Has.Minus(n.Free), Tasks: n.Tasks, Open: n.Open, Probe: n.Probe})
	})
	return out
}

// State returns a one-word state for display.
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
