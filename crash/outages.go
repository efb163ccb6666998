package crash

import (
	"slices"
	"time"
)

// Scope is how much of the cell was lost at the moment of a crash.
type Scope int

const (
	// SingleWorker means that the worker was lost by itself.
	SingleWorker Scope = iota
	// SeveralWorkers means that other workers were lost at the same moment, or that the moment is not known.
	SeveralWorkers
	// WholeRack means that nearly all workers of the rack were lost at the same moment, which no task causes.
	WholeRack
)

// String returns the name of the scope in logs.
func (s Scope) String() string { return [...]string{"worker", "several", "rack"}[s] }

const (
	// Moment is the longest time between the first signs of two losses with one cause. A worker without power is
	// noticed only when its pending call times out, up to a second later than another.
	Moment = 1250 * time.Millisecond
	// minRackLosses is the number of lost workers from which a rack may count as lost; rackLossNumerator of every
	// rackLossDivisor of its workers must be lost.
	minRackLosses     = 3
	rackLossNumerator = 3
	rackLossDivisor   = 4
	// minLossesElsewhere is the number of losses in other racks from which a loss is not taken for one by itself.
	minLossesElsewhere = 2
	// outageRetention is how long an outage is remembered: longer than any lease.
	outageRetention = time.Minute
)

// Outage is a worker that stopped answering.
type Outage struct {
	Worker, Rack string
	// At is when the first call failed.
	At time.Time
	// Isolated is true if the worker ran a single suspect, whose crash explains the outage.
	Isolated bool
}

// Outages remembers which workers have stopped answering lately.
type Outages struct{ recent []Outage }

// Add records an outage, unless one of the same worker is recorded.
func (o *Outages) Add(out Outage) {
	o.recent = slices.DeleteFunc(o.recent, func(old Outage) bool { return out.At.Sub(old.At) > outageRetention })
	if !slices.ContainsFunc(o.recent, func(old Outage) bool { return old.Worker == out.Worker }) {
		o.recent = append(o.recent, out)
	}
}

// Remove forgets the outage of a worker that answers again.
func (o *Outages) Remove(worker string) {
	o.recent = slices.DeleteFunc(o.recent, func(old Outage) bool { return old.Worker == worker })
}

// ScopeOf returns how much was lost at the moment of an outage. survivors is the number of workers of its rack that
// were there at that moment and go on.
func (o *Outages) ScopeOf(out Outage, survivors int) Scope {
	inRack, elsewhere := 1, 0
	for _, other := range o.recent {
		switch {
		case other.Worker == out.Worker || other.Isolated || other.At.Sub(out.At).Abs() > Moment:
		case out.Rack != "" && other.Rack == out.Rack:
			inRack++
		default:
			elsewhere++
		}
	}
	switch {
	case inRack >= minRackLosses && inRack*rackLossDivisor >= (inRack+survivors)*rackLossNumerator:
		return WholeRack
	case inRack > 1, elsewhere >= minLossesElsewhere:
		return SeveralWorkers
	}
	return SingleWorker
}
