package balancer

import "time"

// Options configures a Balancer.
type Options struct {
	Seed             uint64
	SlowStart        time.Duration
	FailureThreshold int
	BaseEjection     time.Duration
	MaxEjection      time.Duration
	SlowFactor       float64
	SlowFloor        time.Duration
	BusyBackoff      time.Duration
}

// Option configures a Balancer.
type Option func(*Options)

// Seed sets the seed of the random number generator.
func Seed(n uint64) Option { return func(o *Options) { o.Seed = n } }

// SlowStart sets how long a new or reinstated target takes to reach its full weight.
func SlowStart(d time.Duration) Option { return func(o *Options) { o.SlowStart = d } }

// Ejection sets the duration of the first ejection and the limit for repeated ones.
func Ejection(first, longest time.Duration) Option {
	return func(o *Options) { o.BaseEjection, o.MaxEjection = first, longest }
}
