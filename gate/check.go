package gate

import (
	"time"

	"turmericgap/job"
)

// Check is one request for a target. Gates also forward it to each other in this form.
type Check struct {
	Service string `json:"service" msgpack:"s"`
	Method  string `json:"method" msgpack:"m"`
	// Key is the caller's idempotency key.
	Key  string `json:"key,omitempty" msgpack:"k,omitempty"`
	Body []byte `json:"body,omitempty" msgpack:"b,omitempty"`
	// Repeatable reports that running the check twice does no harm.
	Repeatable bool `json:"repeatable,omitempty" msgpack:"r,omitempty"`
	// Deadline is the time left until the caller's deadline; zero selects the default.
	Deadline time.Duration `json:"deadline,omitempty" msgpack:"d,omitempty"`
	// Zone is the caller's preferred zone; empty means the zone of the gate.
	Zone string `json:"zone,omitempty" msgpack:"z,omitempty"`
	// Session and Target bind the check to the target that owns the session.
	Session string `json:"session,omitempty" msgpack:"i,omitempty"`
	Target  string `json:"target,omitempty" msgpack:"t,omitempty"`
	// Forwarded reports that another gate sent the check; it is not forwarded again.
	Forwarded bool `json:"forwarded,omitempty" msgpack:"f,omitempty"`
}

// Result is the final outcome of a check.
type Result struct {
	Outcome job.Outcome `json:"outcome" msgpack:"o"`
	Answer  *job.Answer `json:"answer,omitempty" msgpack:"a,omitempty"`
	Reason  string      `json:"reason,omitempty" msgpack:"r,omitempty"`
	// RetryAfter is the delay before the caller's next try; zero means that no delay is known.
	RetryAfter time.Duration `json:"-" msgpack:"w,omitempty"`
	// Attempts counts the requests that were sent to targets.
	Attempts int    `json:"attempts" msgpack:"n"`
	Target   string `json:"target,omitempty" msgpack:"t,omitempty"`
	// Limited reports that a limit of the gate rejected the check.
	Limited bool `json:"-" msgpack:"l,omitempty"`
	// Gone reports that the session's target no longer exists.
	Gone bool `json:"gone,omitempty" msgpack:"g,omitempty"`
}

// Decision is the result of the rules for one check; zero fields select the gate's defaults.
type Decision struct {
	// RefusalReason is why the check is refused; empty admits it.
	RefusalReason string
	// Service replaces the service of the check.
	Service string
	// Zone is the preferred zone.
	Zone string
	// Timeout limits the deadline of the check.
	Timeout time.Duration
	// Retries limits the attempts after the first; a negative value disables retries.
	Retries int
	// Queue limits the checks of the service that wait in this gate; a negative value disables
	// queueing.
	Queue int
}
