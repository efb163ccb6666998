package rule

import "turmericgap/job"

// Preemption defines whether a request may preempt others and be preempted itself.
type Preemption struct {
	// May allows the request to preempt lower-priority work.
	May bool
	// Never protects the request's tasks from preemption.
	Never bool
	// EvenNotRepeatable allows preemption of the request's tasks although they are services or not repeatable.
	EvenNotRepeatable bool
}

// Quota limits the resources that the requests of a pool use together.
type Quota struct {
	// Pool is the pool to charge; empty means the request's team.
	Pool  string
	Limit job.Resources
	// Borrow allows the pool to use idle capacity beyond Limit, which is taken back by preemption.
	Borrow bool
}

// Effect combines the effects of all actions of one rule; zero values keep the defaults.
type Effect struct {
	// Rule is the id of the rule.
	Rule string
	// Refuse is the reason for rejecting the request; empty accepts it.
	Refuse            string
	RetryAfterSeconds int64
	Priority          int
	// MaxPending limits the pending tasks under this rule, MaxRunning the running ones; zero means no limit.
	MaxPending int
	MaxRunning int
	// Strategy names how workers are chosen; empty means the default for the kind of work.
	Strategy string
	Quota    *Quota
	// TimeoutSeconds ends an attempt or check that takes longer; zero means no timeout.
	TimeoutSeconds int64
	Retries        int
	Preemption     Preemption
	// Service is the target service of the request; empty means the service named by the request.
	Service string
	// Zones are tried in this order before all others.
	Zones []string
}
