package list

import "time"

// Options are what a List is made of.
type Options struct {
	// Lag is how old the shown state is.
	Lag time.Duration
	// Expiry removes a VM that has not registered for that long; zero keeps it.
	Expiry time.Duration
}

// Option sets up a List.
type Option func(*Options)

// Lag sets how old the shown state is.
func Lag(d time.Duration) Option { return func(o *Options) { o.Lag = d } }

// Expiry removes a VM that has not registered for that long.
func Expiry(d time.Duration) Option { return func(o *Options) { o.Expiry = d } }
