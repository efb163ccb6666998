package gate

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"turmericgap/balancer"
	"turmericgap/share"
)

// Status is the state of a gate as shown to operators.
type Status struct {
	ID       string `json:"id"`
	Zone     string `json:"zone"`
	Draining bool   `json:"draining"`
	// InProgress counts checks, job calls and streams.
	InProgress int             `json:"inProgress"`
	Streams    int             `json:"streams"`
	Shares     share.Report    `json:"shares"`
	Services   []ServiceReport `json:"services"`
}

// ServiceReport is the state of one service in the gate's zone.
type ServiceReport struct {
	Service string `json:"service"`
	Waiting int    `json:"waiting"`
	// Slots is the number of slots that this gate may use; RunMicros is how long a check occupies
	// one.
	Slots     int   `json:"slots"`
	RunMicros int64 `json:"runMicros"`
	// RetryAfterMillis is the delay returned to a check that is rejected now.
	RetryAfterMillis int64             `json:"retryAfterMillis"`
	Targets          []balancer.Report `json:"targets"`
}

// Status returns the current state of the gate.
func (g *Gate) Status() *Status {
	now := time.Now()
	s := &Status{
		ID: g.opts.ID, Zone: g.opts.Zone, Draining: g.inProgress.isDraining(), InProgress: g.inProgress.count(),
		Streams: g.inProgress.streamCount(), Shares: g.shares.Report(now),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for service, pool := range g.pools {
		s.Services = append(s.Services, ServiceReport{
			Service: service, Waiting: pool.waitingCount(), Slots: pool.slots, RunMicros: pool.expectedRun().Microseconds(),
			RetryAfterMillis: pool.retryAfter().Milliseconds(), Targets: pool.balancer.Reports(now),
		})
	}
	slices.SortFunc(s.Services, func(a, b ServiceReport) int { return strings.Compare(a.Service, b.Service) })
	return s
}

// ServeStatus writes Status as JSON.
func (g *Gate) ServeStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(g.Status())
}
