package dispatch

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"turmericgap/admission"
	"turmericgap/aging"
	"turmericgap/calllimit"
	"turmericgap/capacity"
	"turmericgap/crash"
	"turmericgap/feature"
	"turmericgap/job"
	"turmericgap/lag"
	"turmericgap/owner"
	"turmericgap/permit"
	"turmericgap/preemption"
	"turmericgap/refusal"
	"turmericgap/rule"
	"turmericgap/speed"
	"turmericgap/tally"
	"turmericgap/workerlist"
	"turmericgap/workrecord"
)

// term is one tenure, from loading the cell's state until it ends.
type term struct {
	o         *Options
	log       *zap.Logger
	tenure    *owner.Tenure
	ctx       context.Context
	cancelCtx context.CancelFunc
	events    chan func()
	wg        sync.WaitGroup
	startedAt time.Time

	// All fields below are accessed only by the loop.
	entries map[string]*entry
	ended   map[string]workrecord.Ended
	// endedLoaded is true once the records of work that ended under former owners have been read.
	endedLoaded bool
	// endedOrder holds the IDs of ended works, oldest end first.
	endedOrder []string
	nodes      map[string]*node
	// sortedNodes holds the same nodes ordered by ID; nodesVersion counts the changes to the set of nodes and their
	// capacities.
	sortedNodes  []*node
	nodesVersion int
	capacity     capacity.Index[*node]
	// capacities is the set of the workers' total resources, computed when nodesVersion was capacitiesVersion.
	capacities        map[resources]struct{}
	capacitiesVersion int
	// totalMillicores is the total CPU of the workers.
	totalMillicores int64
	// forgotten holds the nodes that were removed in the last LateCallWindow, and maybe some older ones, by worker ID.
	forgotten map[string]*node
	// unreadable holds the IDs of workers whose entries cannot be decoded.
	unreadable map[string]bool
	// workersUnreadSince is when the workers' entries could no longer be read, zero while they can.
	workersUnreadSince time.Time
	// workerList follows the workers' entries; listBehind is for how long the store was known to be ahead of it at the last
	// tick.
	workerList *workerlist.List
	listBehind time.Duration
	// unlistedAt is when a worker's entry was last removed.
	unlistedAt time.Time
	// waitingStages holds the ready stages with waiting tasks.
	waitingStages map[*stage]struct{}
	// timed holds the entries with occurrences that are not due yet.
	timed map[*entry]struct{}
	// unsent holds new works that were not durable at the last check.
	unsent           []*entry
	committer        committer
	vmSelector       *permit.VMSelector
	callLimiter      calllimit.Limiter
	permitVMs        permitVMs
	config           *job.Config
	rules            *rule.List
	passNeeded       bool
	lag              lag.Meter
	overloadDetector admission.OverloadDetector
	memory           admission.Memory
	refusals         refusals
	gate             *admission.Gate
	preemptor        preemption.Preemptor
	// gateObservedAt is when the gate last saw the waiting work, waitingWorks the buffer for it.
	gateObservedAt time.Time
	waitingWorks   []admission.Work
	// reportedAt is when the state of the cell was last logged.
	reportedAt time.Time
	// endedToRemove lists records of ended work that the next commits delete.
	endedToRemove []string
	// passNeededSince is when the first change occurred that no pass has considered yet. lastPassLatency is the time
	// from the first change to the end of the latest pass, which ended at passEndedAt.
	passNeededSince time.Time
	lastPassLatency time.Duration
	passEndedAt     time.Time
	// nextPassAt is the earliest time of the next pass; passTimerSet is true while a timer for it is pending.
	nextPassAt   time.Time
	passTimerSet bool
	pass         pass
	// grantShares is the expected share of named workers that the policy service allows, by queue.
	grantShares map[string]float64
	sizes       *aging.SizeStats
	// speeds holds the learned speeds of workers and run times of tasks. placesBySpeed is true while tasks are placed by
	// them, slowest is the slowness that nine workers in ten do not exceed.
	speeds            *speed.Stats
	placesBySpeed     bool
	slowest           int
	speedsRefreshedAt time.Time
	speedsSavedAt     time.Time
	// tallies counts the outcomes of works by queue and size class.
	tallies     tally.Table
	maintenance maintenanceState
	// outages holds the workers that have stopped answering lately, silentLosses the runs lost with workers of unknown
	// fate, by address.
	outages      crash.Outages
	silentLosses map[string][]silentLoss
	accounts     accounts
	// features records which optional parts are in effect.
	features *feature.Status
	// ruleCapacity is, for each rule with a limit, how many more tasks may run under it in the present pass.
	ruleCapacity map[string]int
}

func newTerm(ctx context.Context, o *Options, tenure *owner.Tenure) *term {
	t := &term{
		o: o, log: o.Logger.With(zap.Int64("fence", tenure.Fence)), tenure: tenure, startedAt: time.Now(),
		events: make(chan func(), eventBuffer), entries: make(map[string]*entry), ended: make(map[string]workrecord.Ended),
		nodes: make(map[string]*node), forgotten: make(map[string]*node), unreadable: make(map[string]bool), waitingStages: make(map[*stage]struct{}),
		timed: make(map[*entry]struct{}), pass: newPass(), capacities: make(map[resources]struct{}),
		vmSelector: permit.NewVMSelector(), callLimiter: calllimit.New(), grantShares: make(map[string]float64),
		sizes: aging.New(), speeds: speed.New(), tallies: make(tally.Table), ruleCapacity: make(map[string]int),
		silentLosses: make(map[string][]silentLoss), accounts: newAccounts(o.CapOverrun), gate: admission.NewGate(), memory: admission.Memory{Limit: o.MaxWorkBytes},
		refusals: refusals{
			open: make(map[string]*openRefusal), refusedAt: make(map[string]time.Time), writtenAt: make(map[string]time.Time),
			recorder: refusal.NewRecorder(o.Store, tenure.Compare(), storeTimeout),
		},
		committer: newCommitter(),
	}
	t.features = feature.NewStatus(o.Features, t.logFeature)
	t.ctx, t.cancelCtx = context.WithCancel(ctx)
	return t
}

// loop runs the term's event loop, the only goroutine that accesses its state.
func (t *term) loop() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case f := <-t.events:
			f()
			t.drainEvents()
		case at := <-tick.C:
			t.lag.Observe(time.Since(at))
			t.overloadDetector.Observe(
				time.Now(), max(time.Since(at), t.passLatency(time.Now()), t.lateHoldLag(time.Now())))
			t.onTick(time.Now())
		}
		t.syncConfig()
		if now := time.Now(); t.passNeeded {
			t.runPassIfDue(now)
		}
		t.flush()
		t.sendRefusals()
	}
}

// drainEvents handles all queued events, so that one pass and one commit serve many of them.
func (t *term) drainEvents() {
	for range eventBuffer {
		select {
		case f := <-t.events:
			f()
		default:
			return
		}
	}
}

// post queues f for the loop; it is dropped if the term ends.
func (t *term) post(f func()) {
	select {
	case t.events <- f:
	case <-t.ctx.Done():
	}
}

// callLoop runs f on the loop and returns its result.
func callLoop[T any](ctx context.Context, t *term, f func() T) (T, error) {
	var zero T
	result := make(chan T, 1)
	select {
	case t.events <- func() { result <- f() }:
	case <-t.ctx.Done():
		return zero, errTermClosed
	case <-ctx.Done():
		return zero, ctx.Err()
	}
	select {
	case v := <-result:
		return v, nil
	case <-t.ctx.Done():
		return zero, errTermClosed
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// loseOwnership ends the term after a worker or the store has shown that there is another owner.
func (t *term) loseOwnership(reason string, err error) {
	t.log.Warn("dispatch: ownership is lost", zap.String("reason", reason), zap.Error(err))
	t.cancelCtx()
	t.tenure.ReportLost()
}

// close ends the term and waits for its goroutines.
func (t *term) close() {
	t.cancelCtx()
	t.wg.Wait()
	for _, n := range t.sortedNodes {
		n.agent.Release()
	}
}

// syncConfig applies newer configuration and rules.
func (t *term) syncConfig() {
	c, rules := t.o.Config(), t.o.Rules()
	if c == nil {
		c = t.config
	}
	if c == t.config && rules == t.rules {
		return
	}
	t.config, t.rules = c, rules
	t.applyAccounts()
	for _, e := range t.entries {
		t.applyQueueConfig(e)
		t.applyAccount(e)
	}
	t.passNeeded = true
	t.log.Info("dispatch: configuration applied", zap.Int64("version", t.configVersion()),
		zap.Int64("rules", t.rulesVersion()))
}

// applyQueueConfig gives an entry the newest configuration of its queue. Works of a removed queue keep its last
// configuration, since accepted work must be finished.
func (t *term) applyQueueConfig(e *entry) {
	if t.config != nil {
		if q := t.config.QueueByName(e.work.Queue.Name); q != nil {
			e.queue = q
			e.updateObjective()
		}
	}
	t.applyRules(e)
}

// followAll starts the watches over workers, accepted work and maintenance waves.
func (t *term) followAll() {
	t.followWorkers()
	t.followWorks()
	if t.o.Waves != nil {
		t.followWaves()
	}
}
