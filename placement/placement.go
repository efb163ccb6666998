package placement

import (
	"slices"
	"sort"
	"strings"

	"turmericgap/job"
	"turmericgap/worker"
)

// Placement strategies.
const (
	Pack   = "pack"
	Spread = "spread"
)

// maxAccelerators is the largest number of free accelerators that the index distinguishes.
const maxAccelerators = 16

// Index holds the workers of one or more zones. It is not safe for concurrent use.
type Index struct {
	nodes    map[string]*Node
	zones    []*zone
	capacity job.Resources
	free     job.Resources
	open     int
	seed     uint64
	// maxCapacity is the largest value of each resource that any worker ever had.
	maxCapacity job.Resources
}

type zone struct {
	name string
	// withoutAccelerators holds workers without accelerators; byAccelerators holds the others by free accelerators.
	withoutAccelerators grid
	byAccelerators      [maxAccelerators + 1]*grid
	racks               []*rack
}

type rack struct {
	name  string
	nodes []*Node
}

// Query describes a search for a worker for one task.
type Query struct {
	Request job.Resources
	// Zone restricts the search to one zone; PreferredZones are tried first.
	Zone           string
	PreferredZones []string
	// Strategy is Pack or Spread.
	Strategy string
	// TasksOnNode returns the number of the job's running tasks on a node, for Spread.
	TasksOnNode func(n *Node) int
}

// New returns an empty index. The seed sets the zone from which searches start.
func New(seed uint64) *Index { return &Index{nodes: map[string]*Node{}, seed: seed} }

// MaxCapacity returns the largest value of each resource that any worker ever had.
func (x *Index) MaxCapacity() job.Resources { return x.maxCapacity }

// Node returns the worker with the given id, or nil.
func (x *Index) Node(id string) *Node { return x.nodes[id] }

// Len returns the number of workers.
func (x *Index) Len() int { return len(x.nodes) }

// OpenCount returns the number of workers that get new tasks.
func (x *Index) OpenCount() int { return x.open }

// Totals returns the total capacity of all workers and how much of it is free.
func (x *Index) Totals() (capacity, free job.Resources) { return x.capacity, x.free }

// ForEach calls visit for all workers, ordered by zone, rack and id.
func (x *Index) ForEach(visit func(n *Node)) {
	for _, z := range x.zones {
		for _, r := range z.racks {
			for _, n := range r.nodes {
				visit(n)
			}
		}
	}
}

// Set adds or updates a worker and keeps the resources that are allocated on it.
func (x *Index) Set(info worker.Info, open, probe bool) *Node {
	n := x.nodes[info.ID]
	allocated, tasks := job.Resources{}, 0
	if n != nil {
		allocated, tasks = n.Info.Has.Minus(n.Free), n.Tasks
		if n.Info.Zone != info.Zone || n.Info.Rack != info.Rack {
			x.Remove(info.ID)
			n = nil
		}
	}
	if n == nil {
		n = &Node{Tasks: tasks}
		x.nodes[info.ID] = n
		n.Info = info
		x.insert(n)
	} else {
		x.addToTotals(n, -1)
	}
	n.Info, n.Open, n.Probe = info, open && !info.Leaving, probe
	n.Free = info.Has.Minus(allocated)
	x.addToTotals(n, 1)
	x.maxCapacity = x.maxCapacity.Max(info.Has)
	x.reindex(n)
	return n
}

// Remove removes a worker.
func (x *Index) Remove(id string) {
	n := x.nodes[id]
	if n == nil {
		return
	}
	n.leaveBucket()
	x.addToTotals(n, -1)
	delete(x.nodes, id)
	r, z := n.rack, n.zone
	at := slices.Index(r.nodes, n)
	if r.nodes = slices.Delete(r.nodes, at, at+1); len(r.nodes) > 0 {
		return
	}
	at = slices.Index(z.racks, r)
	if z.racks = slices.Delete(z.racks, at, at+1); len(z.racks) > 0 {
		return
	}
	at = slices.Index(x.zones, z)
	x.zones = slices.Delete(x.zones, at, at+1)
}

func (x *Index) addToTotals(n *Node, sign int) {
	x.capacity = x.capacity.Plus(n.Info.Has.Times(sign))
	x.free = x.free.Plus(n.Free.Times(sign))
	if n.Open {
		x.open += sign
	}
}

func (x *Index) insert(n *Node) {
	at, ok := sort.Find(len(x.zones), func(i int) int { return strings.Compare(n.Info.Zone, x.zones[i].name) })
	if !ok {
		x.zones = slices.Insert(x.zones, at, &zone{name: n.Info.Zone})
	}
	z := x.zones[at]
	at, ok = sort.Find(len(z.racks), func(i int) int { return strings.Compare(n.Info.Rack, z.racks[i].name) })
	if !ok {
		z.racks = slices.Insert(z.racks, at, &rack{name: n.Info.Rack})
	}
	r := z.racks[at]
	at = sort.Search(len(r.nodes), func(i int) bool { return r.nodes[i].Info.ID > n.Info.ID })
	r.nodes = slices.Insert(r.nodes, at, n)
	n.zone, n.rack = z, r
}

// reindex moves a changed node to its bucket. A node without free resources is in no bucket.
func (x *Index) reindex(n *Node) {
	n.leaveBucket()
	n.avail = n.available()
	if n.avail.Millicores <= 0 || n.avail.MemoryMB <= 0 {
		return
	}
	g := &n.zone.withoutAccelerators
	if n.Info.Has.Accelerators > 0 {
		at := min(max(n.avail.Accelerators, 0), maxAccelerators)
		if n.zone.byAccelerators[at] == nil {
			n.zone.byAccelerators[at] = new(grid)
		}
		g = n.zone.byAccelerators[at]
	}
	g.add(n)
}

// Allocate charges a task to a worker. It does not check that the task fits, since tasks found running during recovery
// must be counted in any case.
func (x *Index) Allocate(n *Node, request job.Resources) {
	n.Free, x.free = n.Free.Minus(request), x.free.Minus(request)
	n.Tasks++
	x.reindex(n)
}

// Release frees the resources of a task.
func (x *Index) Release(n *Node, request job.Resources) {
	n.Free, x.free = n.Free.Plus(request), x.free.Plus(request)
	n.Tasks--
	x.reindex(n)
}

// Reserve reserves the worker for a waiting job: other tasks of any duration can use only the spare resources.
func (x *Index) Reserve(n *Node, spare job.Resources) {
	n.reserved, n.spare = true, spare
	x.reindex(n)
}

// UseSpare reduces the spare resources of a reserved worker by a task that outlasts the start of the reservation.
func (x *Index) UseSpare(n *Node, request job.Resources) {
	n.spare = n.spare.Minus(request)
	x.reindex(n)
}

// Unreserve ends a reservation.
func (x *Index) Unreserve(n *Node) {
	n.reserved, n.spare = false, job.Resources{}
	x.reindex(n)
}

// Find returns a worker on which the task fits, or nil.
func (x *Index) Find(q *Query) *Node {
	for _, name := range q.PreferredZones {
		if q.Zone != "" && q.Zone != name {
			continue
		}
		for _, z := range x.zones {
			if z.name != name {
				continue
			}
			if n := z.find(q); n != nil {
				return n
			}
		}
	}
	var best *Node
	for i := range x.zones {
		z := x.zoneAt(i)
		if q.Zone != "" && q.Zone != z.name {
			continue
		}
		if n := z.find(q); n != nil && (best == nil || q.prefers(n, best)) {
			best = n
		}
	}
	return best
}

func (x *Index) zoneAt(i int) *zone {
	return x.zones[(uint64(i)+x.seed)%uint64(len(x.zones))]
}

func (q *Query) prefers(a, b *Node) bool {
	if q.Strategy != Spread {
		return leftover(a, q.Request) < leftover(b, q.Request)
	}
	if na, nb := a.zone.taskCount(q), b.zone.taskCount(q); na != nb {
		return na < nb
	}
	return leftover(a, q.Request) > leftover(b, q.Request)
}

func (z *zone) find(q *Query) *Node {
	n := z.findPacked(q.Request)
	if n == nil || q.Strategy != Spread {
		return n
	}
	return z.findSpread(q, n)
}

// findPacked uses workers with accelerators for tasks that need none only if no other worker fits.
func (z *zone) findPacked(request job.Resources) *Node {
	if request.Accelerators == 0 {
		if n := z.withoutAccelerators.find(request); n != nil {
			return n
		}
	}
	for at := min(request.Accelerators, maxAccelerators); at <= maxAccelerators; at++ {
		if z.byAccelerators[at] == nil {
			continue
		}
		if n := z.byAccelerators[at].find(request); n != nil {
			return n
		}
	}
	return nil
}

// findSpread prefers the rack with the fewest tasks of the job, then the worker with the fewest, then the worker with
// the most left over. fallback is a node that fits; the caller finds it first, so that racks are scanned only if a
// placement exists.
func (z *zone) findSpread(q *Query, fallback *Node) *Node {
	best, bestRackCount := fallback, fallback.rack.taskCount(q)
	bestCount := q.tasksOn(fallback)
	for _, r := range z.racks {
		rackCount := r.taskCount(q)
		if rackCount > bestRackCount {
			continue
		}
		for _, n := range r.nodes {
			if !q.Request.FitsIn(n.avail) || (q.Request.Accelerators == 0) != (n.Info.Has.Accelerators == 0) {
				continue
			}
			nodeCount := q.tasksOn(n)
			if rackCount < bestRackCount || nodeCount < bestCount ||
				(nodeCount == bestCount && leftover(n, q.Request) > leftover(best, q.Request)) {
				best, bestRackCount, bestCount = n, rackCount, nodeCount
			}
		}
	}
	return best
}

func (q *Query) tasksOn(n *Node) int {
	if q.TasksOnNode == nil {
		return 0
	}
	return q.TasksOnNode(n)
}

func (r *rack) taskCount(q *Query) int {
	total := 0
	for _, n := range r.nodes {
		total += q.tasksOn(n)
	}
	return total
}

func (z *zone) taskCount(q *Query) int {
	total := 0
	for _, r := range z.racks {
		total += r.taskCount(q)
	}
	return total
}
