package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"turmericgap/job"
	"turmericgap/metric"
	"turmericgap/owner"
	"turmericgap/permit"
	"turmericgap/rule"
	"turmericgap/store"
	"turmericgap/worker"
)

// Options are what a Dispatcher is made of.
type Options struct {
	Store *store.Store
	// StoreFailing tells since when the store gives no answers, and whether it does so now.
	StoreFailing func() (since time.Time, failing bool)
	// WorkersPrefix is where the workers' entries lie, DecodeWorker reads one.
	WorkersPrefix string
	DecodeWorker  func(key string, raw []byte) (worker.Listing, error)
	// Agent gives the calls to one lifetime of a worker.
	Agent func(worker.Info) *worker.Agent
	// Config gives the newest configuration that this process knows, or nil.
	Config func() *job.Config
	// Rules gives the operators' rules in force, or nil.
	Rules func() *rule.List
	// Nodes lists the entry VMs that may put questions to the policy service; it gives the same list until they
	// change. Ask puts a question from such a VM.
	Nodes   func() []owner.Node
	Ask     func(ctx context.Context, from owner.Node, q *permit.Request) (*permit.Response, error)
	Logger  *zap.Logger
	Metrics *metric.Registry
	// Waves says where waves of upkeep lie and how they are answered; nil leaves them alone.
	Waves *Waves
	// OnExamined is told after each pass at how many workers it looked; tests let that take time. Nil takes none.
	OnExamined func(looks int)
	// MaxHold is the longest lease that a worker grants, StopTimeout how long it takes to end a run.
	MaxHold, StopTimeout time.Duration
	// EndedRetention is how long the state of ended work is kept.
	EndedRetention time.Duration
}

// Defaults.
const (
	DefaultMaxHold        = 10 * time.Second
	DefaultStopTimeout    = 200 * time.Millisecond
	DefaultEndedRetention = 2 * time.Minute

	// eventRing bounds what waits for the loop; a full one holds up callers, not memory.
	eventRing = 1024
	// tickEvery is how often the term looks at what depends on time alone. It is below half of the
	// 250 ms by which a timed start may come early or late.
	tickEvery = 100 * time.Millisecond
	// holdWait is how long a worker waits for an end before it answers. A silent worker is noticed
	// after holdWait and holdSlack.
	holdWait  = time.Second
	holdSlack = 500 * time.Millisecond
	// holdLate is how long after a hold should have been answered its worker gets nothing new.
	holdLate = 150 * time.Millisecond
	// holdAgain and holdAgainMost bound the pauses after holds without an answer.
	holdAgain     = 100 * time.Millisecond
	holdAgainMost = 800 * time.Millisecond
	// extendMisses holds in a row without an answer end the extension of a worker's lease: each of
	// them may have arrived, and only from the last one on the lapse can be reckoned.
	extendMisses = 2
	// holdGrace is how long after its own last confirmed moment an owner goes on extending the leases
	// of workers. It carries running work through an outage of the store; a successor waits as long
	// before it counts the lease of a worker that it cannot reach as lapsed.
	holdGrace = 5 * time.Second
	// countGrace is how long after its last confirmed moment an owner still counts waiting work: the
	// count may be two seconds old.
	countGrace = time.Second
	// clockSlack covers a worker's clock that runs a fiftieth slower than ours, doubled.
	clockSlack = 0.04
	// lapseMargin covers the way of a hold to its worker.
	lapseMargin = 300 * time.Millisecond
	// launchVoid is when an order to start that has not arrived is void. It leaves time for a second
	// try, and capacity is charged no longer than that for a start without an answer.
	launchVoid = 1500 * time.Millisecond
	// launchFirst and launchWithin bound the first and the second try; workers answer within
	// milliseconds. A worker that is silent for launchFirst gets nothing new.
	launchFirst  = 150 * time.Millisecond
	launchWithin = 400 * time.Millisecond
	// haltAgain is the pause before an order to stop is repeated.
	haltAgain = 400 * time.Millisecond
	// unwellFor is how long a worker that declined a call gets nothing new.
	unwellFor = 700 * time.Millisecond
	// observeWithin bounds the wait for a durable end before the lease is extended without it.
	observeWithin = 400 * time.Millisecond
	// stuckAfter is how long a commit may have no answer before new work is declined: what cannot be
	// made durable is refused at once, not held. Twice the answer of a slow store.
	stuckAfter = 700 * time.Millisecond
	// storeWithin bounds one call of the store as this package sees it.
	storeWithin = time.Second
	// mostOps is how many entries one transaction may have.
	mostOps = 32
	// endedExtra is kept beyond KeepEnded, for repeats and clocks that differ.
	endedExtra = 30 * time.Second
)

// Option sets up a Dispatcher.
type Option func(*Options)

// Store sets the key-value service.
func Store(s *store.Store) Option { return func(o *Options) { o.Store = s } }

// StoreFailing sets what tells that the store gives no answers.
func StoreFailing(f func() (since time.Time, failing bool)) Option {
	return func(o *Options) { o.StoreFailing = f }
}

// Workers sets where the entries of workers lie, how one is read, and how a worker is called.
func Workers(prefix string, decode func(string, []byte) (worker.Listing, error), agent func(worker.Info) *worker.Agent) Option {
	return func(o *Options) { o.WorkersPrefix, o.DecodeWorker, o.Agent = prefix, decode, agent }
}

// Config sets where the configuration in force is read.
func Config(f func() *job.Config) Option { return func(o *Options) { o.Config = f } }

// Rules sets where the operators' rules in force are read.
func Rules(f func() *rule.List) Option { return func(o *Options) { o.Rules = f } }

// Permits sets which entry VMs put questions to the policy service, and how.
func Permits(nodes func() []owner.Node, ask func(context.Context, owner.Node, *permit.Request) (*permit.Response, error)) Option {
	return func(o *Options) { o.Nodes, o.Ask = nodes, ask }
}

// Upkeep sets where waves of upkeep come from and who carries them out.
func Upkeep(w *Waves) Option { return func(o *Options) { o.Waves = w } }

// Logger sets where decisions are logged.
func Logger(l *zap.Logger) Option { return func(o *Options) { o.Logger = l } }

// Metrics sets where counters and histograms are kept.
func Metrics(r *metric.Registry) Option { return func(o *Options) { o.Metrics = r } }

// Limits sets the longest lease of a worker, the time of a stop, and how long ended work is shown.
func Limits(mostHold, stopWithin, keepEnded time.Duration) Option {
	return func(o *Options) { o.MaxHold, o.StopTimeout, o.EndedRetention = mostHold, stopWithin, keepEnded }
}

// OnExamined sets what is told after each pass at how many workers it looked.
func OnExamined(f func(looks int)) Option { return func(o *Options) { o.OnExamined = f } }

func newOptions(opts []Option) *Options {
	o := &Options{
		Logger: zap.NewNop(), MaxHold: DefaultMaxHold, StopTimeout: DefaultStopTimeout, EndedRetention: DefaultEndedRetention,
		StoreFailing: func() (time.Time, bool) { return time.Time{}, false },
		Config:       func() *job.Config { return nil }, Rules: func() *rule.List { return nil }, Nodes: func() []owner.Node { return nil },
	}
	for _, f := range opts {
		f(o)
	}
	if o.Metrics == nil {
		o.Metrics = metric.New()
	}
	return o
}
