package quota

import "turmericgap/job"

// Ledger holds the pools that have a quota or hold something. It is not safe for concurrent use.
type Ledger struct {
	pools map[string]*pool
}

type pool struct {
	limited bool
	most    job.Resources
	borrow  bool
	holds   job.Resources
	tasks   int
	// members counts the jobs that name the pool.
	members int
}

// New makes a ledger without quotas.
func New() *Ledger { return &Ledger{pools: map[string]*pool{}} }

func (l *Ledger) pool(name string) *pool {
	p, ok := l.pools[name]
	if !ok {
		p = &pool{}
		l.pools[name] = p
	}
	return p
}

// SetLimit bounds a pool; borrow lets it go beyond most while capacity is idle. A part that is zero
// allows nothing of it.
func (l *Ledger) SetLimit(name string, most job.Resources, borrow bool) {
	p := l.pool(name)
	p.limited, p.most, p.borrow = true, most, borrow
}

// ClearLimits forgets all quotas; what is held stays counted.
func (l *Ledger) ClearLimits() {
	for _, p := range l.pools {
		p.limited = false
	}
}

// AddMember keeps a pool known until as many calls of Leave.
func (l *Ledger) AddMember(name string) { l.pool(name).members++ }

// RemoveMember ends one Join; a pool without members that holds nothing is forgotten.
func (l *Ledger) RemoveMember(name string) {
	l.pool(name).members--
	l.sweep(name)
}

func (l *Ledger) sweep(name string) {
	if p := l.pools[name]; p.tasks == 0 && p.members == 0 {
		delete(l.pools, name)
	}
}

// Charge charges a task to a pool.
func (l *Ledger) Charge(name string, r job.Resources) {
	p := l.pool(name)
	p.holds, p.tasks = p.holds.Plus(r), p.tasks+1
}

// Release frees what a task was charged with.
func (l *Ledger) Release(name string, r job.Resources) {
	p := l.pool(name)
	p.holds, p.tasks = p.holds.Minus(r), p.tasks-1
	l.sweep(name)
}

// Fits reports whether the pool could hold r more within its quota.
func (l *Ledger) Fits(name string, r job.Resources) bool {
	p, ok := l.pools[name]
	return !ok || !p.limited || p.holds.Plus(r).Fits(p.most)
}

// CanBorrow reports whether the pool may go beyond its quota.
func (l *Ledger) CanBorrow(name string) bool {
	p, ok := l.pools[name]
	return !ok || !p.limited || p.borrow
}

// Exceeded reports whether the pool holds more than its quota.
func (l *Ledger) Exceeded(name string) bool {
	p, ok := l.pools[name]
	return ok && p.limited && !p.holds.Fits(p.most)
}

// Usage gives what the pool holds.
func (l *Ledger) Usage(name string) job.Resources {
	if p, ok := l.pools[name]; ok {
		return p.holds
	}
	return job.Resources{}
}

// DominantShare is the largest part of its quota that the pool holds, or of all if it has no quota.
func (l *Ledger) DominantShare(name string, all job.Resources) float64 {
	p, ok := l.pools[name]
	if !ok {
		return 0
	}
	if p.limited {
		all = p.most
	}
	share := 0.0
	part := func(holds, most int64) {
		if holds > 0 {
			share = max(share, float64(holds)/float64(max(most, 1)))
		}
	}
	part(p.holds.Millicores, all.Millicores)
	part(p.holds.MemoryMB, all.MemoryMB)
	part(p.holds.Accelerators, all.Accelerators)
	return share
}
