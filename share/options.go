package share

import "time"

// Options are what a Holder is made of.
type Options struct {
	Valid    func() bool
	Since    func() int64
	Life     time.Duration
	Drift    time.Duration
	IdleLoan time.Duration
	Settle   time.Duration
}

// Option sets up a Holder.
type Option func(*Options)

// Valid sets the function that tells whether the gate holds its membership; without it, nothing may
// be used.
func Valid(f func() bool) Option { return func(o *Options) { o.Valid = f } }

// Since sets the function that gives the table version with which the present membership began;
// it is asked after Valid.
func Since(f func() int64) Option { return func(o *Options) { o.Since = f } }

// Life sets how long a loan holds, and how much longer its lender keeps it charged.
func Life(life, drift time.Duration) Option {
	return func(o *Options) { o.Life, o.Drift = life, drift }
}

// Settle sets how long the last requests and loans of a removed gate may still occupy targets.
func Settle(d time.Duration) Option { return func(o *Options) { o.Settle = d } }
