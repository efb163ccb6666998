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
	List func(ctx context.Context) (Listing, error)
	// ListEvery is the interval at which the VM list is read.
	ListEvery time.Duration
	// Refresh is the interval at which everything in the store is read again.
	Refresh time.Duration
	// Groups are told the tables and the vanished keys.
	Groups []*member.Group
	// Seeds are addresses of processes to ask before any table is known.
	Seeds []string
	// Spread is the interval at which processes are looked for that lack the newest rules.
	Spread time.Duration
	// Quiet is how long a process may stay unheard before it is asked again.
	Quiet time.Duration
	// Call asks a process for its rules; the default is rpc "view.rules".
	Call func(ctx context.Context, address string, c *RulesCall) (*RulesReply, error)
	// Ask asks a Keeper for its next view; the default is rpc "view.next".
	Ask    func(ctx context.Context, address string, c *NextCall) (*NextReply, error)
	Logger *zap.Logger
	// Metrics gets the versions that are known and what fails.
	Metrics *metric.Registry
}

// Option changes Options.
type Option func(*Options)

// Self names this process.
func Self(m member.Member) Option { return func(o *Options) { o.Self = m } }

// List sets how the VM list is read.
func List(f func(ctx context.Context) (Listing, error)) Option {
	return func(o *Options) { o.List = f }
}

// ListEvery sets the interval at which the VM list is read.
func ListEvery(d time.Duration) Option { return func(o *Options) { o.ListEvery = d } }

// Refresh sets the interval at which everything in the store is read again.
func Refresh(d time.Duration) Option { return func(o *Options) { o.Refresh = d } }

// Groups adds groups of this process that are told of tables and vanished keys.
func Groups(g ...*member.Group) Option {
	return func(o *Options) { o.Groups = append(o.Groups, g...) }
}

// Seeds sets the addresses to ask before any table is known.
func Seeds(addresses ...string) Option { return func(o *Options) { o.Seeds = addresses } }

// Spread sets the interval at which processes are looked for that lack the newest rules.
func Spread(d time.Duration) Option { return func(o *Options) { o.Spread = d } }

// Quiet sets how long a process may stay unheard before it is asked again.
func Quiet(d time.Duration) Option { return func(o *Options) { o.Quiet = d } }

// Call sets how a process is asked for its rules.
func Call(f func(ctx context.Context, address string, c *RulesCall) (*RulesReply, error)) Option {
	return func(o *Options) { o.Call = f }
}

// Ask sets how a Keeper is asked for its next view.
func Ask(f func(ctx context.Context, address string, c *NextCall) (*NextReply, error)) Option {
	return func(o *Options) { o.Ask = f }
}

// Logger sets the log.
func Logger(l *zap.Logger) Option { return func(o *Options) { o.Logger = l } }

// Metrics sets where the view's metrics go.
func Metrics(r *metric.Registry) Option { return func(o *Options) { o.Metrics = r } }
