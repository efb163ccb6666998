package quota

import "turmericgap/job"

// Ledger tracks the pools that have a quota, tasks or members. It is not safe for concurrent use.
type Ledger struct {
	pools map[string]*pool
}

type pool struct {
	limited   bool
	limit     job.Resources
	canBorrow bool
	usage     job.Resources
	tasks     int
	// members counts the jobs that use the pool.
	members int
}

// New returns a Ledger without quotas.
func New() *Ledger { return &Ledger{pools: map[string]*pool{}} }

func (l *Ledger) pool(name string) *pool {
	p, ok := l.pools[name]
	if !ok {
		p = &pool{}
		l.pools[name] = p
	}
	return p
}

// SetLimit sets a pool's quota; borrow lets the pool exceed it while capacity is idle. A resource whose limit is zero
// may not be used at all.
func (l *Ledger) SetLimit(name string, limit job.Resources, borrow bool) {
	p := l.pool(name)
	p.limited, p.limit, p.canBorrow = true, limit, borrow
}

// ClearLimits removes all quotas; current usage stays counted.
func (l *Ledger) ClearLimits() {
	for _, p := range l.pools {
		p.limited = false
	}
}

// AddMember keeps a pool in the ledger until RemoveMember is called as often.
func (l *Ledger) AddMember(name string) { l.pool(name).members++ }

// RemoveMember undoes one AddMember. A pool without members and tasks is removed.
func (l *Ledger) RemoveMember(name string) {
	l.pool(name).members--
	l.removeIfUnused(name)
}

func (l *Ledger) removeIfUnused(name string) {
	if p := l.pools[name]; p.tasks == 0 && p.members == 0 {
		delete(l.pools, name)
	}
}

// Charge adds a task's resources to a pool's usage.
func (l *Ledger) Charge(name string, r job.Resources) {
	p := l.pool(name)
	p.usage, p.tasks = p.usage.Plus(r), p.tasks+1
}

// Release removes a task's resources from a pool's usage.
func (l *Ledger) Release(name string, r job.Resources) {
	p := l.pool(name)
	p.usage, p.tasks = p.usage.Minus(r), p.tasks-1
	l.removeIfUnused(name)
}

// Fits reports whether the pool could use r more within its quota.
func (l *Ledger) Fits(name string, r job.Resources) bool {
	p, ok := l.pools[name]
	return !ok || !p.limited || p.usage.Plus(r).FitsIn(p.limit)
}

// CanBorrow reports whether the pool may exceed its quota.
func (l *Ledger) CanBorrow(name string) bool {
	p, ok := l.pools[name]
	return !ok || !p.limited || p.canBorrow
}

// Exceeded reports whether the pool uses more than its quota.
func (l *Ledger) Exceeded(name string) bool {
	p, ok := l.pools[name]
	return ok && p.limited && !p.usage.FitsIn(p.limit)
}

// Usage returns the resources that the pool uses.
func (l *Ledger) Usage(name string) job.Resources {
	if p, ok := l.pools[name]; ok {
		return p.usage
	}
	return job.Resources{}
}

// DominantShare returns the largest fraction that the pool uses of any resource, relative to its quota, or to capacity
// if it has none.
func (l *Ledger) DominantShare(name string, capacity job.Resources) float64 {
	p, ok := l.pools[name]
	if !ok {
		return 0
	}
	if p.limited {
		capacity = p.limit
	}
	share := 0.0
	consider := func(used, limit int64) {
		if used > 0 {
			share = max(share, float64(used)/float64(max(limit, 1)))
		}
	}
	consider(p.usage.Millicores, capacity.Millicores)
	consider(p.usage.MemoryMB, capacity.MemoryMB)
	consider(p.usage.Accelerators, capacity.Accelerators)
	return share
}
