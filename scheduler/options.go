package scheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"turmericgap/metric"
	"turmericgap/planner"
	"turmericgap/record"
	"turmericgap/store"
	"turmericgap/worker"
)

// Defaults.
const (
	// DefaultWorkerLease is how long a worker runs a task that nobody renews. It outlasts the
	// take-over by another scheduler, so that the death of an owner ends no task.
	DefaultWorkerLease = 40 * time.Second
	DefaultWorkerDrift = 2 * time.Second
	// DefaultMessageLifetime bounds how long a message can be under way after its sender gave it up.
	DefaultMessageLifetime = 3 * time.Second
	DefaultHeartbeatWait   = 10 * time.Second
	DefaultHeartbeatRetry  = time.Second
	// DefaultHeartbeatPause joins the changes of a busy worker into one answer; each end is heard this
	// much later at the most.
	DefaultHeartbeatPause = 250 * time.Millisecond
	DefaultCallTimeout    = 2 * time.Second
	DefaultResendInterval = 3 * time.Second
	DefaultTick           = time.Second
	// DefaultMaxCommitDelay is how long a commit may take before new jobs are refused.
	DefaultMaxCommitDelay = 2 * time.Second
	// DefaultDrainAfter is how long tasks may go on at a worker that leaves before they are moved.
	DefaultDrainAfter      = 30 * time.Second
	DefaultRetryAfter      = 2 * time.Second
	DefaultMaxAttempts     = 4
	DefaultMaxLiveJobs     = 20_000
	DefaultAnswerRetention = 24 * time.Hour
	// DefaultAnswerBudgetBytes is the budget of one zone for the bodies of finished answers.
	DefaultAnswerBudgetBytes = 4 << 20
	// MaxAnswerBytes bounds the body of one task's answer.
	MaxAnswerBytes = 16 << 10

	// missesToStopRenewing is how many heartbeats in a row may fail before leases are left to lapse.
	missesToStopRenewing = 3

	eventRing   = 4096
	sendRing    = 256
	startsMost  = 512
	forgetMost  = 256
	closeWithin = 5 * time.Second
)

// Options are what a Scheduler is made of.
type Options struct {
	Zone    string
	Store   *store.Store
	Logger  *zap.Logger
	Metrics *metric.Registry
	// Owns gives the epoch of this process's ownership of the zone, while it holds.
	Owns func() (epoch, epochRevision int64, ok bool)
	// Workers gives the VM list's workers.
	Workers func() []worker.Info
	Dial    worker.Dial
	// Planner makes the planner of a new term.
	Planner func() *planner.Planner
	// Rules gives the planner newer rules, when there are any.
	Rules   func(*planner.Planner)
	Journal []record.Option

	WorkerLease, WorkerDrift, MessageLifetime         time.Duration
	HeartbeatWait, HeartbeatRetry, HeartbeatPause     time.Duration
	CallTimeout, ResendInterval                       time.Duration
	Tick, RetryAfter, AnswerRetention, MaxCommitDelay time.Duration
	DrainAfter                                        time.Duration
	AnswerBudgetBytes, MaxLiveJobs                    int
}

// Option sets up a Scheduler.
type Option func(*Options)

func defaults() *Options {
	return &Options{
		Logger: zap.NewNop(), Metrics: metric.New(),
		Owns:        func() (int64, int64, bool) { return 0, 0, false },
		Workers:     func() []worker.Info { return nil },
		Planner:     func() *planner.Planner { return planner.New() },
		Rules:       func(*planner.Planner) {},
		WorkerLease: DefaultWorkerLease, WorkerDrift: DefaultWorkerDrift, MessageLifetime: DefaultMessageLifetime,
		HeartbeatWait: DefaultHeartbeatWait, HeartbeatRetry: DefaultHeartbeatRetry, HeartbeatPause: DefaultHeartbeatPause, CallTimeout: DefaultCallTimeout, ResendInterval: DefaultResendInterval,
		Tick: DefaultTick, MaxCommitDelay: DefaultMaxCommitDelay, DrainAfter: DefaultDrainAfter, RetryAfter: DefaultRetryAfter, AnswerRetention: DefaultAnswerRetention,
		AnswerBudgetBytes: DefaultAnswerBudgetBytes, MaxLiveJobs: DefaultMaxLiveJobs,
	}
}

// Zone sets the availability zone that this scheduler serves.
func Zone(z string) Option { return func(o *Options) { o.Zone = z } }

// Store sets the platform's key-value service.
func Store(s *store.Store) Option { return func(o *Options) { o.Store = s } }

// Logger sets the logger.
func Logger(l *zap.Logger) Option { return func(o *Options) { o.Logger = l } }

// Metrics sets the registry of metrics.
func Metrics(r *metric.Registry) Option { return func(o *Options) { o.Metrics = r } }

// Owns sets where ownership of the zone is asked.
func Owns(f func() (epoch, epochRevision int64, ok bool)) Option {
	return func(o *Options) { o.Owns = f }
}

// Workers sets where the VM list's workers are read.
func Workers(f func() []worker.Info) Option { return func(o *Options) { o.Workers = f } }

// Dial sets how workers are reached.
func Dial(d worker.Dial) Option { return func(o *Options) { o.Dial = d } }

// Planner sets how the planner of a new term is made.
func Planner(f func() *planner.Planner) Option { return func(o *Options) { o.Planner = f } }

// Rules sets how a planner gets newer rules; it is called once a tick.
func Rules(f func(*planner.Planner)) Option { return func(o *Options) { o.Rules = f } }

// Journal adds options to the journal.
func Journal(opts ...record.Option) Option {
	return func(o *Options) { o.Journal = append(o.Journal, opts...) }
}

func closedContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func epochKey(zone string) string { return "/turmericgap/journal/" + zone + "/epoch" }
