package balancer

import "time"

// State says what a target may get.
type State string

// The states of a target.
const (
	// Open targets get new requests.
	Open State = "open"
	// Warming targets are new or have returned, and get less for a while.
	Warming State = "warming"
	// Ejected targets get probes only.
	Ejected State = "ejected"
	// Leaving targets keep their sessions.
	Leaving State = "leaving"
)

// Report is what is known of one target.
type Report struct {
	ID          string `json:"id"`
	State       State  `json:"state"`
	Outstanding int    `json:"outstanding"`
	// LatencyMicros is the smoothed time that a request worked there.
	LatencyMicros int64 `json:"latencyMicros"`
	// Failures counts those in a row.
	Failures int `json:"failures"`
	// ProbeInMillis is the time until an ejected target is tested.
	ProbeInMillis int64 `json:"probeInMillis,omitempty"`
}

// Reports tells of all targets, in the order of the list.
func (b *Balancer) Reports(now time.Time) []Report {
	out := make([]Report, 0, len(b.list))
	for _, e := range b.list {
		r := Report{
			ID: e.info.ID, State: Open, Outstanding: e.outstanding, Failures: e.failures,
			LatencyMicros: time.Duration(e.latency * float64(time.Second)).Microseconds(),
		}
		switch {
		case e.info.Leaving:
			r.State = Leaving
		case e.ejected:
			r.State = Ejected
			r.ProbeInMillis = max(0, e.until.Sub(now).Milliseconds())
		case b.weight(e, now) < 1:
			r.State = Warming
		}
		out = append(out, r)
	}
	return out
}
