package maintenance

import (
	"slices"
	"time"
)

// overhead is the duration of a maintenance in addition to the VM's absence: the calls, and the first hold afterwards.
const overhead = time.Second

// Progress is the state of an open wave. It is not safe for concurrent use.
type Progress struct {
	Wave
	// Begun holds the VMs whose maintenance has begun.
	Begun map[string]bool
	// answeredAt is when the order for each VM was answered.
	answeredAt map[string]time.Time
	// draining holds the VMs that are being drained, and since when.
	draining map[string]time.Time
	// orderPending holds the VMs with a pending order.
	orderPending map[string]bool
	// Loaded is true once the record of former owners was read, Completed once the completion is stored or about to be.
	Loaded, Completed bool
}

// NewProgress returns the state of a wave of which nothing is known.
func NewProgress(w Wave) *Progress {
	return &Progress{
		Wave: w, Begun: make(map[string]bool), answeredAt: make(map[string]time.Time),
		draining: make(map[string]time.Time), orderPending: make(map[string]bool),
	}
}

// IsOpen reports whether there is anything to do for the wave.
func (p *Progress) IsOpen() bool { return p.Loaded && !p.Completed }

// Observation is what is known about the VMs.
type Observation struct {
	// VMs is a list of all VMs by ID, which was requested at RequestedAt.
	VMs         map[string]VM
	RequestedAt time.Time
	// Runs returns the number of runs on a VM.
	Runs func(VM) int
	// OwnerSince is when the owner began, and Duration how long a VM is unavailable during its maintenance.
	OwnerSince time.Time
	Duration   time.Duration
}

// Drained is a VM that is being drained, and for how long; New is true if it was not before.
type Drained struct {
	VM  VM
	For time.Duration
	New bool
}

// Advance returns the VMs to drain as far as the wave's limit allows, and those whose draining is over. finished is true
// once maintenance has begun on every VM that still exists.
func (p *Progress) Advance(o *Observation, now time.Time) (drained []Drained, released []string, finished bool) {
	pending, released, unavailable := p.pending(o)
	if len(pending) == 0 && len(p.orderPending) == 0 {
		return nil, released, true
	}
	slices.SortFunc(pending, func(a, b VM) int { return o.Runs(a) - o.Runs(b) })
	for _, vm := range pending {
		since, draining := p.draining[vm.ID]
		if !draining && (unavailable >= p.MaxUnavailable || vm.State != Up) {
			continue
		}
		if !draining {
			unavailable++
			since = now
			p.draining[vm.ID] = now
		}
		drained = append(drained, Drained{VM: vm, For: now.Sub(since), New: !draining})
	}
	return drained, released, false
}

// pending returns the VMs whose maintenance has not begun and those whose draining is over, and counts those that are
// unavailable or will be soon.
func (p *Progress) pending(o *Observation) (pending []VM, released []string, unavailable int) {
	unavailable = len(p.draining) + len(p.orderPending)
	for _, id := range p.VMs {
		vm, exists := o.VMs[id]
		switch {
		case !exists: // it was removed from the platform
			delete(p.draining, id)
			released = append(released, id)
		case p.Begun[id]:
			delete(p.draining, id)
			released = append(released, id)
			if vm.State != Up || o.RequestedAt.Before(p.earliestReturn(o, id)) {
				unavailable++
			}
		case !p.orderPending[id]:
			pending = append(pending, vm)
		}
	}
	return pending, released, unavailable
}

// earliestReturn returns when a VM whose maintenance has begun is back at the earliest. A list requested before that
// may still show the VM as up, as of a time before the order was carried out.
func (p *Progress) earliestReturn(o *Observation, id string) time.Time {
	at, known := p.answeredAt[id]
	if !known {
		at = o.OwnerSince
	}
	return at.Add(o.Duration)
}

// DrainTimeout returns how long a VM may take to become empty if the wave is to finish in time. duration is how long a
// VM is unavailable during its maintenance.
func (p *Progress) DrainTimeout(duration time.Duration) time.Duration {
	rounds := (len(p.VMs) + p.MaxUnavailable - 1) / p.MaxUnavailable
	return max(p.TimeLimit/time.Duration(max(rounds, 1))-duration-overhead, overhead)
}

// BeginOrder marks the order for a VM as pending. It returns false if one is pending already.
func (p *Progress) BeginOrder(id string) bool {
	if p.orderPending[id] {
		return false
	}
	p.orderPending[id] = true
	delete(p.draining, id)
	return true
}

// EndOrder records the answer to an order: that it was carried out, that the VM is not part of the wave, or any other
// error, after which the order is repeated because it may have been carried out.
func (p *Progress) EndOrder(id string, inWave, carriedOut bool, now time.Time) {
	delete(p.orderPending, id)
	switch {
	case carriedOut:
		p.Begun[id], p.answeredAt[id] = true, now
	case !inWave:
		p.VMs = slices.DeleteFunc(slices.Clone(p.VMs), func(other string) bool { return other == id })
		delete(p.draining, id)
	default:
		p.draining[id] = now
	}
}
