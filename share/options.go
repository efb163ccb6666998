package share

import "time"

// Options configure an Allocator.
type Options struct {
	Valid           func() bool
	MemberSince     func() int64
	LoanTTL         time.Duration
	ClockDrift      time.Duration
	LoanIdleTimeout time.Duration
	RemovalGrace    time.Duration
}

// Option sets one of the Options.
type Option func(*Options)

// Valid sets the function that reports whether the gate is currently a member of its zone. While it returns false, the
// gate may use no slot.
func Valid(f func() bool) Option { return func(o *Options) { o.Valid = f } }

// MemberSince sets the function that returns the table version at which the current membership began. It is called
// after Valid.
func MemberSince(f func() int64) Option { return func(o *Options) { o.MemberSince = f } }

// LoanTTL sets how long a borrower may use a loan, and how much longer the lender keeps it charged.
func LoanTTL(ttl, drift time.Duration) Option {
	return func(o *Options) { o.LoanTTL, o.ClockDrift = ttl, drift }
}

// RemovalGrace sets how long the last requests and loans of a removed gate may still occupy targets.
func RemovalGrace(d time.Duration) Option { return func(o *Options) { o.RemovalGrace = d } }
