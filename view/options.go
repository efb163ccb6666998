package view

import (
	"context"
	"time"

	"go.uber.org/zap"

	"turmericgap/member"
	"turmericgap/metric"
)

// Options configures a Keeper or a Follower.
type Options struct {
	// Self is this process, which does not exchange rules with itself.
	Self member.Member
	// List reads the VM list; if it is nil the view has no VM list.
	List func(ctx context.Context) (VMList, error)
	// ListInterval is the interval at which the VM list is read.
	ListInterval time.Duration
	// RefreshInterval is the interval at which all keys are read from the store again.
	RefreshInterval time.Duration
	// Groups are the member groups to update with tables and presence keys.
	Groups []*member.Group
	// Seeds are addresses of processes to contact before any member table is known.
	Seeds []string
	// SpreadInterval is the interval at which rules are sent to processes that lack the newest
	// ones.
	SpreadInterval time.Duration
	// MaxSilence is the time without contact after which a process is called again.
	MaxSilence time.Duration
	// CallRules exchanges rules with a process; the default is rpc "view.rules".
	CallRules func(ctx context.Context, address string, c *RulesRequest) (*RulesReply, error)
	// CallNext requests the next view of a Keeper; the default is rpc "view.next".
	CallNext func(ctx context.Context, address string, c *NextRequest) (*NextReply, error)
	Logger   *zap.Logger
	// Metrics records the known versions and failures.
	Metrics *metric.Registry
}

// Option configures a Keeper or a Follower.
type Option func(*Options)

// Self sets the member that describes this process.
func Self(m member.Member) Option { return func(o *Options) { o.Self = m } }

// List sets the function that reads the VM list.
func List(f func(ctx context.Context) (VMList, error)) Option {
	return func(o *Options) { o.List = f }
}

// ListInterval sets the interval at which the VM list is read.
func ListInterval(d time.Duration) Option { return func(o *Options) { o.ListInterval = d } }

// RefreshInterval sets the interval at which all keys are read from the store again.
func RefreshInterval(d time.Duration) Option { return func(o *Options) { o.RefreshInterval = d } }

// Groups adds member groups to update with tables and presence keys.
func Groups(g ...*member.Group) Option {
	return func(o *Options) { o.Groups = append(o.Groups, g...) }
}

// Seeds sets the addresses to contact before any member table is known.
func Seeds(addresses ...string) Option { return func(o *Options) { o.Seeds = addresses } }

// SpreadInterval sets the interval at which rules are sent to processes that lack the newest ones.
func SpreadInterval(d time.Duration) Option { return func(o *Options) { o.SpreadInterval = d } }

// MaxSilence sets the time without contact after which a process is called again.
func MaxSilence(d time.Duration) Option { return func(o *Options) { o.MaxSilence = d } }

// CallRules sets the function that exchanges rules with a process.
func CallRules(f func(ctx context.Context, address string, c *RulesRequest) (*RulesReply, error)) Option {
	return func(o *Options) { o.CallRules = f }
}

// CallNext sets the function that requests the next view of a Keeper.
func CallNext(f func(ctx context.Context, address string, c *NextRequest) (*NextReply, error)) Option {
	return func(o *Options) { o.CallNext = f }
}

// Logger sets the logger.
func Logger(l *zap.Logger) Option { return func(o *Options) { o.Logger = l } }

// Metrics sets the metrics registry.
func Metrics(r *metric.Registry) Option { return func(o *Options) { o.Metrics = r } }
