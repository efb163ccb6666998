package lease

import (
	"time"

	"go.uber.org/zap"
)

// Option sets up a Holder.
type Option func(*Holder)

// TTL sets how long the service keeps the lease after a renewal.
func TTL(d time.Duration) Option { return func(h *Holder) { h.ttl = d } }

// ClockDrift sets how much earlier than the service the holder stops trusting the lease.
func ClockDrift(d time.Duration) Option { return func(h *Holder) { h.drift = d } }

// RenewInterval sets the pause between renewals; the default is a third of the TTL.
func RenewInterval(d time.Duration) Option { return func(h *Holder) { h.renew = d } }

// OverlapRenewals lets renewals be sent while earlier ones have no answer yet.
func OverlapRenewals() Option { return func(h *Holder) { h.overlap = true } }

// OnLost sets a function that is called, on the holder's goroutine, when the service says that the
// lease is gone; a lease with a new ID follows.
func OnLost(f func(id int64)) Option { return func(h *Holder) { h.lost = f } }

// Logger sets where the holder logs.
func Logger(l *zap.Logger) Option { return func(h *Holder) { h.log = l } }
