package gate

import (
	"time"

	"turmericgap/job"
)

// Check is one request for a target, as it travels between gates.
type Check struct {
	Service string `json:"service" msgpack:"s"`
	Method  string `json:"method" msgpack:"m"`
	// Key is the caller's idempotency key.
	Key  string `json:"key,omitempty" msgpack:"k,omitempty"`
	Body []byte `json:"body,omitempty" msgpack:"b,omitempty"`
	// Repeatable says that running the check twice does no harm.
	Repeatable bool `json:"repeatable,omitempty" msgpack:"r,omitempty"`
	// Deadline is the time left until the caller's deadline; zero takes the default.
	Deadline time.Duration `json:"deadline,omitempty" msgpack:"d,omitempty"`
	// Zone is the zone that the caller prefers; empty means the gate's own.
	Zone string `json:"zone,omitempty" msgpack:"z,omitempty"`
	// Session and Target bind the check to the target that holds the session.
	Session string `json:"session,omitempty" msgpack:"i,omitempty"`
	Target  string `json:"target,omitempty" msgpack:"t,omitempty"`
	// Forwarded says that another gate sent it; it is not forwarded again.
	Forwarded bool `json:"forwarded,omitempty" msgpack:"f,omitempty"`
}

// Result is the final state of a check.
type Result struct {
	Outcome job.Outcome `json:"outcome" msgpack:"o"`
	Answer  *job.Answer `json:"answer,omitempty" msgpack:"a,omitempty"`
	Reason  string      `json:"reason,omitempty" msgpack:"r,omitempty"`
	// RetryAfter is when the caller may try again; zero means that no time is known.
	RetryAfter time.Duration `json:"-" msgpack:"w,omitempty"`
	// Attempts counts the requests that were sent to targets.
	Attempts int    `json:"attempts" msgpack:"n"`
	Target   string `json:"target,omitempty" msgpack:"t,omitempty"`
	// Limited says that a limit of the gate refused the check.
	Limited bool `json:"-" msgpack:"l,omitempty"`
	// Gone says that the session's target is no longer there.
	Gone bool `json:"gone,omitempty" msgpack:"g,omitempty"`
}

// Decision is what the rules say about one check; zero fields take the gate's defaults.
type Decision struct {
	// RefusalReason is the reason to refuse the check; empty lets it pass.
	RefusalReason string
	// Service replaces the check's service.
	Service string
	// Zone is the zone to prefer.
	Zone string
	// Timeout bounds the check's deadline.
	Timeout time.Duration
	// Retries bounds the attempts after the first; negative means none.
	Retries int
	// Queue bounds how many checks of the service wait in this gate; negative means none.
	Queue int
}
