package dispatch

import (
	"math"
	"slices"
)

// bucketMillicores is how much more room, in thousandths of a core, the workers of one shelf have than those of the one
// below; bucketCount is how many shelves there are, the last one for all that have more.
const (
	bucketMillicores = 500
	bucketCount      = 130
)

// roomIndex files workers by availability zone and by the processors that are free on them, so that those with room for
// a task are found without a look at the others. It follows each change of a worker's room.
type roomIndex struct {
	zones map[string]*zoneBuckets
	// counts is how many workers of any zone are on each shelf.
	counts [bucketCount]int
}

// zoneBuckets are the workers of one zone, by room.
type zoneBuckets [bucketCount][]*node

// indexPosition is where a worker is filed.
type indexPosition struct {
	index *roomIndex
	zone  string
	// bucket and slot are its bucket and its place there; filed says that it is on one.
	bucket, slot int
	indexed      bool
}

func bucketOf(millicores int64) int {
	return int(min(max(millicores/bucketMillicores, 0), bucketCount-1))
}

// updateIndex puts a worker where its room belongs.
func (n *node) updateIndex() {
	p := &n.position
	if p.index == nil {
		return
	}
	shelf := bucketOf(n.free.Millicores - n.setAside.Millicores)
	if p.indexed && p.bucket == shelf && p.zone == n.listing.Zone {
		return
	}
	n.leaveIndex()
	z := p.index.zone(n.listing.Zone)
	p.zone, p.bucket, p.slot, p.indexed = n.listing.Zone, shelf, len(z[shelf]), true
	z[shelf] = append(z[shelf], n)
	p.index.counts[shelf]++
}

// leaveIndex takes a worker off its shelf.
func (n *node) leaveIndex() {
	p := &n.position
	if !p.indexed {
		return
	}
	p.indexed = false
	shelf := &p.index.zone(p.zone)[p.bucket]
	last := len(*shelf) - 1
	(*shelf)[p.slot] = (*shelf)[last]
	(*shelf)[p.slot].position.slot = p.slot
	(*shelf)[last] = nil
	*shelf = (*shelf)[:last]
	p.index.counts[p.bucket]--
}

func (r *roomIndex) zone(name string) *zoneBuckets {
	if r.zones == nil {
		r.zones = make(map[string]*zoneBuckets)
	}
	if r.zones[name] == nil {
		r.zones[name] = &zoneBuckets{}
	}
	return r.zones[name]
}

// maxFree gives no less than the free processors of any worker.
func (r *roomIndex) maxFree() int64 {
	for shelf := bucketCount - 1; shelf >= 0; shelf-- {
		switch {
		case r.counts[shelf] == 0:
		case shelf == bucketCount-1:
			return math.MaxInt64
		default:
			return int64(shelf+1)*bucketMillicores - 1
		}
	}
	return 0
}

// visit gives the workers with no less room than a shelf holds to take, those with the most first: first the zone
// that is named, then the others. It begins at another worker of a shelf each time, so that not all that look at the
// same time find the same ones. It stops when take gives false.
func (r *roomIndex) visit(zone string, shelf, turn int, take func(*node) bool) {
	order := []string{zone}
	for name := range r.zones {
		if name != zone {
			order = append(order, name)
		}
	}
	slices.Sort(order[1:])
	for _, name := range order {
		z := r.zones[name]
		if z == nil {
			continue
		}
		for at := bucketCount - 1; at >= shelf; at-- {
			for i := range z[at] {
				if !take(z[at][(i+turn)%len(z[at])]) {
					return
				}
			}
		}
	}
}

// fitsNowhere reports whether a task of the stage surely fits no worker. In a full cell it spares the stages that wait
// a look at their workers each.
func (t *term) fitsNowhere(s *stage) bool {
	return t.roomIndex.maxFree() < s.taskResources().Millicores
}
