package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"turmericgap/evacuation"
	"turmericgap/feature"
	"turmericgap/job"
	"turmericgap/metric"
	"turmericgap/owner"
	"turmericgap/permit"
	"turmericgap/rule"
	"turmericgap/store"
	"turmericgap/worker"
)

// Options configures a Dispatcher.
type Options struct {
	Store *store.Store
	// StoreFailing reports whether the store is failing, and since when; StoreContact for how long it has answered this VM
	// without a break.
	StoreFailing func() (since time.Time, failing bool)
	StoreContact func() time.Duration
	// StoreAhead returns for how long the store is known to have been ahead of a revision; nil if that is not known.
	StoreAhead func(revision int64) time.Duration
	// DrainWithin is how long after a worker has announced that it leaves it may still get new work.
	DrainWithin time.Duration
	// WorkersPrefix is the key prefix of the worker entries; DecodeWorker decodes one entry.
	WorkersPrefix string
	DecodeWorker  func(key string, raw []byte) (worker.ListedWorker, error)
	// Agent returns the RPC client of one worker instance.
	Agent func(worker.Info) *worker.Agent
	// Config returns the newest configuration known to this process, or nil.
	Config func() *job.Config
	// Rules returns the operators' rules in force, or nil.
	Rules func() *rule.List
	// Nodes lists the entry VMs that may query the policy service. It returns the same slice until the list changes.
	// RequestPermit sends a permit request from one of these VMs.
	Nodes         func() []owner.Node
	RequestPermit func(ctx context.Context, from owner.Node, req *permit.Request) (*permit.Response, error)
	Logger        *zap.Logger
	Metrics       *metric.Registry
	// Waves configures maintenance waves; nil disables them.
	Waves *Waves
	// OnExamined is called during a pass with the number of workers examined since the last call. Tests use it to
	// simulate the cost. May be nil.
	OnExamined func(examined int)
	// MaxHold is the longest lease that a worker grants; StopTimeout is how long a worker takes to stop a run.
	MaxHold, StopTimeout time.Duration
	// Evacuation holds what is known of checkpoints and stops; StopTime is set from StopTimeout.
	Evacuation evacuation.Bounds
	// CapOverrun is the fraction by which a client account may exceed its cap.
	CapOverrun float64
	// Features holds the operators' choices of optional parts; nil chooses none. Pressure is true if the deployment
	// expects callers to compete for too little capacity.
	Features *feature.Set
	Pressure bool
	// MaxRecordBytes is the size of the largest value that the store takes.
	MaxRecordBytes int
	// MaxWorkBytes is what the works that have not ended may hold in memory before new ones are refused; zero means no limit.
	MaxWorkBytes int64
	// EndedRetention is how long the state of ended work is kept.
	EndedRetention time.Duration
}

// Default values of the options.
const (
	DefaultMaxHold        = 10 * time.Second
	DefaultStopTimeout    = 200 * time.Millisecond
	DefaultEndedRetention = 2 * time.Minute
	DefaultDrainWithin    = 2 * time.Second

	// eventBuffer is the capacity of the loop's event channel. A full channel blocks callers instead of using more
	// memory.
	eventBuffer = 1024
	// tickInterval is the period of time-driven checks. It is less than half of the 250 ms by which a timed start may
	// be early or late.
	tickInterval = 100 * time.Millisecond
	// holdWait is how long a worker waits for the end of a run before it answers a hold. A silent worker is detected
	// after holdWait + holdTimeoutSlack.
	holdWait         = time.Second
	holdTimeoutSlack = 500 * time.Millisecond
	// holdLateAfter is how overdue the answer to a hold may be before its worker gets no new work.
	holdLateAfter = 150 * time.Millisecond
	// holdRetryMin and holdRetryMax bound the backoff after failed holds.
	holdRetryMin = 100 * time.Millisecond
	holdRetryMax = 800 * time.Millisecond
	// extendMissLimit is the number of consecutive failed holds after which the owner stops extending the worker's
	// lease. Each of them may have reached the worker, so the time until the lease expires counts from the last one.
	extendMissLimit = 2
	// extendGrace is how long an owner keeps extending worker leases after its tenure was last confirmed. It keeps work
	// running through a store outage. A successor waits as long before it treats the lease of an unreachable worker as
	// expired.
	extendGrace = 5 * time.Second
	// countGrace is how long after its tenure was last confirmed an owner still counts waiting work: the count may be
	// up to two seconds old, and an owner that was replaced without noticing does not know newer work.
	countGrace = 2 * time.Second
	// launchValidity is how long a start order is valid. It leaves time for a second attempt and limits how long
	// capacity is charged for a start without an answer.
	launchValidity = 1500 * time.Millisecond
	// firstLaunchTimeout bounds the first attempt of a start; orderTimeout bounds the second one and orders to stop.
	// Workers answer within milliseconds, so a worker that is silent for firstLaunchTimeout gets no new work.
	firstLaunchTimeout = 150 * time.Millisecond
	orderTimeout       = 400 * time.Millisecond
	// haltRetryDelay is the delay before an order to stop is sent again.
	haltRetryDelay = 400 * time.Millisecond
	// unhealthyDuration is how long a worker that declined an order gets no new work.
	unhealthyDuration = 700 * time.Millisecond
	// observeTimeout bounds the wait for an end to become durable before the lease is extended without acknowledging
	// it.
	observeTimeout = 400 * time.Millisecond
	// commitStuckAfter is how long a commit may be unanswered before new work is declined: work that cannot be made
	// durable is refused at once instead of being held. It is twice the latency of a slow store.
	commitStuckAfter = 700 * time.Millisecond
	// storeTimeout bounds a single store call made by this package.
	storeTimeout = time.Second
	// maxTxnOps is the maximum number of operations in one transaction.
	maxTxnOps = 32
	// endedRetentionExtra extends EndedRetention to cover retries and clock differences.
	endedRetentionExtra = 30 * time.Second
)

// Option configures a Dispatcher.
type Option func(*Options)

// Store sets the key-value store.
func Store(s *store.Store) Option { return func(o *Options) { o.Store = s } }

// StoreFailing sets the function that reports whether the store is failing, and since when.
func StoreFailing(f func() (since time.Time, failing bool)) Option {
	return func(o *Options) { o.StoreFailing = f }
}

// StoreContact sets the function that returns for how long the store has answered this VM without a break.
func StoreContact(f func() time.Duration) Option { return func(o *Options) { o.StoreContact = f } }

// StoreAhead sets the function that returns for how long the store is known to have been ahead of a revision.
func StoreAhead(f func(revision int64) time.Duration) Option {
	return func(o *Options) { o.StoreAhead = f }
}

// DrainWithin sets how long after a worker has announced that it leaves it may still get new work.
func DrainWithin(d time.Duration) Option { return func(o *Options) { o.DrainWithin = d } }

// Workers sets the key prefix of the worker entries, their decoder and the constructor of worker clients.
func Workers(prefix string, decode func(string, []byte) (worker.ListedWorker, error), agent func(worker.Info) *worker.Agent) Option {
	return func(o *Options) { o.WorkersPrefix, o.DecodeWorker, o.Agent = prefix, decode, agent }
}

// Config sets the source of the current configuration.
func Config(f func() *job.Config) Option { return func(o *Options) { o.Config = f } }

// Rules sets the source of the operators' rules in force.
func Rules(f func() *rule.List) Option { return func(o *Options) { o.Rules = f } }

// Permits sets the entry VMs that query the policy service, and the function that sends a permit request.
func Permits(nodes func() []owner.Node, send func(context.Context, owner.Node, *permit.Request) (*permit.Response, error)) Option {
	return func(o *Options) { o.Nodes, o.RequestPermit = nodes, send }
}

// Maintenance sets the source of maintenance waves and the service that carries them out.
func Maintenance(w *Waves) Option { return func(o *Options) { o.Waves = w } }

// Logger sets the logger.
func Logger(l *zap.Logger) Option { return func(o *Options) { o.Logger = l } }

// Metrics sets the metrics registry.
func Metrics(r *metric.Registry) Option { return func(o *Options) { o.Metrics = r } }

// Limits sets the longest worker lease, the time a worker takes to stop a run, and how long ended work is kept.
func Limits(maxHold, stopTimeout, endedRetention time.Duration) Option {
	return func(o *Options) { o.MaxHold, o.StopTimeout, o.EndedRetention = maxHold, stopTimeout, endedRetention }
}

// MaxRecordBytes sets the size of the largest value that the store takes.
func MaxRecordBytes(n int) Option { return func(o *Options) { o.MaxRecordBytes = n } }

// MaxWorkBytes sets what the works that have not ended may hold in memory.
func MaxWorkBytes(n int64) Option { return func(o *Options) { o.MaxWorkBytes = n } }

// Checkpoints sets the time between two checkpoints of a run and how long it takes to resume from one; zero is unknown.
func Checkpoints(period, restore time.Duration) Option {
	return func(o *Options) { o.Evacuation.CheckpointPeriod, o.Evacuation.RestoreTime = period, restore }
}

// CapOverrun sets the fraction by which a client account may exceed its cap.
func CapOverrun(overrun float64) Option { return func(o *Options) { o.CapOverrun = overrun } }

// Features sets the operators' choices of optional parts, and whether callers are expected to compete for too little
// capacity.
func Features(choices *feature.Set, pressure bool) Option {
	return func(o *Options) { o.Features, o.Pressure = choices, pressure }
}

// OnExamined sets the function that is called during a pass with the number of workers examined since the last call.
func OnExamined(f func(examined int)) Option { return func(o *Options) { o.OnExamined = f } }

func newOptions(opts []Option) *Options {
	o := &Options{
		Logger: zap.NewNop(), MaxHold: DefaultMaxHold, StopTimeout: DefaultStopTimeout,
		EndedRetention: DefaultEndedRetention, MaxRecordBytes: store.MaxValueBytes, DrainWithin: DefaultDrainWithin, StoreContact: func() time.Duration { return 0 },
		StoreFailing: func() (time.Time, bool) { return time.Time{}, false },
		Config:       func() *job.Config { return nil }, Rules: func() *rule.List { return nil },
		Nodes: func() []owner.Node { return nil },
	}
	for _, f := range opts {
		f(o)
	}
	o.Evacuation = o.Evacuation.WithDefaults(o.StopTimeout)
	if o.Metrics == nil {
		o.Metrics = metric.New()
	}
	return o
}
