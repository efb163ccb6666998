package rule

import "turmericgap/job"

// Preemption tells what a request may do to others and others to it.
type Preemption struct {
	// May lets the request preempt lower work.
	May bool
	// Never keeps the request's tasks from being preempted.
	Never bool
	// EvenNotRepeatable lets the request's tasks be preempted although they are services or not
	// repeatable.
	EvenNotRepeatable bool
}

// Quota is what the requests of a pool may hold together.
type Quota struct {
	// Pool is charged; empty means the request's team.
	Pool string
	Most job.Resources
	// Borrow lets the pool use idle capacity beyond Most, which is taken back by preemption.
	Borrow bool
}

// Effect is everything that the actions of one rule ask for; zero values leave the default.
type Effect struct {
	// Rule is the id of the rule.
	Rule string
	// Refuse is the reason for which the request is refused; empty accepts it.
	Refuse            string
	RetryAfterSeconds int64
	Priority          int
	// MostPending bounds the tasks that wait under this rule, MostRunning those that run; zero
	// means no bound.
	MostPending int
	MostRunning int
	// Strategy names how workers are chosen; empty means by the kind of the work.
	Strategy string
	Quota    *Quota
	// TimeoutSeconds ends an attempt or check that takes longer; zero means never.
	TimeoutSeconds int64
	Retries        int
	Preemption     Preemption
	// Service is the target service that gets the request; empty means the one that it names.
	Service string
	// Zones are tried in this order before others.
	Zones []string
}
