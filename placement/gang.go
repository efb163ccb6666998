package placement

import (
	"sort"

	"turmericgap/job"
)

// FindGang gives a worker for each of count equal tasks, all in one zone and in as few racks as can be,
// or nil if no zone has room for all. Room is what a node offers; workers on probe get none.
func (x *Index) FindGang(each job.Resources, count int, zoneName string, room func(n *Node) job.Resources) []*Node {
	var best []*Node
	bestRacks := 0
	for i := range x.zones {
		z := x.zoneAt(i)
		if zoneName != "" && z.name != zoneName {
			continue
		}
		if nodes, racks := z.gang(each, count, room); nodes != nil && (best == nil || racks < bestRacks) {
			best, bestRacks = nodes, racks
		}
	}
	return best
}

type rackRoom struct {
	rack  *rack
	count int
}

func (z *zone) gang(each job.Resources, count int, room func(n *Node) job.Resources) (nodes []*Node, racks int) {
	total := 0
	var rooms []rackRoom
	for _, r := range z.racks {
		fit := 0
		for _, n := range r.nodes {
			if n.Open && !n.Probe {
				fit += FitCount(room(n), each, count)
			}
		}
		if fit > 0 {
			rooms = append(rooms, rackRoom{r, fit})
			total += fit
		}
	}
	if total < count {
		return nil, 0
	}
	sort.SliceStable(rooms, func(i, j int) bool { return rooms[i].count > rooms[j].count })
	// The smallest rack that holds all of them leaves the larger ones to larger gangs.
	whole := sort.Search(len(rooms), func(i int) bool { return rooms[i].count < count })
	if whole > 0 {
		rooms = rooms[whole-1:]
	}
	for _, r := range rooms {
		racks++
		for _, n := range r.rack.nodes {
			if !n.Open || n.Probe {
				continue
			}
			for range FitCount(room(n), each, count-len(nodes)) {
				nodes = append(nodes, n)
			}
		}
		if len(nodes) == count {
			break
		}
	}
	return nodes, racks
}

// Feasible reports whether count tasks, or one if they are no gang, would fit into the empty
// workers, closed ones included.
func (x *Index) Feasible(each job.Resources, count int, gang bool, zoneName string) bool {
	if !gang {
		count = 1
	}
	for _, z := range x.zones {
		if zoneName != "" && z.name != zoneName {
			continue
		}
		fit := 0
		for _, r := range z.racks {
			for _, n := range r.nodes {
				if fit += FitCount(n.Info.Has, each, count); fit >= count {
					return true
				}
			}
		}
	}
	return false
}
