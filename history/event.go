package history

import (
	"time"

	"turmericgap/job"
)

// Kind tells what happened.
type Kind string

// The kinds of events.
const (
	// Accepted means that a caller heard that its job is accepted.
	Accepted Kind = "accepted"
	// Intent means that a start was about to be sent.
	Intent Kind = "intent"
	// WorkerCapacity tells the resources of a worker.
	WorkerCapacity Kind = "workerHas"
	// Started and Ended bound the time in which an attempt ran at a worker.
	Started Kind = "started"
	Ended   Kind = "ended"
	// Reported means that a caller heard an outcome.
	Reported Kind = "told"
	// Live means that the job was still queued or running at the end of the run.
	Live Kind = "live"
	// TargetCapacity tells the slots of a target.
	TargetCapacity Kind = "targetHas"
	// RequestStarted and RequestEnded bound the time in which a target worked on a request.
	RequestStarted Kind = "requestBegan"
	RequestEnded   Kind = "requestEnded"
	// Leaving means that a target was announced as leaving.
	Leaving Kind = "leaving"
)

// Event is one thing that happened; which fields are set depends on its kind.
type Event struct {
	At   time.Time `json:"at"`
	Kind Kind      `json:"kind"`
	// Job is the job's id, or the id of a check.
	Job string `json:"job,omitempty"`
	// Tasks is how many tasks an accepted job has; zero leaves them uncounted.
	Tasks int `json:"tasks,omitempty"`
	// Attempt names one run of one task; ids of requests to targets stand here too.
	Attempt string `json:"attempt,omitempty"`
	// Key is the idempotency key of a request to a target.
	Key string `json:"key,omitempty"`
	// Worker is the worker or target at which it happened.
	Worker    string        `json:"worker,omitempty"`
	Resources job.Resources `json:"resources,omitzero"`
	Slots     int           `json:"slots,omitempty"`
	Outcome   job.Outcome   `json:"outcome,omitempty"`
	// Intact says that the told answer had its stated length and checksum.
	Intact bool `json:"whole,omitempty"`
	// Repeatable says that a task of the job may run again after it has surely ended.
	Repeatable bool `json:"repeatable,omitempty"`
	// Session marks a request that continues a session.
	Session bool `json:"session,omitempty"`
}
