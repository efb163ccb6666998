package floor

import (
	"context"
	"time"

	"turmericgap/worker"
)

func (w *Worker) hold(ctx context.Context, h *worker.Hold) (*worker.Held, error) {
	if err := w.reach(ctx); err != nil {
		return nil, err
	}
	_, err := w.locked(func() error {
		if err := w.raise(h.Fence); err != nil {
			return err
		}
		w.extend(h.Until)
		w.observe(h.Observed)
		return nil
	})
	if err != nil {
		return nil, err
	}
	w.await(ctx, h.Wait)
	if err := w.reach(ctx); err != nil {
		return nil, err
	}
	if w.silent() || w.losesHold() {
		<-ctx.Done()
		return nil, errNoAnswer
	}
	return w.held(), nil
}

// observe forgets the ends up to a number and notes them in the history.
func (w *Worker) observe(number int64) {
	for len(w.ended) > 0 && w.ended[0].Number <= number {
		if r := w.records[0]; r != nil {
			r.Acknowledged = true
		}
		w.ended, w.records = w.ended[1:], w.records[1:]
	}
}

// await waits for an end that is not taken note of.
func (w *Worker) await(ctx context.Context, most time.Duration) {
	w.floor.mu.Lock()
	changed, listed := w.changed, len(w.ended)
	w.floor.mu.Unlock()
	if listed > 0 || most <= 0 {
		return
	}
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

func (w *Worker) held() *worker.Held {
	w.floor.mu.Lock()
	defer w.floor.mu.Unlock()
	h := &worker.Held{Clock: w.clock(), Ended: append([]worker.End(nil), w.ended[:min(len(w.ended), mostEnds)]...)}
	for key, r := range w.runs {
		h.Active = append(h.Active, worker.Active{Task: key.task, Run: key.run, Checkpoint: r.checkpoint, Percent: r.percent()})
	}
	return h
}

// percent tells how far a run is.
func (r *running) percent() int {
	if r.does.FullProgress {
		return 100
	}
	if !r.working || r.does.Duration == 0 {
		return 0
	}
	return int(100 * time.Since(r.record.Started) / r.does.Duration)
}
