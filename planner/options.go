package planner

import (
	"turmericgap/job"
	"turmericgap/rule"
)

// Options configures a Planner.
type Options struct {
	Rules *rule.List
	// Strategy is the placement strategy for jobs whose rule does not set one.
	Strategy string
	Seed     uint64
	// Quotas holds the quota of each team; a team without an entry is not limited.
	Quotas map[string]job.Resources
	// MaxPending limits the number of waiting tasks.
	MaxPending int
}

// Option sets one of the Options.
type Option func(*Options)

// Default values of the options.
const (
	DefaultStrategy   = "pack"
	DefaultMaxPending = 100_000
)

func newOptions(opts []Option) Options {
	o := Options{Strategy: DefaultStrategy, MaxPending: DefaultMaxPending}
	for _, set := range opts {
		set(&o)
	}
	return o
}

// Rules sets the rules. Without rules every job has priority zero.
func Rules(l *rule.List) Option { return func(o *Options) { o.Rules = l } }

// Strategy sets the placement strategy for jobs whose rule does not set one: "pack" or "spread".
func Strategy(name string) Option { return func(o *Options) { o.Strategy = name } }

// Seed sets the zone from which the search starts, so that planners choose differently between equal zones.
func Seed(seed uint64) Option { return func(o *Options) { o.Seed = seed } }

// Quotas sets the quota of each team.
func Quotas(q map[string]job.Resources) Option { return func(o *Options) { o.Quotas = q } }

// MaxPending limits the number of waiting tasks.
func MaxPending(n int) Option { return func(o *Options) { o.MaxPending = n } }
