package dispatch

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"turmericgap/worker"
)

// mostEnds is how many ends a worker lists at a time.
const mostEnds = 500

// holdOrder tells the goroutine of a worker's lease what to send next.
type holdOrder struct {
	hold  worker.Hold
	pause time.Duration
}

// open starts the goroutine that keeps a worker's lease.
func (t *term) open(n *node) {
	n.agent = t.o.Agent(n.listing.Info)
	if n.leaseEnd.IsZero() {
		n.leaseEnd = t.firstLapse()
	}
	ctx, cancel := context.WithCancel(t.ctx)
	n.stop = cancel
	// The first hold raises the fence and tells the clock; it extends nothing, as no clock is known.
	n.holding, n.due = true, time.Now().Add(holdLate)
	n.orders <- holdOrder{hold: worker.Hold{Fence: t.tenure.Fence}}
	t.wg.Go(func() { t.keep(ctx, n) })
}

// firstLapse is when a worker that this term has never reached holds nothing of a former owner, who
// may have gone on extending its lease for holdGrace.
func (t *term) firstLapse() time.Time { return t.since.Add(holdGrace + t.leaseSpan()) }

// leaseSpan is how long after a hold was sent the lease may last on the worker's clock.
func (t *term) leaseSpan() time.Duration {
	return t.o.MaxHold + time.Duration(clockSlack*float64(t.o.MaxHold)) + lapseMargin
}

// keep sends the holds of one worker, one at a time.
func (t *term) keep(ctx context.Context, n *node) {
	for {
		select {
		case <-ctx.Done():
			return
		case order := <-n.orders:
			if order.pause > 0 && !n.pause(ctx, order.pause) {
				return
			}
			held, err := t.hold(ctx, n, &order.hold)
			if ctx.Err() != nil {
				return
			}
			t.post(func() { t.onHold(n, held, err) })
		}
	}
}

// hold sends a hold; one that is answered at once waits for its turn, one that waits at the worker does not keep it.
func (t *term) hold(ctx context.Context, n *node, h *worker.Hold) (held *worker.Held, err error) {
	if h.Wait == 0 {
		err = t.call(ctx, n.agent, holdSlack, func(ctx context.Context) error {
			held, err = n.agent.Hold(ctx, h)
			return err
		})
		return held, err
	}
	ctx, cancel := context.WithTimeout(ctx, h.Wait+holdSlack+t.lag.slack())
	defer cancel()
	return n.agent.Hold(ctx, h)
}

// next sends the following hold. It extends the lease unless the worker has been silent or this
// owner's own tenure was not confirmed for too long.
func (t *term) next(n *node, wait, pause time.Duration) {
	now := time.Now()
	h := worker.Hold{Fence: t.tenure.Fence, Observed: n.observed, Wait: wait}
	if n.synced && n.misses < extendMisses && t.tenure.Confirmed(holdGrace) {
		// The order is sent after the pause; the lease then ends that much earlier.
		h.Until = n.clockNow(now) + t.o.MaxHold
		n.leaseEnd = now.Add(pause + t.leaseSpan())
	}
	n.holding, n.holdSent, n.due = true, now.Add(pause), now.Add(pause+wait+holdLate)
	n.orders <- holdOrder{hold: h, pause: pause}
}

// onHold takes in the answer to a hold.
func (t *term) onHold(n *node, held *worker.Held, err error) {
	now := time.Now()
	n.holding = false
	if err != nil {
		t.onHoldFailed(n, err)
		return
	}
	if !n.synced || n.misses >= extendMisses {
		t.log.Info("dispatch: worker answers", zap.String("worker", n.id), zap.Int("active", len(held.Active)),
			zap.Int("ended", len(held.Ended)), zap.Int("misses", n.misses))
		t.dirty = true
	}
	n.misses = 0
	t.takeIn(n, held, now)
	n.synced = true
	if n.unsaved == 0 {
		n.observed = n.seen
		t.ask(n)
		return
	}
	// The worker is told of the ends once they are durable; the lease must not wait for a slow store.
	n.waiting++
	waiting := n.waiting
	time.AfterFunc(observeWithin, func() {
		t.post(func() {
			if n.waiting == waiting {
				t.proceed(n)
			}
		})
	})
}

// takeIn takes in what a worker tells, unless it has told of later meanwhile, beside the hold.
func (t *term) takeIn(n *node, held *worker.Held, now time.Time) {
	if held.Clock < n.clock {
		return
	}
	n.heard = now
	n.clock, n.clockAt = held.Clock, now
	t.onEnds(n, held.Ended)
	t.onActive(n, held)
}

// proceed sends the hold that waited for ends to become durable.
func (t *term) proceed(n *node) {
	n.waiting++
	if !n.stopped(t) && n.idle() {
		t.next(n, 0, 0)
	}
}

// idle reports whether no hold is under way or ordered. There is one at a time.
func (n *node) idle() bool { return !n.holding }

// stopped reports whether the worker's goroutine has been ended.
func (n *node) stopped(t *term) bool { return t.nodes[n.id] != n }

// noteEnd keeps the worker from being told of an end before the entry that it changed is durable.
func (t *term) noteEnd(n *node, e *entry) {
	if e.saving == nil {
		return
	}
	n.unsaved++
	t.save(e, func() {
		if n.unsaved--; n.unsaved > 0 {
			return
		}
		n.observed = n.seen
		t.retire(n)
		if n.idle() && !n.stopped(t) {
			n.waiting++
			t.ask(n)
		}
	})
}

func (t *term) onHoldFailed(n *node, err error) {
	var refused *worker.Refusal
	switch {
	case errors.Is(err, worker.ErrReplaced):
		n.listed = false
		t.gone(n, worker.EndingLapsed, "its lifetime is over")
		return
	case errors.As(err, &refused) && refused.Reason == worker.ReasonFenced:
		t.lose("a worker knows a later owner", err)
		return
	}
	if n.misses++; n.misses == extendMisses {
		t.log.Warn("dispatch: worker does not answer", zap.String("worker", n.id), zap.Int("runs", len(n.runs)), zap.Error(err))
	}
	if n.stopped(t) {
		return
	}
	pause := min(holdAgain<<min(n.misses, 3), holdAgainMost)
	t.next(n, 0, pause)
}

// onEnds takes in the ends that are new.
func (t *term) onEnds(n *node, ended []worker.End) {
	for i := range ended {
		e := &ended[i]
		if e.Number <= n.seen {
			continue
		}
		n.seen = e.Number
		if r := n.runs[runKey{e.Task, e.Run}]; r != nil {
			t.endRun(r, e.How, e.Checkpoint)
			t.noteEnd(n, r.s.e)
		} else {
			t.hear(n, e)
		}
	}
}

// onActive compares the runs that the worker lists with those that it should have.
func (t *term) onActive(n *node, held *worker.Held) {
	now := time.Now()
	listed := make(map[runKey]bool, len(held.Active))
	strange := 0
	for i := range held.Active {
		a := &held.Active[i]
		key := runKey{a.Task, a.Run}
		listed[key] = true
		r := n.runs[key]
		if r == nil {
			strange++
			t.haltStrange(n, a)
			continue
		}
		t.seeRun(r, a, now)
	}
	if strange != n.strange {
		t.log.Info("dispatch: runs that nobody asked for are being stopped", zap.String("worker", n.id), zap.Int("runs", strange))
		n.strange, t.dirty = strange, true
	}
	if len(held.Ended) >= mostEnds {
		// More ends may follow, that of a run which is not listed as active among them.
		return
	}
	for key, r := range n.runs {
		if !listed[key] && r.absent(n, held.Clock) {
			t.neverRan(r, "the worker does not list it")
		}
	}
}

// seeRun notes what a worker tells of a run.
func (t *term) seeRun(r *run, a *worker.Active, now time.Time) {
	r.confirm()
	r.recovered = false
	if a.Percent != r.percent || r.movedAt.IsZero() {
		r.percent, r.movedAt = a.Percent, now
	}
	if a.Checkpoint != "" {
		r.s.keepCheckpoint(r.index, a.Checkpoint)
	}
}

// confirm notes that the worker has the run.
func (r *run) confirm() {
	if !r.confirmed {
		r.confirmedAt = time.Now()
	}
	r.confirmed, r.doubt = true, false
	r.s.e.started = true
}

// absent reports whether a run that the worker does not list can never start there.
func (r *run) absent(n *node, clock time.Duration) bool {
	if r.recovered {
		// This term's fence was raised by the hold, so that an older order is refused from now on.
		return true
	}
	return r.doubt && clock > r.until
}
