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

// term is one time of owning the zone, from take-over to its end.
type term struct {
	o       *Options
	epoch   int64
	journal *record.Journal
	planner *planner.Planner
	fleet   *fleet.Fleet
	events  chan func()
	// closing is closed when the term ends, closed when all its goroutines have.
	closing, closed chan struct{}
	once            sync.Once
	wg              sync.WaitGroup

	// The rest belongs to the loop.
	jobs map[string]*entry
	// live holds the jobs without an outcome, held the tasks at each worker.
	live  map[string]*entry
	held  map[string]map[ref]bool
	links map[string]*link
	// moved are the keys whose jobs went to other zones.
	moved map[string]movedRecord
	// moving are those whose records are under way.
	moving map[string]movedRecord
	// since is when the term began; sends of an earlier owner ended before.
	since    time.Time
	draining bool
	dirty    bool
	answers  int
	refusals []Refusal
}

// openTerm recovers the zone's state from the journal and starts the loop.
func openTerm(ctx context.Context, o *Options, epoch, epochRevision int64) (*term, error) {
	t := &term{
		o: o, epoch: epoch, planner: o.Planner(), fleet: fleet.New(), since: time.Now(),
		events: make(chan func(), eventRing), closing: make(chan struct{}), closed: make(chan struct{}),
		jobs: make(map[string]*entry), live: make(map[string]*entry),
		held: make(map[string]map[ref]bool), links: make(map[string]*link), moved: make(map[string]movedRecord), moving: make(map[string]movedRecord),
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

// recover fills the planner from the durable state.
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
			t.countAnswers(e)
			continue
		}
		t.live[e.id] = e
		e.decision = t.planner.Add(now, &planner.Job{ID: e.id, Spec: &e.Spec, Accepted: e.Accepted})
		for i := range e.tasks {
			if e.tasks[i].Phase != pending {
				t.planner.MarkRunning(e.id, i, e.tasks[i].Worker)
				e.tasks[i].starts = 1
			}
			if e.tasks[i].Phase == final {
				t.planner.Release(now, e.id, i, planner.AttemptResult{Completed: true})
			}
		}
	}
	t.dirty = true
	t.o.Logger.Info("scheduler: recovered the zone",
		zap.Int64("epoch", t.epoch), zap.Int("jobs", len(t.jobs)), zap.Int("live", len(t.live)))
}

// loop is the one goroutine that owns the term's state.
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
		if t.dirty {
			t.place(time.Now())
		}
	}
}

// drainEvents runs what else has come, so that one plan and one commit serve many events.
func (t *term) drainEvents() {
	for range eventRing {
		select {
		case f := <-t.events:
			f()
		default:
			return
		}
	}
}

// post hands f to the loop; it is dropped when the term closes.
func (t *term) post(f func()) bool {
	select {
	case t.events <- f:
		return true
	case <-t.closing:
		return false
	}
}

// ask runs f on the loop and gives its result.
func ask[T any](ctx context.Context, t *term, f func() T) (T, error) {
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

// valid reports whether this process still owns the zone in this term's epoch, just now.
func (t *term) valid() bool {
	epoch, _, ok := t.o.Owns()
	return ok && epoch == t.epoch
}

// close ends the term; with orderly set it first commits what is under way and says that it closed.
func (t *term) close(ctx context.Context, orderly bool) {
	first := false
	t.once.Do(func() { first = true })
	if !first {
		<-t.closed
		return
	}
	if orderly {
		t.closeOrderly(ctx)
	}
	close(t.closing)
	cutoff, cancel := context.WithTimeout(ctx, closeWithin)
	defer cancel()
	_ = t.journal.Close(cutoff)
	t.wg.Wait()
	close(t.closed)
}

// closeOrderly stops placing, waits for sends under way, and commits what was appended.
func (t *term) closeOrderly(ctx context.Context) {
	links, err := ask(ctx, t, func() []*link {
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
		t.o.Logger.Warn("scheduler: close without a full flush", zap.Error(err))
	}
}
