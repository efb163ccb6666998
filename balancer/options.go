package balancer

import "time"

// Options are what a Balancer is made of.
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

// Option sets up a Balancer.
type Option func(*Options)

// Seed sets the seed of the random choices.
func Seed(n uint64) Option { return func(o *Options) { o.Seed = n } }

// SlowStart sets how long a new or returned target takes to reach its full weight.
func SlowStart(d time.Duration) Option { return func(o *Options) { o.SlowStart = d } }

// Ejection sets how long a first ejection lasts and the most that a repeated one may last.
func Ejection(first, most time.Duration) Option {
	return func(o *Options) { o.BaseEjection, o.MaxEjection = first, most }
}
