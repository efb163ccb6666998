package configuration

import (
	"context"
	"time"

	"go.uber.org/zap"

	"turmericgap/store"
	"turmericgap/store/follow"
)

const (
	// refreshTimeout limits how long callers wait for a read of the store: a slow store answers within it. The read itself
	// goes on, as a large document may be arriving.
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
	waitCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := w.readStore(waitCtx); err != nil && !silent {
		w.log.Info("configuration: store does not answer, asking other VMs", zap.Error(err))
		w.refreshFromPeers(ctx)
	}
}

// storeRead is a read of the store that goes on after its callers have stopped to wait.
type storeRead struct {
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// readStore reads the configuration from the store if it has changed. It waits no longer than ctx, and joins a read that is
// under way: two would share the link.
func (w *Watcher) readStore(ctx context.Context) error {
	w.refreshMu.Lock()
	read := w.reading
	if read == nil {
		readCtx, cancel := context.WithTimeout(context.Background(), follow.DefaultListTimeout)
		read = &storeRead{cancel: cancel, done: make(chan struct{})}
		w.reading = read
		go w.runRead(readCtx, read)
	}
	w.refreshMu.Unlock()
	select {
	case <-read.done:
		return read.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *Watcher) runRead(ctx context.Context, read *storeRead) {
	defer read.cancel()
	sent := time.Now()
	res, err := w.store.Range(ctx, store.Range{Key: w.key, ChangedSince: w.delivered.Load()})
	if err == nil {
		w.applyPairs(res.Pairs)
		w.confirm(sent)
	}
	w.refreshMu.Lock()
	defer w.refreshMu.Unlock()
	w.reading, read.err = nil, err
	close(read.done)
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

// endRead ends the read that is under way, if there is one.
func (w *Watcher) endRead() {
	w.refreshMu.Lock()
	read := w.reading
	w.refreshMu.Unlock()
	if read != nil {
		read.cancel()
		<-read.done
	}
}
