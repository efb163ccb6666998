package floor

import (
	"context"
	"time"

	"turmericgap/worker"
)

func (w *Worker) hold(ctx context.Context, h *worker.Hold) (*worker.HoldReply, error) {
	do := func(p *Worker) error {
		if err := p.checkFence(h.Fence); err != nil {
			return err
		}
		p.extendLease(h.Until)
		p.acknowledge(h.Observed)
		return nil
	}
	transit := w.transitOf(CallHold)
	if transit.Late > 0 {
		return nil, w.executeLate(ctx, transit.Late, do)
	}
	if err := w.checkReachable(ctx); err != nil {
		return nil, err
	}
	if _, err := w.withLock(func() error { return do(w) }); err != nil {
		return nil, err
	}
	w.awaitEnd(ctx, h.Wait)
	if err := w.checkReachable(ctx); err != nil {
		return nil, err
	}
	if w.dropsReplies() || w.dropsHoldReply() {
		<-ctx.Done()
		return nil, errNoAnswer
	}
	reply := w.holdReply()
	return reply, waitFor(ctx, transit.Reply)
}

// acknowledge drops the ends up to a number and marks their runs as acknowledged in the history.
func (w *Worker) acknowledge(number int64) {
	for len(w.pendingEnds) > 0 && w.pendingEnds[0].Number <= number {
		if r := w.pendingRuns[0]; r != nil {
			r.Acknowledged = true
		}
		w.pendingEnds, w.pendingRuns = w.pendingEnds[1:], w.pendingRuns[1:]
	}
}

// awaitEnd waits until there is an unacknowledged end, at most for the timeout.
func (w *Worker) awaitEnd(ctx context.Context, timeout time.Duration) {
	w.cluster.mu.Lock()
	changed, pending := w.changed, len(w.pendingEnds)
	w.cluster.mu.Unlock()
	if pending > 0 || timeout <= 0 {
		return
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

func (w *Worker) holdReply() *worker.HoldReply {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	h := &worker.HoldReply{Clock: w.clock(), Ended: append([]worker.EndedRun(nil), w.pendingEnds[:min(len(w.pendingEnds), maxEnds)]...), Born: w.info.Born}
	for key, r := range w.runs {
		w.cluster.saveProgress(r)
		h.Active = append(h.Active, worker.ActiveRun{Task: key.task, Run: key.run, Checkpoint: r.checkpoint, Percent: r.percent()})
	}
	return h
}

// percent returns the progress of a run.
func (r *activeRun) percent() int {
	if r.behaviour.FullProgress {
		return 100
	}
	if r.behaviour.Duration == 0 {
		return 0
	}
	return int(100 * r.progress() / r.behaviour.Duration)
}
