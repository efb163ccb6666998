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
	o      *Options
	log    *zap.Logger
	tenure *owner.Tenure
	ctx    context.Context
	end    context.CancelFunc
	events chan func()
	wg     sync.WaitGroup
	since  time.Time

	// The rest belongs to the loop.
	entries map[string]*entry
	ended   map[string]Ended
	// endedRead says that the records of work that ended under former owners have been read.
	endedRead bool
	// endedOrder holds the ended works by their end, oldest first.
	endedOrder []string
	nodes      map[string]*node
	// roll holds the same nodes by ID; nodesChange counts the changes of which they are.
	roll        []*node
	nodesChange int
	rooms       rooms
	// shapes holds what workers have when they are empty, as they were at the shapesAt-th change.
	shapes   map[resources]struct{}
	shapesAt int
	// processors is the sum of theirs, in millicores.
	processors int64
	// unreadable holds the IDs of workers whose entries cannot be read.
	unreadable map[string]bool
	// unlistedAt is when the entry of a worker was last missing.
	unlistedAt time.Time
	// stages holds those with waiting tasks whose turn has come.
	stages map[*stage]struct{}
	// timed holds the entries with occurrences that are not due yet.
	timed map[*entry]struct{}
	// unsent holds new works that were not durable when last looked at.
	unsent  []*entry
	commits commits
	desk    *permit.VMSelector
	turns   turns
	askers  askers
	config  *job.Config
	rules   *rule.List
	dirty   bool
	lag     lag
	behind  admission.OverloadDetector
	// reported is when the state of the cell was last logged.
	reported time.Time
	// removed lists the ended records that the next commits take away.
	removed []string
	// dirtySince is when something changed that no pass has taken in yet, passDelay how long that took for the latest
	// pass, which ended at passEnded.
	dirtySince time.Time
	passDelay  time.Duration
	passEnded  time.Time
	// nextPass is when the next pass may be made, passWaits says that a timer will ask for it.
	nextPass  time.Time
	passWaits bool
	pass      pass
	// grants is the share of named workers that each queue is allowed.
	grants map[string]float64
	sizes  *aging.SizeStats
	// tallies tell what became of works by queue and class of sizes.
	tallies map[sizeClass]*tally
	upkeep  upkeep
	// underRule is how many more tasks may run under each rule that bounds them, in the present pass.
	underRule map[string]int
}

func newTerm(ctx context.Context, o *Options, tenure *owner.Tenure) *term {
	t := &term{
		o: o, log: o.Logger.With(zap.Int64("fence", tenure.Fence)), tenure: tenure, since: time.Now(),
		events: make(chan func(), eventRing), entries: make(map[string]*entry), ended: make(map[string]Ended),
		nodes: make(map[string]*node), unreadable: make(map[string]bool), stages: make(map[*stage]struct{}), timed: make(map[*entry]struct{}),
		pass: newPass(), shapes: make(map[resources]struct{}), desk: permit.NewVMSelector(), turns: newTurns(), grants: make(map[string]float64), sizes: aging.New(), tallies: make(map[sizeClass]*tally), underRule: make(map[string]int),
	}
	t.commits.name()
	t.ctx, t.end = context.WithCancel(ctx)
	return t
}

// loop is the one goroutine that owns the term's state.
func (t *term) loop() {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case f := <-t.events:
			f()
			t.drain()
		case at := <-tick.C:
			t.lag.take(time.Since(at))
			t.behind.Observe(time.Now(), max(time.Since(at), t.passWait(time.Now()), t.holdsLate(time.Now())))
			t.onTick(time.Now())
		}
		t.syncConfig()
		if now := time.Now(); t.dirty {
			t.placeIfDue(now)
		}
		t.flush()
	}
}

// drain runs what else has come, so that one plan and one commit serve many events.
func (t *term) drain() {
	for range eventRing {
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

// ask runs f on the loop and gives its result.
func ask[T any](ctx context.Context, t *term, f func() T) (T, error) {
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

// lose ends the term because a worker or the store has told of another owner.
func (t *term) lose(reason string, err error) {
	t.log.Warn("dispatch: ownership is lost", zap.String("reason", reason), zap.Error(err))
	t.end()
	t.tenure.ReportLost()
}

// close waits for the goroutines of the term.
func (t *term) close() {
	t.end()
	t.wg.Wait()
	for _, n := range t.roll {
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
		t.adopt(e)
	}
	t.dirty = true
	t.log.Info("dispatch: configuration taken over", zap.Int64("version", t.configVersion()), zap.Int64("rules", t.rulesVersion()))
}

// adopt gives an entry the newest configuration of its queue. A queue that was removed goes on under
// its last one, since what was accepted must end.
func (t *term) adopt(e *entry) {
	if t.config != nil {
		if q := t.config.Named(e.work.Queue.Name); q != nil {
			e.queue = q
			e.reckon()
		}
	}
	t.govern(e)
}

// followAll starts the goroutines that hear of workers and accepted work.
func (t *term) followAll() {
	t.followWorkers()
	t.followWorks()
	if t.o.Waves != nil {
		t.followWaves()
	}
}
