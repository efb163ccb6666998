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

// Status is what an operator sees of a gate.
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

// ServiceReport is one service in the gate's own zone.
type ServiceReport struct {
	Service string `json:"service"`
	Waiting int    `json:"waiting"`
	// Slots is how many this gate may use now, RunMicros how long a check takes one.
	Slots     int   `json:"slots"`
	RunMicros int64 `json:"runMicros"`
	// RetryAfterMillis is what a check that is refused now is told.
	RetryAfterMillis int64             `json:"retryAfterMillis"`
	Targets          []balancer.Report `json:"targets"`
}

// Status gives the gate's present state.
func (g *Gate) Status() *Status {
	now := time.Now()
	p := &Status{
		ID: g.opts.ID, Zone: g.opts.Zone, Draining: g.work.isDraining(), InProgress: g.work.left(),
		Streams: g.work.openStreams(), Shares: g.shares.Report(now),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for service, pool := range g.pools {
		p.Services = append(p.Services, ServiceReport{
			Service: service, Waiting: pool.len(), Slots: pool.slots, RunMicros: pool.run().Microseconds(),
			RetryAfterMillis: pool.retryAfter().Milliseconds(), Targets: pool.balancer.Reports(now),
		})
	}
	slices.SortFunc(p.Services, func(a, b ServiceReport) int { return strings.Compare(a.Service, b.Service) })
	return p
}

// ServeStatus answers an operator with Page as JSON.
func (g *Gate) ServeStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(g.Status())
}
