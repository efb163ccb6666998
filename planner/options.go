package planner

import (
	"turmericgap/job"
	"turmericgap/rule"
)

// Options of a planner.
type Options struct {
	Rules *rule.List
	// Strategy names how workers are chosen where no rule says it.
	Strategy string
	Seed     uint64
	// Quotas holds what each team may hold; a team without one has no bound.
	Quotas map[string]job.Resources
	// MaxPending bounds the tasks that wait.
	MaxPending int
}

// Option sets one of the Options.
type Option func(*Options)

// Defaults of the options.
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

// Rules sets the rules; without them every job has priority zero.
func Rules(l *rule.List) Option { return func(o *Options) { o.Rules = l } }

// Strategy sets how workers are chosen where no rule says it: "pack" or "spread".
func Strategy(name string) Option { return func(o *Options) { o.Strategy = name } }

// Seed makes choices between equals differ from other planners'.
func Seed(seed uint64) Option { return func(o *Options) { o.Seed = seed } }

// Quotas sets what each team may hold.
func Quotas(q map[string]job.Resources) Option { return func(o *Options) { o.Quotas = q } }

// MaxPending bounds the tasks that wait.
func MaxPending(n int) Option { return func(o *Options) { o.MaxPending = n } }
