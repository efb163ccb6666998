package gate

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"turmericgap/job"
	"turmericgap/rpc"
)

// maxPeersTried limits the gates of one zone to which a check is sent.
const maxPeersTried = 2

// route tries the zones in the order of zoneOrder. It goes on to the next zone only if the check was
// not sent to a target and no limit rejected it.
func (g *Gate) route(ctx context.Context, cl *call) *Result {
	if cl.check.Forwarded {
		return g.run(ctx, cl)
	}
	r := notRun("no target runs this service", 0)
	for _, zone := range g.zoneOrder(cl) {
		if zone == g.opts.Zone {
			r = g.run(ctx, cl)
		} else {
			r = g.forward(ctx, cl, zone)
		}
		if r.Outcome != job.NotRun || r.Limited || r.Attempts > 0 {
			return r
		}
	}
	return r
}

// zoneOrder returns the zones to try: the preferred zone of the check, then the gate's own zone, then
// the others, whose targets are farther away.
func (g *Gate) zoneOrder(cl *call) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	service := cl.check.Service
	known := g.serviceZones[service]
	zones := make([]string, 0, len(known))
	add := func(zone string) {
		for _, z := range zones {
			if z == zone {
				return
			}
		}
		zones = append(zones, zone)
	}
	for _, zone := range known {
		if zone == cl.zone {
			add(zone)
		}
	}
	for _, zone := range known {
		if zone == g.opts.Zone {
			add(zone)
		}
	}
	start := int(g.sequence.Add(1) % math.MaxInt32)
	for i := range known {
		add(known[(start+i)%len(known)])
	}
	return zones
}

// forward sends a check to a gate of another zone.
func (g *Gate) forward(ctx context.Context, cl *call, zone string) *Result {
	peers := slices.Clone(g.opts.Peers(zone))
	r := notRun("no gate of zone "+zone+" reached", noTargetRetry)
	start := int(g.sequence.Add(1) % math.MaxInt32)
	if cl.check.Session != "" {
		// All requests of a session go through the same gate while it is alive, which keeps their
		// order.
		slices.Sort(peers)
		start = int(xxhash.Sum64String(cl.check.Session) % math.MaxInt32)
	}
	for i := range min(maxPeersTried, len(peers)) {
		var next bool
		if r, next = g.forwardTo(ctx, cl, peers[(start+i)%len(peers)]); !next {
			return r
		}
	}
	return r
}

// forwardTo sends a check to one gate and reports whether another gate may be tried.
func (g *Gate) forwardTo(ctx context.Context, cl *call, address string) (*Result, bool) {
	ctx, span := otel.Tracer(tracerName).Start(ctx, "forward",
		trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attribute.String("peer", address)))
	defer span.End()
	c := cl.check
	c.Forwarded, c.Deadline = true, time.Until(cl.deadline)
	if c.Deadline < minRunTime || ctx.Err() != nil {
		return cl.finish(notRun("no time left", minRetryAfter)), false
	}
	g.metrics.forwarded.Inc(1)
	r, err := g.opts.Forward(ctx, address, &c)
	switch fault := rpc.AsFault(err); {
	case err == nil && r != nil:
		cl.attempts += r.Attempts
		return cl.finish(r), r.Outcome == job.NotRun && !r.Limited && !r.Gone && r.Attempts == 0
	case errors.Is(err, rpc.ErrNotSent):
		return cl.finish(notRun("gate not reached", noTargetRetry)), true
	case fault != nil && fault.Code == rpc.CodeRefused:
		return cl.finish(notRun(fault.Reason, fault.RetryAfter)), true
	}
	cl.mayHaveRun = true
	return cl.finish(notRun("no answer from gate "+address, 0)), false
}

// HandleForwarded handles a check forwarded by a gate of another zone.
func (g *Gate) HandleForwarded(ctx context.Context, c *Check) (*Result, error) {
	in := *c
	in.Forwarded = true
	return g.Do(ctx, &in), nil
}
