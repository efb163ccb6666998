package member

import (
	"context"
	"time"

	"go.uber.org/zap"

	"turmericgap/metric"
)

// Options set up a Group; its functions must not call the Group, but for OnChange.
type Options struct {
	// TTL is the lease's length.
	TTL time.Duration
	// ClockDrift is taken off the lease for clocks that run at different rates.
	ClockDrift time.Duration
	// HeartbeatInterval is the interval of heartbeats.
	HeartbeatInterval time.Duration
	// PromiseDuration is how long a promise holds on the asker's clock.
	PromiseDuration time.Duration
	// PollInterval is the longest time between two looks at the store.
	PollInterval time.Duration
	// ElectsOwner says that the table has an owner.
	ElectsOwner bool
	// Call sends a heartbeat to a peer; the default is rpc "member.beat".
	Call func(ctx context.Context, address string, b *Heartbeat) (*HeartbeatReply, error)
	// ListedVMs gives the VMs of the VM list by their Member.VM; known is false before the first list.
	ListedVMs func() (vms map[string]bool, known bool)
	// ListLag is how late the VM list may be.
	ListLag time.Duration
	// Rules gives the version of the rules that this process has in force.
	Rules func() int64
	// OnNewerRules is told of a peer that has newer rules.
	OnNewerRules func(from Member, version int64)
	OnChange     func(Table)
	Logger       *zap.Logger
	Metrics      *metric.Registry
}

// Option changes Options.
type Option func(*Options)

// TTL sets the lease's length; the drift allowance becomes a twentieth of it.
func TTL(d time.Duration) Option {
	return func(o *Options) { o.TTL, o.ClockDrift = d, d/driftShare }
}

// ClockDrift sets the drift allowance; give it after TTL.
func ClockDrift(d time.Duration) Option { return func(o *Options) { o.ClockDrift = d } }

// HeartbeatInterval sets the time between heartbeats.
func HeartbeatInterval(d time.Duration) Option { return func(o *Options) { o.HeartbeatInterval = d } }

// PromiseDuration sets how long a promise holds, at most half of the lease.
func PromiseDuration(d time.Duration) Option { return func(o *Options) { o.PromiseDuration = d } }

// PollInterval sets the longest time between two looks at the store.
func PollInterval(d time.Duration) Option { return func(o *Options) { o.PollInterval = d } }

// ElectsOwner says whether the table has an owner; the default is true for schedulers alone.
func ElectsOwner(yes bool) Option { return func(o *Options) { o.ElectsOwner = yes } }

// Call sets how heartbeats are sent.
func Call(f func(ctx context.Context, address string, b *Heartbeat) (*HeartbeatReply, error)) Option {
	return func(o *Options) { o.Call = f }
}

// ListedVMs sets where the VM list is read.
func ListedVMs(f func() (vms map[string]bool, known bool)) Option {
	return func(o *Options) { o.ListedVMs = f }
}

// ListLag sets how late the VM list may be: a VM that it does not show counts as ended only after it.
func ListLag(d time.Duration) Option { return func(o *Options) { o.ListLag = d } }

// Rules sets how rule versions are told to and learnt from peers.
func Rules(version func() int64, newer func(from Member, version int64)) Option {
	return func(o *Options) { o.Rules, o.OnNewerRules = version, newer }
}

// OnChange is told the newest table after each change, from one goroutine.
func OnChange(f func(Table)) Option { return func(o *Options) { o.OnChange = f } }

// Logger sets the log.
func Logger(l *zap.Logger) Option { return func(o *Options) { o.Logger = l } }

// Metrics sets where the membership's metrics go.
func Metrics(r *metric.Registry) Option { return func(o *Options) { o.Metrics = r } }
