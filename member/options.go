package member

import (
	"context"
	"time"

	"go.uber.org/zap"

	"turmericgap/metric"
)

// Options configures a Group. Its functions must not call the Group, except for OnChange.
type Options struct {
	// TTL is the duration of the lease.
	TTL time.Duration
	// ClockDrift is subtracted from the lease to allow for clocks that run at different rates.
	ClockDrift time.Duration
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval time.Duration
	// PromiseDuration is how long a promise holds, on the clock of the member that asked for it.
	PromiseDuration time.Duration
	// PollInterval is the longest time between two reads of the store.
	PollInterval time.Duration
	// ElectsOwner reports whether the table has an owner.
	ElectsOwner bool
	// Call sends a heartbeat to a peer; the default is the rpc method "member.beat".
	Call func(ctx context.Context, address string, b *Heartbeat) (*HeartbeatReply, error)
	// ListedVMs returns the VM list, keyed by Member.VM; known is false until a list has been read.
	ListedVMs func() (vms map[string]bool, known bool)
	// ListLag is how far the VM list may be out of date.
	ListLag time.Duration
	// Rules returns the version of the rules that this process has in force.
	Rules func() int64
	// OnNewerRules is called when a peer has newer rules.
	OnNewerRules func(from Member, version int64)
	OnChange     func(Table)
	Logger       *zap.Logger
	Metrics      *metric.Registry
}

// Option changes Options.
type Option func(*Options)

// TTL sets the duration of the lease and sets the drift allowance to a twentieth of it.
func TTL(d time.Duration) Option {
	return func(o *Options) { o.TTL, o.ClockDrift = d, d/clockDriftDivisor }
}

// ClockDrift sets the drift allowance; it must follow TTL.
func ClockDrift(d time.Duration) Option { return func(o *Options) { o.ClockDrift = d } }

// HeartbeatInterval sets the time between heartbeats.
func HeartbeatInterval(d time.Duration) Option { return func(o *Options) { o.HeartbeatInterval = d } }

// PromiseDuration sets how long a promise holds; the maximum is half of the lease.
func PromiseDuration(d time.Duration) Option { return func(o *Options) { o.PromiseDuration = d } }

// PollInterval sets the longest time between two reads of the store.
func PollInterval(d time.Duration) Option { return func(o *Options) { o.PollInterval = d } }

// ElectsOwner sets whether the table has an owner; by default only the schedulers' table has one.
func ElectsOwner(yes bool) Option { return func(o *Options) { o.ElectsOwner = yes } }

// Call sets the function that sends heartbeats.
func Call(f func(ctx context.Context, address string, b *Heartbeat) (*HeartbeatReply, error)) Option {
	return func(o *Options) { o.Call = f }
}

// ListedVMs sets the function that returns the VM list.
func ListedVMs(f func() (vms map[string]bool, known bool)) Option {
	return func(o *Options) { o.ListedVMs = f }
}

// ListLag sets how far the VM list may be out of date: a VM missing from it counts as ended only after this time.
func ListLag(d time.Duration) Option { return func(o *Options) { o.ListLag = d } }

// Rules sets how rule versions are announced to peers and learnt from them.
func Rules(version func() int64, newer func(from Member, version int64)) Option {
	return func(o *Options) { o.Rules, o.OnNewerRules = version, newer }
}

// OnChange sets a function that gets the newest table after each change, always from the same goroutine.
func OnChange(f func(Table)) Option { return func(o *Options) { o.OnChange = f } }

// Logger sets the logger.
func Logger(l *zap.Logger) Option { return func(o *Options) { o.Logger = l } }

// Metrics sets the registry for the metrics of the membership.
func Metrics(r *metric.Registry) Option { return func(o *Options) { o.Metrics = r } }
