package placement

import (
	"turmericgap/job"
	"turmericgap/worker"
)

// Node is a worker with what its tasks have taken.
type Node struct {
	Info worker.Info
	// Open says that it gets new tasks, Probe that it gets them one at a time.
	Open  bool
	Probe bool
	// Free is what the worker has less what its tasks hold; negative if it has shrunk.
	Free  job.Resources
	Tasks int

	reserved bool
	spare    job.Resources
	zone     *zone
	rack     *rack
	cell     *cell
	slot     int
	avail    job.Resources
}

// Available is what a task that may run for any time can take.
func (n *Node) Available() job.Resources { return n.avail }

// Reserved says that part of the worker is kept for a job that waits.
func (n *Node) Reserved() bool { return n.reserved }

// AvailableNow is what a task can take that ends before the reservation is due.
func (n *Node) AvailableNow() job.Resources {
	if !n.Open || (n.Probe && n.Tasks > 0) {
		return job.Resources{}
	}
	return n.Free
}

func (n *Node) available() job.Resources {
	r := n.AvailableNow()
	if n.reserved {
		r.Millicores = min(r.Millicores, n.spare.Millicores)
		r.MemoryMB = min(r.MemoryMB, n.spare.MemoryMB)
		r.Accelerators = min(r.Accelerators, n.spare.Accelerators)
	}
	return r
}

// FitCount is how many tasks of the given size fit into r, most at the most.
func FitCount(r, each job.Resources, most int) int {
	n := int64(most)
	part := func(have, need int64) {
		if need > 0 {
			n = min(n, max(have, 0)/need)
		}
	}
	part(r.Millicores, each.Millicores)
	part(r.MemoryMB, each.MemoryMB)
	part(r.Accelerators, each.Accelerators)
	return int(n)
}
