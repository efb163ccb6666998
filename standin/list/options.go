package list

import "time"

// Options configure a List.
type Options struct {
	// Lag is the age of the returned state.
	Lag time.Duration
	// Expiry is how long a VM stays listed without a renewed registration; zero is forever.
	Expiry time.Duration
}

// Option configures a List.
type Option func(*Options)

// Lag sets the age of the returned state.
func Lag(d time.Duration) Option { return func(o *Options) { o.Lag = d } }

// Expiry sets how long a VM stays listed without a renewed registration.
func Expiry(d time.Duration) Option { return func(o *Options) { o.Expiry = d } }
