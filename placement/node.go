package placement

import (
	"turmericgap/job"
	"turmericgap/worker"
)

// Node is a worker and the resources allocated on it.
type Node struct {
	Info worker.Info
	// Open is set if the worker gets new tasks; Probe limits it to one task at a time.
	Open  bool
	Probe bool
	// Free is the capacity minus the allocated resources; negative if the worker has shrunk below its allocations.
	Free  job.Resources
	Tasks int

	reserved    bool
	spare       job.Resources
	zone        *zone
	rack        *rack
	bucket      *bucket
	bucketIndex int
	// avail caches the result of available.
	avail job.Resources
}

// Available returns the resources usable by tasks of any duration.
func (n *Node) Available() job.Resources { return n.avail }

// Reserved reports whether the worker is reserved for a waiting job.
func (n *Node) Reserved() bool { return n.reserved }

// AvailableNow returns the resources usable by tasks that end before the reservation starts.
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

// FitCount returns how many tasks of the requested size fit into r, limited to limit.
func FitCount(r, request job.Resources, limit int) int {
	n := int64(limit)
	part := func(have, need int64) {
		if need > 0 {
			n = min(n, max(have, 0)/need)
		}
	}
	part(r.Millicores, request.Millicores)
	part(r.MemoryMB, request.MemoryMB)
	part(r.Accelerators, request.Accelerators)
	return int(n)
}
