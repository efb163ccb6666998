package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"turmericgap/rpc"
)

// Option sets up a Group.
type Option func(*Group)

// Logger sets where the group logs.
func Logger(l *zap.Logger) Option { return func(g *Group) { g.log = l } }

// Lead sets what the owner does; its context ends with the tenure, and the next tenure waits for it.
func Lead(f func(ctx context.Context, t *Tenure)) Option { return func(g *Group) { g.lead = f } }

// Rules sets what gets the operators' rules as they are stored. It must not call the group.
func Rules(take func(raw []byte)) Option { return func(g *Group) { g.rules = take } }

// Dial sets how connections to other VMs are opened.
func Dial(client func(address string) *rpc.Client) Option {
	return func(g *Group) { g.client = client }
}

// StoreFailing sets what tells that the store gives this VM no answers.
func StoreFailing(f func() (since time.Time, failing bool)) Option {
	return func(g *Group) { g.failing = f }
}

// Overloaded sets what tells that this VM cannot keep up with the cell that it owns.
func Overloaded(f func() bool) Option { return func(g *Group) { g.overloaded = f } }

// CPUProbe sets what times a fixed piece of work on this VM.
func CPUProbe(f func() time.Duration) Option { return func(g *Group) { g.measure = f } }

// TTL sets the lease and the pause between its renewals.
func TTL(ttl, renew time.Duration) Option {
	return func(g *Group) { g.ttl, g.renew = ttl, renew }
}
