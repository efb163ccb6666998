package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"turmericgap/rpc"
)

// Option configures a Group.
type Option func(*Group)

// Logger sets the logger.
func Logger(l *zap.Logger) Option { return func(g *Group) { g.log = l } }

// RunTenure sets the function that the owner runs. Its context ends with the tenure, and the next tenure starts only
// after it has returned.
func RunTenure(f func(ctx context.Context, t *Tenure)) Option {
	return func(g *Group) { g.runTenure = f }
}

// Rules sets the function that receives the operators' rules as stored. It must not call the group.
func Rules(take func(raw []byte)) Option { return func(g *Group) { g.onRules = take } }

// Dial sets the function that opens connections to other VMs.
func Dial(client func(address string) *rpc.Client) Option {
	return func(g *Group) { g.client = client }
}

// StoreFailing sets the function that reports whether, and since when, the store does not answer this VM.
func StoreFailing(f func() (since time.Time, failing bool)) Option {
	return func(g *Group) { g.storeFailing = f }
}

// Overloaded sets the function that reports whether this VM cannot keep up with the cell that it owns.
func Overloaded(f func() bool) Option { return func(g *Group) { g.overloaded = f } }

// CPUProbe sets the function that times a fixed amount of CPU work on this VM.
func CPUProbe(f func() time.Duration) Option { return func(g *Group) { g.cpuProbe = f } }

// TTL sets the duration of the lease and the interval between its renewals.
func TTL(ttl, renewInterval time.Duration) Option {
	return func(g *Group) { g.ttl, g.renewInterval = ttl, renewInterval }
}
