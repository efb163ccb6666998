package account

import (
	"math"

	"turmericgap/job"
)

// Ledger tracks what the running tasks of each account use, and how much more its cap allows. It is not safe for
// concurrent use.
//
// Load pattern: an account submits more than its cap allows, a wide gang among many single tasks. A gang may hold a part
// of the cap, or single tasks would take whatever becomes free below the cap and the gang would never fit.
type Ledger struct {
	overrun float64
	uses    map[string]*use
	// held lists the accounts with a hold.
	held []*use
}

// use is what one account uses. It is kept while the account has a cap, or tasks that run.
type use struct {
	running job.Resources
	tasks   int
	cap     job.Resources
	// configured is true while the account is part of the configuration.
	configured bool
	// hold is the part of the cap that is kept from tasks of holdPriority and less urgent ones.
	hold         job.Resources
	holdPriority int
	holds        bool
}

// Need is what the tasks of a step need, with the priority at which they start; lower values are more urgent.
type Need struct {
	Account  string
	Task     job.Resources
	Tasks    int
	Priority int
}

// NewLedger returns a Ledger without caps. A gang that needs more than the cap may exceed it by a fraction, the overrun,
// while nothing else of its account runs.
func NewLedger(overrun float64) *Ledger {
	return &Ledger{overrun: overrun, uses: make(map[string]*use)}
}

func (l *Ledger) use(name string) *use {
	u := l.uses[name]
	if u == nil {
		u = &use{}
		l.uses[name] = u
	}
	return u
}

// SetCaps sets the caps of the accounts. An account that is no longer configured keeps its cap while its tasks run.
func (l *Ledger) SetCaps(accounts []job.Account) {
	for _, u := range l.uses {
		u.configured = false
	}
	for i := range accounts {
		u := l.use(accounts[i].Name)
		u.cap, u.configured = accounts[i].Cap, true
	}
	for name, u := range l.uses {
		if !u.configured && u.tasks == 0 {
			delete(l.uses, name)
		}
	}
}

// Charge adds a task that may be running. Works without an account have no cap.
func (l *Ledger) Charge(name string, need job.Resources) {
	if name == "" {
		return
	}
	u := l.use(name)
	u.running, u.tasks = u.running.Plus(need), u.tasks+1
}

// Release removes a task that has certainly ended.
func (l *Ledger) Release(name string, need job.Resources) {
	if name == "" {
		return
	}
	u := l.use(name)
	u.running, u.tasks = u.running.Minus(need), u.tasks-1
	if u.tasks == 0 && !u.configured {
		delete(l.uses, name)
	}
}

// Fit returns how many more single tasks may start. An account with nothing running may start one task whatever its cap
// is, or a task that is larger than the cap would wait forever.
func (l *Ledger) Fit(n *Need) int {
	u := l.uses[n.Account]
	if u == nil {
		return math.MaxInt32
	}
	held := u.heldFrom(n.Priority)
	fits := fitUnder(u.cap, u.running.Plus(held), n.Task)
	if fits == 0 && u.tasks == 0 && held == (job.Resources{}) {
		return 1
	}
	return fits
}

// heldFrom returns the part of the cap that is kept from tasks of a priority.
func (u *use) heldFrom(priority int) job.Resources {
	if !u.holds || priority < u.holdPriority {
		return job.Resources{}
	}
	return u.hold
}

// FitsGang reports whether all tasks of a gang may start now.
func (l *Ledger) FitsGang(n *Need) bool {
	u := l.uses[n.Account]
	if u == nil {
		return true
	}
	held := u.heldFrom(n.Priority)
	if fitUnder(u.cap, u.running.Plus(held), n.Task) >= n.Tasks {
		return true
	}
	return u.tasks == 0 && held == (job.Resources{}) && l.FitsEver(n)
}

// FitsEver reports whether all tasks of a gang may run while nothing else of the account does.
func (l *Ledger) FitsEver(n *Need) bool {
	u := l.uses[n.Account]
	return u == nil || isWithin(n.Task.Times(n.Tasks-1), l.limit(u.cap))
}

// IsHalfFree reports whether the account has less than half of its cap running.
func (l *Ledger) IsHalfFree(name string) bool {
	u := l.uses[name]
	if u == nil {
		return true
	}
	isFree := func(used, limit int64) bool { return limit <= 0 || 2*used < limit }
	return isFree(u.running.Millicores, u.cap.Millicores) && isFree(u.running.MemoryMB, u.cap.MemoryMB) &&
		isFree(u.running.Accelerators, u.cap.Accelerators)
}

// Exceeds reports whether the account has more running than its cap, the overrun and one task: its cap was lowered.
func (l *Ledger) Exceeds(name string, need job.Resources) bool {
	u := l.uses[name]
	return u != nil && !isWithin(u.running.Minus(need), l.limit(u.cap))
}

// Hold keeps a part of the cap for a gang until Unhold or ClearHolds. Only one gang of an account holds a part; Hold
// returns false for the others.
func (l *Ledger) Hold(n *Need) bool {
	u := l.uses[n.Account]
	if u == nil || u.holds {
		return false
	}
	u.hold, u.holdPriority, u.holds = n.Task.Times(n.Tasks), n.Priority, true
	l.held = append(l.held, u)
	return true
}

// Unhold ends the hold of an account.
func (l *Ledger) Unhold(name string) {
	if u := l.uses[name]; u != nil {
		u.hold, u.holds = job.Resources{}, false
	}
}

// ClearHolds ends all holds.
func (l *Ledger) ClearHolds() {
	for _, u := range l.held {
		u.hold, u.holds = job.Resources{}, false
	}
	clear(l.held)
	l.held = l.held[:0]
}

// Running returns what the tasks of an account use, how many there are, and the cap.
func (l *Ledger) Running(name string) (running job.Resources, tasks int, limit job.Resources) {
	if u := l.uses[name]; u != nil {
		return u.running, u.tasks, u.cap
	}
	return job.Resources{}, 0, job.Resources{}
}

// limit returns a cap with the overrun.
func (l *Ledger) limit(c job.Resources) job.Resources {
	extend := func(v int64) int64 { return int64(float64(v) * (1 + l.overrun)) }
	return job.Resources{Millicores: extend(c.Millicores), MemoryMB: extend(c.MemoryMB), Accelerators: extend(c.Accelerators)}
}

// fitUnder returns how many tasks fit under a limit beside what is used. A resource whose limit is zero is not limited.
func fitUnder(limit, used, need job.Resources) int {
	n := int64(math.MaxInt32)
	consider := func(limit, used, need int64) {
		if limit > 0 && need > 0 {
			n = min(n, max(limit-used, 0)/need)
		}
	}
	consider(limit.Millicores, used.Millicores, need.Millicores)
	consider(limit.MemoryMB, used.MemoryMB, need.MemoryMB)
	consider(limit.Accelerators, used.Accelerators, need.Accelerators)
	return int(n)
}

// isWithin reports whether an amount is at most the limit in each limited resource.
func isWithin(amount, limit job.Resources) bool {
	within := func(amount, limit int64) bool { return limit <= 0 || amount <= limit }
	return within(amount.Millicores, limit.Millicores) && within(amount.MemoryMB, limit.MemoryMB) &&
		within(amount.Accelerators, limit.Accelerators)
}
