package share

import "time"

// Report is how this gate stands with its zone's gates.
type Report struct {
	// Valid says whether the gate holds its membership.
	Valid bool `json:"valid"`
	// Version is the newest table known, Agreed the newest that all have confirmed; zero means none.
	Version int64 `json:"version"`
	Agreed  int64 `json:"agreed"`
	// SettlingMillis is how long requests of removed gates are still waited for.
	SettlingMillis int64 `json:"settlingMillis,omitempty"`
	// Missing lists the gates that have not confirmed the newest table.
	Missing []string `json:"missing,omitempty"`
	// Used counts the slots of its own share that are taken, Lent and Borrowed those of loans.
	Used     int `json:"used"`
	Lent     int `json:"lent"`
	Borrowed int `json:"borrowed"`
}

// Report tells of this gate's shares.
func (h *Allocator) Report(now time.Time) Report {
	valid := h.opts.Valid()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.move(now)
	r := Report{Valid: valid}
	if h.base != nil {
		r.Agreed = h.base.Version
	}
	if t := h.newest(); t != nil {
		r.Version = t.Version
		r.Missing = h.missing(t)
		if t != h.base {
			r.SettlingMillis = max(0, h.settled.Sub(now).Milliseconds())
		}
	}
	for _, u := range h.uses {
		u.prune(now)
		r.Used += u.own
		r.Lent += u.lentOut()
		for _, b := range u.borrowed {
			r.Borrowed += b.slots
		}
	}
	return r
}

// missing lists the other gates of t that have not confirmed it.
func (h *Allocator) missing(t *Table) []string {
	var out []string
	for _, gate := range t.Gates {
		if gate != h.id && h.confirmed[gate].Version != t.Version {
			out = append(out, gate)
		}
	}
	return out
}
