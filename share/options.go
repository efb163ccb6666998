package share

import "time"

// Options are what a Holder is made of.
type Options struct {
	Valid           func() bool
	MemberSince     func() int64
	LoanTTL         time.Duration
	ClockDrift      time.Duration
	LoanIdleTimeout time.Duration
	RemovalGrace    time.Duration
}

// Option sets up a Holder.
type Option func(*Options)

// Valid sets the function that tells whether the gate holds its membership; without it, nothing may
// be used.
func Valid(f func() bool) Option { return func(o *Options) { o.Valid = f } }

// MemberSince sets the function that gives the table version with which the present membership began;
// it is asked after Valid.
func MemberSince(f func() int64) Option { return func(o *Options) { o.MemberSince = f } }

// LoanTTL sets how long a loan holds, and how much longer its lender keeps it charged.
func LoanTTL(life, drift time.Duration) Option {
	return func(o *Options) { o.LoanTTL, o.ClockDrift = life, drift }
}

// RemovalGrace sets how long the last requests and loans of a removed gate may still occupy targets.
func RemovalGrace(d time.Duration) Option { return func(o *Options) { o.RemovalGrace = d } }
