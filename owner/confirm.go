package owner

import (
	"context"
	"sync"
	"time"

	"turmericgap/lease"
	"turmericgap/store"
)

const (
	// confirmInterval is how old the latest evidence of the tenure may be before the owner reads its key. It leaves most
	// of the grace in which the owner of an idle cell acts without the store.
	confirmInterval = time.Second
	// confirmCheckInterval is the period of that check.
	confirmCheckInterval = 100 * time.Millisecond
)

// keyEvidence is the latest evidence that the owner's key was a tenure's own. The lease says less: a VM whose key was
// taken may renew its lease for as long as it likes.
type keyEvidence struct {
	mu sync.Mutex
	at time.Time
}

// RecordKept records that the store has answered a call which shows that the tenure lasted, and that was sent at that
// time: the key may have been taken right after the store received the call.
func (t *Tenure) RecordKept(sent time.Time) {
	t.kept.mu.Lock()
	defer t.kept.mu.Unlock()
	if sent.After(t.kept.at) {
		t.kept.at = sent
	}
}

// keptWithin reports whether the key was the tenure's own at most grace ago.
func (t *Tenure) keptWithin(grace time.Duration) bool {
	t.kept.mu.Lock()
	defer t.kept.mu.Unlock()
	return lease.Before(t.kept.at.Add(grace))
}

// confirmLoop reads the owner's key while nothing else shows that this VM still owns the cell.
func (g *Group) confirmLoop() {
	again := time.NewTicker(confirmCheckInterval)
	defer again.Stop()
	var sent time.Time
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-again.C:
		}
		g.mu.Lock()
		t := g.tenure
		g.mu.Unlock()
		if t != nil && !t.keptWithin(confirmInterval) && time.Since(sent) >= confirmInterval {
			sent = time.Now()
			g.confirmTenure(t)
		}
	}
}

// confirmTenure reads the owner's key, and ends the tenure if the key is no longer its own.
func (g *Group) confirmTenure(t *Tenure) {
	ctx, cancel := context.WithTimeout(g.ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	res, err := g.store.Range(ctx, store.Range{Key: t.Key})
	switch {
	case err != nil:
		return
	case len(res.Pairs) == 1 && res.Pairs[0].ModRevision == t.Revision:
		t.RecordKept(sent)
	case g.stopTenure(t, "the owner's key has changed"):
		g.wakeClaim()
	}
}
