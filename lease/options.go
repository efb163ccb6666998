package lease

import (
	"time"

	"go.uber.org/zap"
)

// Option configures a Holder.
type Option func(*Holder)

// TTL sets how long the store keeps the lease after a renewal.
func TTL(d time.Duration) Option { return func(h *Holder) { h.ttl = d } }

// ClockDrift sets how much earlier than the store the holder stops trusting the lease.
func ClockDrift(d time.Duration) Option { return func(h *Holder) { h.clockDrift = d } }

// RenewInterval sets the time between renewals; the default is a third of the TTL.
func RenewInterval(d time.Duration) Option { return func(h *Holder) { h.renewInterval = d } }

// OverlapRenewals allows a renewal to be sent while earlier ones are unanswered.
func OverlapRenewals() Option { return func(h *Holder) { h.overlapRenewals = true } }

// OnLost sets a function that is called when the store reports that the lease is gone, on the goroutine that renews it.
// The holder then requests a lease with a new ID.
func OnLost(f func(id int64)) Option { return func(h *Holder) { h.onLost = f } }

// Logger sets the logger.
func Logger(l *zap.Logger) Option { return func(h *Holder) { h.log = l } }
