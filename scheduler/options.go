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
	// DefaultWorkerLease is how long a worker runs a task without renewal. It is longer than a takeover by another
	// scheduler, so that the death of an owner ends no task.
	DefaultWorkerLease = 40 * time.Second
	DefaultWorkerDrift = 2 * time.Second
	// DefaultMessageLifetime bounds how long a message can be in flight after its sender gave up on it.
	DefaultMessageLifetime = 3 * time.Second
	DefaultHeartbeatWait   = 10 * time.Second
	DefaultHeartbeatRetry  = time.Second
	// DefaultHeartbeatPause batches the changes of a busy worker into one answer. It delays the report of an end by
	// at most this time.
	DefaultHeartbeatPause = 250 * time.Millisecond
	DefaultCallTimeout    = 2 * time.Second
	DefaultResendInterval = 3 * time.Second
	DefaultTick           = time.Second
	// DefaultMaxCommitDelay is how long a commit may take before new jobs are refused.
	DefaultMaxCommitDelay = 2 * time.Second
	// DefaultDrainAfter is how long tasks keep running on a leaving worker before they are moved.
	DefaultDrainAfter      = 30 * time.Second
	DefaultRetryAfter      = 2 * time.Second
	DefaultMaxAttempts     = 4
	DefaultMaxLiveJobs     = 20_000
	DefaultAnswerRetention = 24 * time.Hour
	// DefaultAnswerBudgetBytes limits the total size of the answers of finished jobs kept per zone.
	DefaultAnswerBudgetBytes = 4 << 20
	// MaxAnswerBytes limits the body of one task's answer.
	MaxAnswerBytes = 16 << 10

	// missesToStopRenewing is how many consecutive heartbeats may fail before leases are no longer renewed.
	missesToStopRenewing = 3

	eventQueueSize   = 4096
	sendQueueSize    = 256
	maxStartsPerPlan = 512
	maxForget        = 256
	closeTimeout     = 5 * time.Second
)

// Options configures a Scheduler.
type Options struct {
	Zone    string
	Store   *store.Store
	Logger  *zap.Logger
	Metrics *metric.Registry
	// Owns returns the epoch of this process's ownership of the zone, and whether it owns the zone now.
	Owns func() (epoch, epochRevision int64, ok bool)
	// Workers returns the workers on the VM list.
	Workers func() []worker.Info
	Dial    worker.Dial
	// Planner creates the planner of a new term.
	Planner func() *planner.Planner
	// Rules updates the rules of the planner if newer ones exist.
	Rules   func(*planner.Planner)
	Journal []record.Option

	WorkerLease, WorkerDrift, MessageLifetime         time.Duration
	HeartbeatWait, HeartbeatRetry, HeartbeatPause     time.Duration
	CallTimeout, ResendInterval                       time.Duration
	Tick, RetryAfter, AnswerRetention, MaxCommitDelay time.Duration
	DrainAfter                                        time.Duration
	AnswerBudgetBytes, MaxLiveJobs                    int
}

// Option configures a Scheduler.
type Option func(*Options)

func defaults() *Options {
	return &Options{
		Logger: zap.NewNop(), Metrics: metric.New(),
		Owns:        func() (int64, int64, bool) { return 0, 0, false },
		Workers:     func() []worker.Info { return nil },
		Planner:     func() *planner.Planner { return planner.New() },
		Rules:       func(*planner.Planner) {},
		WorkerLease: DefaultWorkerLease, WorkerDrift: DefaultWorkerDrift, MessageLifetime: DefaultMessageLifetime,
		HeartbeatWait: DefaultHeartbeatWait, HeartbeatRetry: DefaultHeartbeatRetry, HeartbeatPause: DefaultHeartbeatPause,
		CallTimeout: DefaultCallTimeout, ResendInterval: DefaultResendInterval,
		Tick: DefaultTick, MaxCommitDelay: DefaultMaxCommitDelay, DrainAfter: DefaultDrainAfter,
		RetryAfter: DefaultRetryAfter, AnswerRetention: DefaultAnswerRetention,
		AnswerBudgetBytes: DefaultAnswerBudgetBytes, MaxLiveJobs: DefaultMaxLiveJobs,
	}
}

// Zone sets the availability zone that this scheduler serves.
func Zone(z string) Option { return func(o *Options) { o.Zone = z } }

// Store sets the platform's key-value service.
func Store(s *store.Store) Option { return func(o *Options) { o.Store = s } }

// Logger sets the logger.
func Logger(l *zap.Logger) Option { return func(o *Options) { o.Logger = l } }

// Metrics sets the metrics registry.
func Metrics(r *metric.Registry) Option { return func(o *Options) { o.Metrics = r } }

// Owns sets the function that reports ownership of the zone.
func Owns(f func() (epoch, epochRevision int64, ok bool)) Option {
	return func(o *Options) { o.Owns = f }
}

// Workers sets the function that returns the workers on the VM list.
func Workers(f func() []worker.Info) Option { return func(o *Options) { o.Workers = f } }

// Dial sets the function that connects to a worker.
func Dial(d worker.Dial) Option { return func(o *Options) { o.Dial = d } }

// Planner sets the function that creates the planner of a new term.
func Planner(f func() *planner.Planner) Option { return func(o *Options) { o.Planner = f } }

// Rules sets the function that gives a planner newer rules. It is called once per tick.
func Rules(f func(*planner.Planner)) Option { return func(o *Options) { o.Rules = f } }

// Journal adds options to the journal.
func Journal(opts ...record.Option) Option {
	return func(o *Options) { o.Journal = append(o.Journal, opts...) }
}

func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func epochKey(zone string) string { return "/turmericgap/journal/" + zone + "/epoch" }
