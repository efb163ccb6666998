package configuration

import (
	"context"
	"time"

	"go.uber.org/zap"

	"turmericgap/store"
)

const (
	// refreshTimeout limits a read of the store for callers that wait for it: a slow store answers within it.
	refreshTimeout = 400 * time.Millisecond
	// refreshInterval is the minimum interval between refreshes, so that calls with unknown keys cause few reads.
	refreshInterval = 200 * time.Millisecond
)

// Refresh asks the store for a newer configuration, or other VMs if the store does not answer. Callers share one refresh,
// and after a recent one nothing is done.
func (w *Watcher) Refresh(ctx context.Context) {
	w.refreshMu.Lock()
	if w.refreshing == nil {
		if time.Since(w.refreshedAt) < refreshInterval {
			w.refreshMu.Unlock()
			return
		}
		done := make(chan struct{})
		w.refreshing = done
		go func() {
			w.refresh(context.WithoutCancel(ctx))
			w.refreshMu.Lock()
			defer w.refreshMu.Unlock()
			w.refreshing, w.refreshedAt = nil, time.Now()
			close(done)
		}()
	}
	done := w.refreshing
	w.refreshMu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (w *Watcher) refresh(ctx context.Context) {
	silent := w.isStoreSilent()
	if silent && w.refreshFromPeers(ctx) {
		return
	}
	readCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	sent := time.Now()
	res, err := w.store.Range(readCtx, store.Range{Key: w.key, ChangedSince: w.delivered.Load()})
	if err != nil {
		if !silent {
			w.log.Info("configuration: store does not answer, asking other VMs", zap.Error(err))
			w.refreshFromPeers(ctx)
		}
		return
	}
	w.applyPairs(res.Pairs)
	w.confirm(sent)
}

// refreshFromPeers polls other VMs, and reports whether one of them has confirmed the version or has a newer one.
func (w *Watcher) refreshFromPeers(ctx context.Context) bool {
	confirmed := false
	for result := range w.poll(ctx) {
		switch result {
		case pollNewer:
			return true
		case pollConfirmed:
			confirmed = true // another one may have a newer version
		default:
		}
	}
	return confirmed
}
