package job

import "time"

// State is where a job stands until it has an Outcome.
type State string

// The states of a job or task.
const (
	// Queued means that nothing of it has been started.
	Queued State = "queued"
	// Starting means that a worker was chosen and may have the task already.
	Starting State = "starting"
	// Active means that its worker reported it running.
	Active State = "running"
	// Stopping means that a stop was asked for and its worker has not yet said how it ended.
	Stopping State = "stopping"
	// Final means that the outcome is set and stays.
	Final State = "final"
)

// Status is what a caller is told of a job.
type Status struct {
	ID    string `json:"id" msgpack:"i"`
	State State  `json:"state" msgpack:"s"`
	// Outcome is empty until State is Final. A job is done when all of its tasks are, notRun when
	// none was started, and unknown otherwise.
	Outcome  Outcome      `json:"outcome,omitempty" msgpack:"o,omitempty"`
	Reason   string       `json:"reason,omitempty" msgpack:"r,omitempty"`
	Rule     string       `json:"rule,omitempty" msgpack:"u,omitempty"`
	Zone     string       `json:"zone" msgpack:"z"`
	Accepted time.Time    `json:"accepted,omitzero" msgpack:"a,omitempty"`
	Ended    time.Time    `json:"ended,omitzero" msgpack:"e,omitempty"`
	Tasks    []TaskStatus `json:"tasks,omitempty" msgpack:"t,omitempty"`
}

// TaskStatus is what a caller is told of one task.
type TaskStatus struct {
	Index   int     `json:"index" msgpack:"i"`
	State   State   `json:"state" msgpack:"s"`
	Outcome Outcome `json:"outcome,omitempty" msgpack:"o,omitempty"`
	Reason  string  `json:"reason,omitempty" msgpack:"r,omitempty"`
	Worker  string  `json:"worker,omitempty" msgpack:"w,omitempty"`
	// Attempt counts from one; zero means that none was made.
	Attempt int     `json:"attempt,omitempty" msgpack:"n,omitempty"`
	Answer  *Answer `json:"answer,omitempty" msgpack:"a,omitempty"`
}
