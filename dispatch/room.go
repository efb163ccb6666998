package dispatch

import (
	"math"
	"slices"
)

// roomStep is how much more room, in thousandths of a core, the workers of one shelf have than those of the one
// below; roomShelves is how many shelves there are, the last one for all that have more.
const (
	roomStep    = 500
	roomShelves = 130
)

// rooms files workers by availability zone and by the processors that are free on them, so that those with room for
// a task are found without a look at the others. It follows each change of a worker's room.
type rooms struct {
	zones map[string]*shelves
	// counts is how many workers of any zone are on each shelf.
	counts [roomShelves]int
}

// shelves are the workers of one zone, by room.
type shelves [roomShelves][]*node

// place is where a worker is filed.
type place struct {
	rooms *rooms
	zone  string
	// shelf and at are its shelf and its place there; filed says that it is on one.
	shelf, at int
	filed     bool
}

func shelfOf(millicores int64) int {
	return int(min(max(millicores/roomStep, 0), roomShelves-1))
}

// file puts a worker where its room belongs.
func (n *node) file() {
	p := &n.place
	if p.rooms == nil {
		return
	}
	shelf := shelfOf(n.free.Millicores - n.held.Millicores)
	if p.filed && p.shelf == shelf && p.zone == n.listing.Zone {
		return
	}
	n.unfile()
	z := p.rooms.zone(n.listing.Zone)
	p.zone, p.shelf, p.at, p.filed = n.listing.Zone, shelf, len(z[shelf]), true
	z[shelf] = append(z[shelf], n)
	p.rooms.counts[shelf]++
}

// unfile takes a worker off its shelf.
func (n *node) unfile() {
	p := &n.place
	if !p.filed {
		return
	}
	p.filed = false
	shelf := &p.rooms.zone(p.zone)[p.shelf]
	last := len(*shelf) - 1
	(*shelf)[p.at] = (*shelf)[last]
	(*shelf)[p.at].place.at = p.at
	(*shelf)[last] = nil
	*shelf = (*shelf)[:last]
	p.rooms.counts[p.shelf]--
}

func (r *rooms) zone(name string) *shelves {
	if r.zones == nil {
		r.zones = make(map[string]*shelves)
	}
	if r.zones[name] == nil {
		r.zones[name] = &shelves{}
	}
	return r.zones[name]
}

// most gives no less than the free processors of any worker.
func (r *rooms) most() int64 {
	for shelf := roomShelves - 1; shelf >= 0; shelf-- {
		switch {
		case r.counts[shelf] == 0:
		case shelf == roomShelves-1:
			return math.MaxInt64
		default:
			return int64(shelf+1)*roomStep - 1
		}
	}
	return 0
}

// from gives the workers with no less room than a shelf holds to take, those with the most first: first the zone
// that is named, then the others. It begins at another worker of a shelf each time, so that not all that look at the
// same time find the same ones. It stops when take gives false.
func (r *rooms) from(zone string, shelf, turn int, take func(*node) bool) {
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
		for at := roomShelves - 1; at >= shelf; at-- {
			for i := range z[at] {
				if !take(z[at][(i+turn)%len(z[at])]) {
					return
				}
			}
		}
	}
}

// noRoom reports whether a task of the stage surely fits no worker. In a full cell it spares the stages that wait
// a look at their workers each.
func (t *term) noRoom(s *stage) bool { return t.rooms.most() < s.charge().Millicores }
