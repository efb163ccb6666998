package member

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"turmericgap/store"
)

const (
	firstBackoff = 200 * time.Millisecond
	lastBackoff  = 4 * time.Second
)

// backoff grows the pause between tries, with jitter, so that a store that returns is not stormed.
type backoff struct{ pause time.Duration }

func (b *backoff) next() time.Duration {
	b.pause = min(max(2*b.pause, firstBackoff), lastBackoff)
	return jitter(b.pause)
}

// renew keeps the store lease alive.
func (g *Group) renew(ctx context.Context) {
	var b backoff
	for wait := time.Duration(0); sleep(ctx, wait); {
		wait = jitter(g.opts.TTL / renewShare)
		id := g.leaseID()
		if id == 0 {
			continue
		}
		err := g.renewOnce(ctx, id)
		switch {
		case err == nil:
			b = backoff{}
		case errors.Is(err, store.ErrLeaseGone):
			g.log.Info("member: lease gone, joining again")
			g.nudge()
		default:
			wait = b.next()
			g.log.Warn("member: lease not renewed", zap.Error(err))
		}
	}
}

func (g *Group) renewOnce(ctx context.Context, id int64) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	sent := time.Now()
	ttl, err := g.store.KeepAlive(ctx, id)
	if errors.Is(err, store.ErrLeaseGone) {
		g.forgetLease(id)
	}
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	// Without this, a lease that lapsed on our count but not in the store would stay unattended.
	if !sent.Before(g.lease.until) {
		g.nudge()
	}
	g.extend(id, sent, ttl)
	return nil
}

// extend counts the lease from before the send: the store counts it from a later time, so ours
// ends first, however late the answer came.
func (g *Group) extend(id int64, sent time.Time, ttl time.Duration) {
	if g.lease.id != id || g.lease.keyRevision == 0 {
		return
	}
	if until := sent.Add(min(ttl, g.opts.TTL) - g.opts.Drift); until.After(g.lease.until) {
		g.lease.until = until
	}
}

func (g *Group) leaseID() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lease.id
}

func (g *Group) forgetLease(id int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lease.id == id {
		g.lease = held{}
	}
}
