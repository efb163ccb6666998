package scheduler

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"turmericgap/fleet"
	"turmericgap/planner"
	"turmericgap/record"
)

var errTermClosed = errors.New("this process no longer owns the zone")

// term is one period of ownership of the zone.
type term struct {
	o       *Options
	epoch   int64
	journal *record.Journal
	planner *planner.Planner
	fleet   *fleet.Fleet
	events  chan func()
	// closing is closed when the term ends, and closed when all its goroutines have returned.
	closing, closed chan struct{}
	once            sync.Once
	wg              sync.WaitGroup

	// The fields below belong to the loop.
	jobs map[string]*entry
	// live contains the jobs without an outcome; byWorker contains the tasks assigned to each worker.
	live     map[string]*entry
	byWorker map[string]map[taskRef]bool
	links    map[string]*link
	// moved contains the jobs that were moved to other zones.
	moved map[string]movedRecord
	// moving contains the moves that are being committed.
	moving map[string]movedRecord
	// startedAt is when the term began. All sends of an earlier owner ended before.
	startedAt      time.Time
	draining       bool
	needsPlacement bool
	// answerTotalBytes is the total size of the answers of finished jobs.
	answerTotalBytes int
	refusals         []Refusal
}

// openTerm recovers the zone's state from the journal and starts the loop.
func openTerm(ctx context.Context, o *Options, epoch, epochRevision int64) (*term, error) {
	t := &term{
		o: o, epoch: epoch, planner: o.Planner(), fleet: fleet.New(), startedAt: time.Now(),
		events: make(chan func(), eventQueueSize), closing: make(chan struct{}), closed: make(chan struct{}),
		jobs: make(map[string]*entry), live: make(map[string]*entry),
		byWorker: make(map[string]map[taskRef]bool), links: make(map[string]*link),
		moved: make(map[string]movedRecord), moving: make(map[string]movedRecord),
	}
	j, err := record.Open(ctx, o.Store, o.Zone, epochKey(o.Zone), epochRevision,
		append([]record.Option{record.Logger(o.Logger)}, o.Journal...)...)
	if err != nil {
		return nil, err
	}
	t.journal = j
	if err := j.Replay(t.apply); err != nil {
		_ = j.Close(ctx)
		return nil, err
	}
	t.recover(time.Now())
	t.wg.Go(t.loop)
	return t, nil
}

// recover restores the planner from the durable state.
func (t *term) recover(now time.Time) {
	t.syncWorkers(now)
	ordered := make([]*entry, 0, len(t.jobs))
	for _, e := range t.jobs {
		ordered = append(ordered, e)
	}
	sort.Slice(ordered, func(i, k int) bool {
		if !ordered[i].Accepted.Equal(ordered[k].Accepted) {
			return ordered[i].Accepted.Before(ordered[k].Accepted)
		}
		return ordered[i].id < ordered[k].id
	})
	for _, e := range ordered {
		if e.final() {
			e.close()
			t.retire(e)
			continue
		}
		t.live[e.id] = e
		e.decision = t.planner.Add(now, &planner.Job{ID: e.id, Spec: &e.Spec, Accepted: e.Accepted})
		for i := range e.tasks {
			if e.tasks[i].Phase != pending {
				t.planner.MarkRunning(e.id, i, e.tasks[i].Worker)
				e.tasks[i].startsSent = 1
			}
			if e.tasks[i].Phase == final {
				t.planner.Release(now, e.id, i, planner.AttemptResult{Completed: true})
			}
		}
	}
	t.needsPlacement = true
	t.o.Logger.Info("scheduler: recovered the zone",
		zap.Int64("epoch", t.epoch), zap.Int("jobs", len(t.jobs)), zap.Int("live", len(t.live)))
}

// loop runs all functions that access the term's state.
func (t *term) loop() {
	tick := time.NewTicker(t.o.Tick)
	defer tick.Stop()
	for {
		select {
		case <-t.closing:
			return
		case f := <-t.events:
			f()
			t.drainEvents()
		case <-tick.C:
			t.onTick(time.Now())
		}
		if t.needsPlacement {
			t.place(time.Now())
		}
	}
}

// drainEvents runs all queued events, so that one plan and one commit cover many of them.
func (t *term) drainEvents() {
	for range eventQueueSize {
		select {
		case f := <-t.events:
			f()
		default:
			return
		}
	}
}

// post queues f for the loop. It returns false if the term closes first; f is then dropped.
func (t *term) post(f func()) bool {
	select {
	case t.events <- f:
		return true
	case <-t.closing:
		return false
	}
}

// callLoop runs f on the loop and returns its result.
func callLoop[T any](ctx context.Context, t *term, f func() T) (T, error) {
	var none T
	got := make(chan T, 1)
	select {
	case t.events <- func() { got <- f() }:
	case <-t.closing:
		return none, errTermClosed
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case v := <-got:
		return v, nil
	case <-t.closing:
		return none, errTermClosed
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// ownsZone reports whether this process currently owns the zone in this term's epoch.
func (t *term) ownsZone() bool {
	epoch, _, ok := t.o.Owns()
	return ok && epoch == t.epoch
}

// close ends the term. If graceful is set, it first waits for sends in progress and commits pending records.
func (t *term) close(ctx context.Context, graceful bool) {
	first := false
	t.once.Do(func() { first = true })
	if !first {
		<-t.closed
		return
	}
	if graceful {
		t.closeGracefully(ctx)
	}
	close(t.closing)
	cutoff, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	_ = t.journal.Close(cutoff)
	t.wg.Wait()
	close(t.closed)
}

// closeGracefully stops placement, waits for sends in progress, and commits all appended records.
func (t *term) closeGracefully(ctx context.Context) {
	links, err := callLoop(ctx, t, func() []*link {
		t.draining = true
		out := make([]*link, 0, len(t.links))
		for _, l := range t.links {
			out = append(out, l)
		}
		return out
	})
	if err != nil {
		return
	}
	for _, l := range links {
		l.close()
	}
	if err := t.journal.Flush(ctx); err != nil {
		t.o.Logger.Warn("scheduler: flushing the journal failed at close", zap.Error(err))
	}
}
