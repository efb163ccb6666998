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

// Decision is what the rules and limits say of a job.
type Decision struct {
	// Rule is the id of the rule that matched; empty if none did.
	Rule     string
	Priority int
	// RefusalReason is the reason for a refusal; empty means accepted.
	RefusalReason string
	// Infeasible says that it was refused because it fits nowhere, even in an empty zone.
	Infeasible bool
	// RetryAfter is when a refused job may be offered again; zero means that it is hopeless.
	RetryAfter     time.Duration
	TimeoutSeconds int64
	Retries        int
}

// Start is a task to be started; its resources are taken already.
type Start struct {
	Job    string
	Task   int
	Worker string
	// Waited is the time since the job was accepted.
	Waited time.Duration
	Rule   string
}

// Preemption is a running task that must give way: it is asked for a checkpoint, then stopped.
type Preemption struct {
	Job    string
	Task   int
	Worker string
	// ForJob is the job that gets the capacity.
	ForJob string
	Reason string
}

// Plan is the outcome of Next.
type Plan struct {
	Starts      []Start
	Preemptions []Preemption
}

// AttemptResult tells how an attempt surely ended.
type AttemptResult struct {
	// Requeue puts the task back into the queue.
	Requeue bool
	// Completed says that the task gave its answer, so that Ran is worth learning from.
	Completed bool
	// RunTime is zero if unknown.
	RunTime time.Duration
	// PeakUsage is the largest usage seen; zero means unknown.
	PeakUsage job.Resources
}

// Explanation tells why a job stands where it does.
type Explanation struct {
	Job string `json:"job"`
	// Known is false if the planner does not hold the job.
	Known bool `json:"known"`
	// Rule is the id of the rule that decided.
	Rule    string `json:"rule"`
	Pending int    `json:"pending"`
	Running int    `json:"running"`
	// WaitsFor says in a sentence what the next task waits for; empty if none waits.
	WaitsFor string `json:"waitsFor,omitempty"`
	// LateAt is when the job goes before others, ReservedAt when its reserved room should be free.
	LateAt     time.Time `json:"lateAt,omitzero"`
	ReservedAt time.Time `json:"reservedAt,omitzero"`
	// Pool is charged and holds Holds; Charge is what the next task will take.
	Pool   string        `json:"pool,omitempty"`
	Holds  job.Resources `json:"holds"`
	Charge job.Resources `json:"charge"`
	// Rules tells which rules were asked and why they did not hold.
	Rules rule.Explanation `json:"rules"`
}

// Stats is a summary of the planner's state.
type Stats struct {
	// Pending counts waiting tasks by class.
	Pending map[string]int `json:"pending"`
	Running int            `json:"running"`
	Workers int            `json:"workers"`
	// Open counts workers that get new tasks.
	Open int           `json:"open"`
	Has  job.Resources `json:"has"`
	Used job.Resources `json:"used"`
	// Packing is the largest share of millicores, memory or accelerators that is used.
	Packing float64 `json:"packing"`
}
