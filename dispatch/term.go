package dispatch

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"turmericgap/admission"
	"turmericgap/aging"
	"turmericgap/job"
	"turmericgap/owner"
	"turmericgap/permit"
	"turmericgap/rule"
)

// term is one tenure, from the reading of the cell's state to its end.
type term struct {
	o         *Options
	log       *zap.Logger
	tenure    *owner.Tenure
	ctx       context.Context
	cancelCtx context.CancelFunc
	events    chan func()
	wg        sync.WaitGroup
	startedAt time.Time

	// The rest belongs to the loop.
	entries map[string]*entry
	ended   map[string]Ended
	// endedLoaded says that the records of work that ended under former owners have been read.
	endedLoaded bool
	// endedOrder holds the ended works by their end, oldest first.
	endedOrder []string
	nodes      map[string]*node
	// sortedNodes holds the same nodes by ID; nodesVersion counts the changes of which they are.
	sortedNodes  []*node
	nodesVersion int
	roomIndex    roomIndex
	// capacities holds what workers have when they are empty, as they were at the capacitiesVersion-th change.
	capacities        map[resources]struct{}
	capacitiesVersion int
	// totalMillicores is the sum of theirs, in millicores.
	totalMillicores int64
	// unreadable holds the IDs of workers whose entries cannot be read.
	unreadable map[string]bool
	// unlistedAt is when the entry of a worker was last missing.
	unlistedAt time.Time
	// waitingStages holds those with waiting tasks whose turn has come.
	waitingStages map[*stage]struct{}
	// timed holds the entries with occurrences that are not due yet.
	timed map[*entry]struct{}
	// unsent holds new works that were not durable when last looked at.
	unsent           []*entry
	committer        committer
	vmSelector       *permit.VMSelector
	callLimiter      callLimiter
	permitVMs        permitVMs
	config           *job.Config
	rules            *rule.List
	passNeeded       bool
	lag              lag
	overloadDetector admission.OverloadDetector
	// reportedAt is when the state of the cell was last logged.
	reportedAt time.Time
	// endedToRemove lists the ended records that the next commits take away.
	endedToRemove []string
	// passNeededSince is when something changed that no pass has taken in yet, lastPassLatency how long that took for the latest
	// pass, which ended at passEndedAt.
	passNeededSince time.Time
	lastPassLatency time.Duration
	passEndedAt     time.Time
	// nextPassAt is when the next pass may be made, passTimerSet says that a timer will ask for it.
	nextPassAt   time.Time
	passTimerSet bool
	pass         pass
	// grantShares is the share of named workers that each queue is allowed.
	grantShares map[string]float64
	sizes       *aging.SizeStats
	// tallies tell what became of works by queue and class of sizes.
	tallies map[sizeClass]*tally
	upkeep  upkeep
	// ruleCapacity is how many more tasks may run under each rule that bounds them, in the present pass.
	ruleCapacity map[string]int
}

func newTerm(ctx context.Context, o *Options, tenure *owner.Tenure) *term {
	t := &term{
		o: o, log: o.Logger.With(zap.Int64("fence", tenure.Fence)), tenure: tenure, startedAt: time.Now(),
		events: make(chan func(), eventBuffer), entries: make(map[string]*entry), ended: make(map[string]Ended),
		nodes: make(map[string]*node), unreadable: make(map[string]bool), waitingStages: make(map[*stage]struct{}), timed: make(map[*entry]struct{}),
		pass: newPass(), capacities: make(map[resources]struct{}), vmSelector: permit.NewVMSelector(), callLimiter: newCallLimiter(), grantShares: make(map[string]float64), sizes: aging.New(), tallies: make(map[sizeClass]*tally), ruleCapacity: make(map[string]int),
	}
	t.committer.init()
	t.ctx, t.cancelCtx = context.WithCancel(ctx)
	return t
}

// loop is the one goroutine that owns the term's state.
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
			t.lag.observe(time.Since(at))
			t.overloadDetector.Observe(time.Now(), max(time.Since(at), t.passLatency(time.Now()), t.lateHoldLag(time.Now())))
			t.onTick(time.Now())
		}
		t.syncConfig()
		if now := time.Now(); t.passNeeded {
			t.runPassIfDue(now)
		}
		t.flush()
	}
}

// drainEvents runs what else has come, so that one plan and one commit serve many events.
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

// post hands f to the loop; it is dropped when the term ends.
func (t *term) post(f func()) {
	select {
	case t.events <- f:
	case <-t.ctx.Done():
	}
}

// callLoop runs f on the loop and gives its result.
func callLoop[T any](ctx context.Context, t *term, f func() T) (T, error) {
	var none T
	got := make(chan T, 1)
	select {
	case t.events <- func() { got <- f() }:
	case <-t.ctx.Done():
		return none, errTermClosed
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case v := <-got:
		return v, nil
	case <-t.ctx.Done():
		return none, errTermClosed
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// loseOwnership ends the term because a worker or the store has told of another owner.
func (t *term) loseOwnership(reason string, err error) {
	t.log.Warn("dispatch: ownership is lost", zap.String("reason", reason), zap.Error(err))
	t.cancelCtx()
	t.tenure.ReportLost()
}

// close waits for the goroutines of the term.
func (t *term) close() {
	t.cancelCtx()
	t.wg.Wait()
	for _, n := range t.sortedNodes {
		n.agent.End()
	}
}

// syncConfig takes over a newer configuration and newer rules.
func (t *term) syncConfig() {
	c, rules := t.o.Config(), t.o.Rules()
	if c == nil {
		c = t.config
	}
	if c == t.config && rules == t.rules {
		return
	}
	t.config, t.rules = c, rules
	for _, e := range t.entries {
		t.applyQueueConfig(e)
	}
	t.passNeeded = true
	t.log.Info("dispatch: configuration taken over", zap.Int64("version", t.configVersion()), zap.Int64("rules", t.rulesVersion()))
}

// applyQueueConfig gives an entry the newest configuration of its queue. A queue that was removed goes on under
// its last one, since what was accepted must end.
func (t *term) applyQueueConfig(e *entry) {
	if t.config != nil {
		if q := t.config.Named(e.work.Queue.Name); q != nil {
			e.queue = q
			e.updateObjective()
		}
	}
	t.applyRules(e)
}

// followAll starts the goroutines that hear of workers and accepted work.
func (t *term) followAll() {
	t.followWorkers()
	t.followWorks()
	if t.o.Waves != nil {
		t.followWaves()
	}
}
