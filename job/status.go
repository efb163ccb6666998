package job

import "time"

// State is the state of a job or task.
type State string

// The states of a job or task.
const (
	// Queued means that nothing has been started.
	Queued State = "queued"
	// Starting means that a worker was chosen and may already have received the task.
	Starting State = "starting"
	// Active means that the worker reported the task as running.
	Active State = "running"
	// Stopping means that a stop was requested and the worker has not yet reported the end.
	Stopping State = "stopping"
	// Final means that the outcome is set and does not change.
	Final State = "final"
)

// Status is the status of a job as reported to its caller.
type Status struct {
	ID    string `json:"id" msgpack:"i"`
	State State  `json:"state" msgpack:"s"`
	// Outcome is empty until State is Final. A job is done if all of its tasks are done, notRun if none
	// was started, and unknown otherwise.
	Outcome  Outcome      `json:"outcome,omitempty" msgpack:"o,omitempty"`
	Reason   string       `json:"reason,omitempty" msgpack:"r,omitempty"`
	Rule     string       `json:"rule,omitempty" msgpack:"u,omitempty"`
	Zone     string       `json:"zone" msgpack:"z"`
	Accepted time.Time    `json:"accepted,omitzero" msgpack:"a,omitempty"`
	Ended    time.Time    `json:"ended,omitzero" msgpack:"e,omitempty"`
	Tasks    []TaskStatus `json:"tasks,omitempty" msgpack:"t,omitempty"`
}

// TaskStatus is the status of one task as reported to its caller.
type TaskStatus struct {
	Index   int     `json:"index" msgpack:"i"`
	State   State   `json:"state" msgpack:"s"`
	Outcome Outcome `json:"outcome,omitempty" msgpack:"o,omitempty"`
	Reason  string  `json:"reason,omitempty" msgpack:"r,omitempty"`
	Worker  string  `json:"worker,omitempty" msgpack:"w,omitempty"`
	// Attempt is the number of the latest attempt, from one; zero means that there was none.
	Attempt int     `json:"attempt,omitempty" msgpack:"n,omitempty"`
	Answer  *Answer `json:"answer,omitempty" msgpack:"a,omitempty"`
}
