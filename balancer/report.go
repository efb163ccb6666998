package balancer

import "time"

// State is the state of a target as shown to operators.
type State string

// The states of a target.
const (
	// Open targets get new requests.
	Open State = "open"
	// Warming targets are new or reinstated and get fewer requests for a while.
	Warming State = "warming"
	// Ejected targets get only probes.
	Ejected State = "ejected"
	// Leaving targets get only requests of their sessions.
	Leaving State = "leaving"
)

// Report is the state of one target.
type Report struct {
	ID          string `json:"id"`
	State       State  `json:"state"`
	Outstanding int    `json:"outstanding"`
	// LatencyMicros is the smoothed latency of requests at the target.
	LatencyMicros int64 `json:"latencyMicros"`
	// Failures counts consecutive failures.
	Failures int `json:"failures"`
	// ProbeInMillis is the time until an ejected target may be probed.
	ProbeInMillis int64 `json:"probeInMillis,omitempty"`
}

// Reports returns the reports of all targets in list order.
func (b *Balancer) Reports(now time.Time) []Report {
	out := make([]Report, 0, len(b.targets))
	for _, e := range b.targets {
		r := Report{
			ID: e.info.ID, State: Open, Outstanding: e.outstanding, Failures: e.failures,
			LatencyMicros: time.Duration(e.latency * float64(time.Second)).Microseconds(),
		}
		switch {
		case e.info.Leaving:
			r.State = Leaving
		case e.ejected:
			r.State = Ejected
			r.ProbeInMillis = max(0, e.ejectedUntil.Sub(now).Milliseconds())
		case b.weight(e, now) < 1:
			r.State = Warming
		}
		out = append(out, r)
	}
	return out
}
