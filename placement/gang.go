package placement

import (
	"sort"

	"turmericgap/job"
)

// FindGang returns a worker for each of count equal tasks, all in one zone and in as few racks as possible, or nil if
// they fit into no zone. usable returns the resources that the gang may use on a node. Workers on probe are not used.
func (x *Index) FindGang(request job.Resources, count int, zoneName string, usable func(n *Node) job.Resources) []*Node {
	var best []*Node
	bestRacks := 0
	for i := range x.zones {
		z := x.zoneAt(i)
		if zoneName != "" && z.name != zoneName {
			continue
		}
		if nodes, racks := z.findGang(request, count, usable); nodes != nil && (best == nil || racks < bestRacks) {
			best, bestRacks = nodes, racks
		}
	}
	return best
}

type rackFit struct {
	rack  *rack
	count int
}

func (z *zone) findGang(request job.Resources, count int, usable func(n *Node) job.Resources) (nodes []*Node, racks int) {
	total := 0
	var fits []rackFit
	for _, r := range z.racks {
		fit := 0
		for _, n := range r.nodes {
			if n.Open && !n.Probe {
				fit += FitCount(usable(n), request, count)
			}
		}
		if fit > 0 {
			fits = append(fits, rackFit{r, fit})
			total += fit
		}
	}
	if total < count {
		return nil, 0
	}
	sort.SliceStable(fits, func(i, j int) bool { return fits[i].count > fits[j].count })
	// Using the smallest rack that holds the whole gang keeps larger racks free for larger gangs.
	whole := sort.Search(len(fits), func(i int) bool { return fits[i].count < count })
	if whole > 0 {
		fits = fits[whole-1:]
	}
	for _, r := range fits {
		racks++
		for _, n := range r.rack.nodes {
			if !n.Open || n.Probe {
				continue
			}
			for range FitCount(usable(n), request, count-len(nodes)) {
				nodes = append(nodes, n)
			}
		}
		if len(nodes) == count {
			break
		}
	}
	return nodes, racks
}

// Feasible reports whether count tasks, or one task if gang is false, would fit into the workers if they were empty.
// Closed workers are included.
func (x *Index) Feasible(request job.Resources, count int, gang bool, zoneName string) bool {
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
				if fit += FitCount(n.Info.Has, request, count); fit >= count {
					return true
				}
			}
		}
	}
	return false
}
