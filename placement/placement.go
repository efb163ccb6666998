package placement

import (
	"slices"
	"sort"
	"strings"

	"turmericgap/job"
	"turmericgap/worker"
)

// The strategies.
const (
	Pack   = "pack"
	Spread = "spread"
)

// maxAccelerators is the largest count of free accelerators that is told apart.
const maxAccelerators = 16

// Index holds the workers of one or more zones. It is not safe for concurrent use.
type Index struct {
	nodes map[string]*Node
	zones []*zone
	has   job.Resources
	free  job.Resources
	open  int
	seed  uint64
	// largest is the most of each part that any worker had.
	largest job.Resources
}

type zone struct {
	name string
	// plain holds workers without accelerators; scarce the others, by free accelerators.
	plain  grid
	scarce [maxAccelerators + 1]*grid
	racks  []*rack
}

type rack struct {
	name  string
	nodes []*Node
}

// Query asks for a worker for one task.
type Query struct {
	Request job.Resources
	// Zone pins the task; Prefer names zones to try first.
	Zone           string
	PreferredZones []string
	// Strategy is Pack or Spread.
	Strategy string
	// TasksOnNode counts the job's running tasks on a node, for Spread.
	TasksOnNode func(n *Node) int
}

// New makes an index without workers; the seed says which of equal zones goes first.
func New(seed uint64) *Index { return &Index{nodes: map[string]*Node{}, seed: seed} }

// MaxCapacity gives the most of each part that any worker had.
func (x *Index) MaxCapacity() job.Resources { return x.largest }

// Node gives the worker with this id, or nil.
func (x *Index) Node(id string) *Node { return x.nodes[id] }

// Len counts the workers.
func (x *Index) Len() int { return len(x.nodes) }

// OpenCount counts the workers that get new tasks.
func (x *Index) OpenCount() int { return x.open }

// Totals gives what all workers have and what of it is free.
func (x *Index) Totals() (has, free job.Resources) { return x.has, x.free }

// ForEach calls visit for all workers, by zone, rack and id.
func (x *Index) ForEach(visit func(n *Node)) {
	for _, z := range x.zones {
		for _, r := range z.racks {
			for _, n := range r.nodes {
				visit(n)
			}
		}
	}
}

// Set adds a worker or changes it; what its tasks hold stays taken.
func (x *Index) Set(info worker.Info, open, probe bool) *Node {
	n := x.nodes[info.ID]
	held, tasks := job.Resources{}, 0
	if n != nil {
		held, tasks = n.Info.Has.Minus(n.Free), n.Tasks
		if n.Info.Zone != info.Zone || n.Info.Rack != info.Rack {
			x.Remove(info.ID)
			n = nil
		}
	}
	if n == nil {
		n = &Node{Tasks: tasks}
		x.nodes[info.ID] = n
		n.Info = info
		x.join(n)
	} else {
		x.count(n, -1)
	}
	n.Info, n.Open, n.Probe = info, open && !info.Leaving, probe
	n.Free = info.Has.Minus(held)
	x.count(n, 1)
	x.largest = x.largest.Max(info.Has)
	x.refresh(n)
	return n
}

// Remove forgets a worker.
func (x *Index) Remove(id string) {
	n := x.nodes[id]
	if n == nil {
		return
	}
	n.leaveCell()
	x.count(n, -1)
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

func (x *Index) count(n *Node, sign int) {
	x.has = x.has.Plus(n.Info.Has.Times(sign))
	x.free = x.free.Plus(n.Free.Times(sign))
	if n.Open {
		x.open += sign
	}
}

func (x *Index) join(n *Node) {
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

// refresh puts a changed node into its cell; one with nothing free is in none.
func (x *Index) refresh(n *Node) {
	n.leaveCell()
	n.avail = n.available()
	if n.avail.Millicores <= 0 || n.avail.MemoryMB <= 0 {
		return
	}
	g := &n.zone.plain
	if n.Info.Has.Accelerators > 0 {
		at := min(max(n.avail.Accelerators, 0), maxAccelerators)
		if n.zone.scarce[at] == nil {
			n.zone.scarce[at] = new(grid)
		}
		g = n.zone.scarce[at]
	}
	g.add(n)
}

// Allocate charges a task to a worker. It does not ask whether it fits, since after a recovery what
// runs is a fact.
func (x *Index) Allocate(n *Node, each job.Resources) {
	n.Free, x.free = n.Free.Minus(each), x.free.Minus(each)
	n.Tasks++
	x.refresh(n)
}

// Release frees what a task held.
func (x *Index) Release(n *Node, each job.Resources) {
	n.Free, x.free = n.Free.Plus(each), x.free.Plus(each)
	n.Tasks--
	x.refresh(n)
}

// Reserve keeps the worker for a waiting job: tasks that may run for any time can take spare only.
func (x *Index) Reserve(n *Node, spare job.Resources) {
	n.reserved, n.spare = true, spare
	x.refresh(n)
}

// UseSpare lowers the spare of a reserved worker by a task that will outlast the reservation.
func (x *Index) UseSpare(n *Node, each job.Resources) {
	n.spare = n.spare.Minus(each)
	x.refresh(n)
}

// Unreserve ends a reservation.
func (x *Index) Unreserve(n *Node) {
	n.reserved, n.spare = false, job.Resources{}
	x.refresh(n)
}

// Find gives a worker on which the task fits, or nil.
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
		if n := z.find(q); n != nil && (best == nil || q.better(n, best)) {
			best = n
		}
	}
	return best
}

func (x *Index) zoneAt(i int) *zone {
	return x.zones[(uint64(i)+x.seed)%uint64(len(x.zones))]
}

func (q *Query) better(a, b *Node) bool {
	if q.Strategy != Spread {
		return leftOver(a, q.Request) < leftOver(b, q.Request)
	}
	if na, nb := a.zone.near(q), b.zone.near(q); na != nb {
		return na < nb
	}
	return leftOver(a, q.Request) > leftOver(b, q.Request)
}

func (z *zone) find(q *Query) *Node {
	n := z.pack(q.Request)
	if n == nil || q.Strategy != Spread {
		return n
	}
	return z.spread(q, n)
}

// pack keeps workers with accelerators for work that needs them, as long as others fit.
func (z *zone) pack(each job.Resources) *Node {
	if each.Accelerators == 0 {
		if n := z.plain.find(each); n != nil {
			return n
		}
	}
	for at := min(each.Accelerators, maxAccelerators); at <= maxAccelerators; at++ {
		if z.scarce[at] == nil {
			continue
		}
		if n := z.scarce[at].find(each); n != nil {
			return n
		}
	}
	return nil
}

// spread prefers the rack with the fewest tasks of the job, then the worker with the fewest, then
// the emptiest. sure is a node that fits, so that the racks are only gone through where one will be
// found.
func (z *zone) spread(q *Query, sure *Node) *Node {
	best, bestRack := sure, sure.rack.near(q)
	bestNear := q.near(sure)
	for _, r := range z.racks {
		count := r.near(q)
		if count > bestRack {
			continue
		}
		for _, n := range r.nodes {
			if !q.Request.Fits(n.avail) || (q.Request.Accelerators == 0) != (n.Info.Has.Accelerators == 0) {
				continue
			}
			near := q.near(n)
			if count < bestRack || near < bestNear || (near == bestNear && leftOver(n, q.Request) > leftOver(best, q.Request)) {
				best, bestRack, bestNear = n, count, near
			}
		}
	}
	return best
}

func (q *Query) near(n *Node) int {
	if q.TasksOnNode == nil {
		return 0
	}
	return q.TasksOnNode(n)
}

func (r *rack) near(q *Query) int {
	total := 0
	for _, n := range r.nodes {
		total += q.near(n)
	}
	return total
}

func (z *zone) near(q *Query) int {
	total := 0
	for _, r := range z.racks {
		total += r.near(q)
	}
	return total
}
