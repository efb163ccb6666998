package share

import "time"

// Report describes how far this gate and the other gates of its zone agree, and its use of slots.
type Report struct {
	// Valid is set while the gate is a member of its zone.
	Valid bool `json:"valid"`
	// Version is the newest known table, Agreed the newest that all gates have confirmed; zero means none.
	Version int64 `json:"version"`
	Agreed  int64 `json:"agreed"`
	// SettlingMillis is how much longer this gate waits for requests of removed gates.
	SettlingMillis int64 `json:"settlingMillis,omitempty"`
	// Missing lists the gates that have not confirmed the newest table.
	Missing []string `json:"missing,omitempty"`
	// Used counts slots in use from the gate's own share, Lent and Borrowed those of loans.
	Used     int `json:"used"`
	Lent     int `json:"lent"`
	Borrowed int `json:"borrowed"`
}

// Report returns the current state of this gate's shares.
func (a *Allocator) Report(now time.Time) Report {
	valid := a.opts.Valid()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	r := Report{Valid: valid}
	if a.base != nil {
		r.Agreed = a.base.Version
	}
	if t := a.newest(); t != nil {
		r.Version = t.Version
		r.Missing = a.unconfirmedBy(t)
		if t != a.base {
			r.SettlingMillis = max(0, a.graceEnds.Sub(now).Milliseconds())
		}
	}
	for _, u := range a.usages {
		u.prune(now)
		r.Used += u.ownInUse
		r.Lent += u.lentSlots()
		for _, b := range u.borrowed {
			r.Borrowed += b.slots
		}
	}
	return r
}

// unconfirmedBy returns the other gates of t that have not confirmed it.
func (a *Allocator) unconfirmedBy(t *Table) []string {
	var out []string
	for _, gate := range t.Gates {
		if gate != a.id && a.confirmed[gate].Version != t.Version {
			out = append(out, gate)
		}
	}
	return out
}
