package view

import (
	"context"
	"time"

	"go.uber.org/zap"

	"turmericgap/member"
	"turmericgap/metric"
)

// Options set up a Keeper or a Follower.
type Options struct {
	// Self is this process; it is not asked for its own rules.
	Self member.Member
	// List reads the VM list; without it the view has none.
	List func(ctx context.Context) (VMList, error)
	// ListInterval is the interval at which the VM list is read.
	ListInterval time.Duration
	// RefreshInterval is the interval at which everything in the store is read again.
	RefreshInterval time.Duration
	// Groups are told the tables and the vanished keys.
	Groups []*member.Group
	// Seeds are addresses of processes to ask before any table is known.
	Seeds []string
	// SpreadInterval is the interval at which processes are looked for that lack the newest rules.
	SpreadInterval time.Duration
	// MaxSilence is how long a process may stay unheard before it is asked again.
	MaxSilence time.Duration
	// CallRules asks a process for its rules; the default is rpc "view.rules".
	CallRules func(ctx context.Context, address string, c *RulesRequest) (*RulesReply, error)
	// CallNext asks a Keeper for its next view; the default is rpc "view.next".
	CallNext func(ctx context.Context, address string, c *NextRequest) (*NextReply, error)
	Logger   *zap.Logger
	// Metrics gets the versions that are known and what fails.
	Metrics *metric.Registry
}

// Option changes Options.
type Option func(*Options)

// Self names this process.
func Self(m member.Member) Option { return func(o *Options) { o.Self = m } }

// List sets how the VM list is read.
func List(f func(ctx context.Context) (VMList, error)) Option {
	return func(o *Options) { o.List = f }
}

// ListInterval sets the interval at which the VM list is read.
func ListInterval(d time.Duration) Option { return func(o *Options) { o.ListInterval = d } }

// RefreshInterval sets the interval at which everything in the store is read again.
func RefreshInterval(d time.Duration) Option { return func(o *Options) { o.RefreshInterval = d } }

// Groups adds groups of this process that are told of tables and vanished keys.
func Groups(g ...*member.Group) Option {
	return func(o *Options) { o.Groups = append(o.Groups, g...) }
}

// Seeds sets the addresses to ask before any table is known.
func Seeds(addresses ...string) Option { return func(o *Options) { o.Seeds = addresses } }

// SpreadInterval sets the interval at which processes are looked for that lack the newest rules.
func SpreadInterval(d time.Duration) Option { return func(o *Options) { o.SpreadInterval = d } }

// MaxSilence sets how long a process may stay unheard before it is asked again.
func MaxSilence(d time.Duration) Option { return func(o *Options) { o.MaxSilence = d } }

// CallRules sets how a process is asked for its rules.
func CallRules(f func(ctx context.Context, address string, c *RulesRequest) (*RulesReply, error)) Option {
	return func(o *Options) { o.CallRules = f }
}

// CallNext sets how a Keeper is asked for its next view.
func CallNext(f func(ctx context.Context, address string, c *NextRequest) (*NextReply, error)) Option {
	return func(o *Options) { o.CallNext = f }
}

// Logger sets the log.
func Logger(l *zap.Logger) Option { return func(o *Options) { o.Logger = l } }

// Metrics sets where the view's metrics go.
func Metrics(r *metric.Registry) Option { return func(o *Options) { o.Metrics = r } }
