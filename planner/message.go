package planner

import (
	"time"

	"turmericgap/job"
	"turmericgap/rule"
)

// Job is an accepted submission.
type Job struct {
	ID       string
	Spec     *job.Submission
	Accepted time.Time
}

// Decision is the outcome of rules and limits for a job.
type Decision struct {
	// Rule is the id of the rule that matched, empty if none did.
	Rule     string
	Priority int
	// RefusalReason is empty if the job is accepted.
	RefusalReason string
	// Infeasible is set if the job was refused because it would not fit even into an empty zone.
	Infeasible bool
	// RetryAfter is the delay before a refused job may be submitted again; zero means that it will never be accepted.
	RetryAfter     time.Duration
	TimeoutSeconds int64
	Retries        int
}

// Start is a task to be started. Its resources are already allocated.
type Start struct {
	Job    string
	Task   int
	Worker string
	// Waited is the time since the job was accepted.
	Waited time.Duration
	Rule   string
}

// Preemption is a running task that must stop: it is asked for a checkpoint and then stopped.
type Preemption struct {
	Job    string
	Task   int
	Worker string
	// ForJob is the id of the job that gets the capacity.
	ForJob string
	Reason string
}

// Plan is the result of Next.
type Plan struct {
	Starts      []Start
	Preemptions []Preemption
}

// AttemptResult describes an attempt that is known to have ended.
type AttemptResult struct {
	// Requeue puts the task back into the queue.
	Requeue bool
	// Completed is set if the task delivered its result; only then its run time is learned.
	Completed bool
	// RunTime is zero if unknown.
	RunTime time.Duration
	// PeakUsage is the highest usage observed, zero if unknown.
	PeakUsage job.Resources
}

// Explanation is the state of a job and the reason why it waits.
type Explanation struct {
	Job string `json:"job"`
	// Known is false if the planner does not have the job.
	Known bool `json:"known"`
	// Rule is the id of the rule that matched, empty if none did.
	Rule    string `json:"rule"`
	Pending int    `json:"pending"`
	Running int    `json:"running"`
	// WaitsFor describes what the next task waits for, empty if no task is pending.
	WaitsFor string `json:"waitsFor,omitempty"`
	// LateAt is the time from which the job takes precedence; ReservedAt is when its reserved workers should be free.
	LateAt     time.Time `json:"lateAt,omitzero"`
	ReservedAt time.Time `json:"reservedAt,omitzero"`
	// Pool is the pool that is charged and Holds its total usage. Charge is the charge of the job's next task.
	Pool   string        `json:"pool,omitempty"`
	Holds  job.Resources `json:"holds"`
	Charge job.Resources `json:"charge"`
	// Rules lists the evaluated rules and why they did not match.
	Rules rule.Explanation `json:"rules"`
}

// Stats is a summary of the planner's state.
type Stats struct {
	// Pending counts the waiting tasks by class.
	Pending map[string]int `json:"pending"`
	Running int            `json:"running"`
	Workers int            `json:"workers"`
	// Open counts the workers that get new tasks.
	Open int           `json:"open"`
	Has  job.Resources `json:"has"`
	Used job.Resources `json:"used"`
	// Packing is the largest used fraction of millicores, memory or accelerators.
	Packing float64 `json:"packing"`
}
