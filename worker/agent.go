package worker

import (
	"context"
	"errors"
	"time"
)

// Errors of an Agent's calls with a known outcome.
var (
	// ErrReplaced means that another worker instance has taken this one's place; all its runs have ended.
	ErrReplaced = errors.New("worker was replaced")
	// ErrUnhealthy means that the worker declined the call because it is unhealthy; nothing was done.
	ErrUnhealthy = errors.New("worker is unhealthy and declined the call")
)

// RefusalReason is why a worker refused an order.
type RefusalReason string

// The reasons for a refusal. In each case the worker did nothing.
const (
	// ReasonFenced means that the worker has seen a higher fencing token.
	ReasonFenced RefusalReason = "fenced"
	// ReasonStaleRun means that this run of the task, or a later one, has already ended on the worker.
	ReasonStaleRun RefusalReason = "old"
	// ReasonExpired means that the order's deadline had passed.
	ReasonExpired RefusalReason = "late"
	// ReasonNoCapacity means that the worker lacks free resources.
	ReasonNoCapacity RefusalReason = "room"
	// ReasonPermit means that the permit is missing or has expired.
	ReasonPermit RefusalReason = "permit"
	// ReasonInvalid means that the worker did not understand the order.
	ReasonInvalid RefusalReason = "invalid"
)

// Refusal is the error of an order that the worker refused without doing anything.
type Refusal struct{ Reason RefusalReason }

// Error implements error.
func (r *Refusal) Error() string { return "worker refused: " + string(r.Reason) }

// Task identifies a task by its work, occurrence, step and index.
type Task struct {
	Work       string `msgpack:"w"`
	Occurrence int    `msgpack:"o,omitempty"`
	Step       int    `msgpack:"s,omitempty"`
	Index      int    `msgpack:"i,omitempty"`
}

// Launch orders a run of a task. It is idempotent: repeating the same run has no effect.
type Launch struct {
	Task Task `msgpack:"t"`
	// Run increases with each start of the task.
	Run  int64  `msgpack:"r"`
	Spec string `msgpack:"p"`
	// Until is when the order expires, by the worker's monotonic clock.
	Until time.Duration `msgpack:"u"`
	// Fence is the owner's fencing token; the worker refuses orders with a lower one than it has seen.
	Fence  int64  `msgpack:"f"`
	Permit string `msgpack:"k,omitempty"`
	// Checkpoint is where to resume; if empty, the task starts from the beginning.
	Checkpoint string `msgpack:"c,omitempty"`
}

// Halt orders a run to stop. A run that has not started yet can never start afterwards.
type Halt struct {
	Task  Task  `msgpack:"t"`
	Run   int64 `msgpack:"r"`
	Fence int64 `msgpack:"f"`
}

// Hold renews the lease of all runs on the worker and asks for their state.
type Hold struct {
	Fence int64 `msgpack:"f"`
	// Observed is the number of the last ended run that the owner has stored durably. The worker may
	// forget it and all before it.
	Observed int64 `msgpack:"o"`
	// Until is the new end of the lease by the worker's monotonic clock; zero leaves the lease unchanged.
	Until time.Duration `msgpack:"u"`
	// Wait is how long the worker may wait for a run to end before it replies.
	Wait time.Duration `msgpack:"w"`
}

// ActiveRun is a run that is present on a worker.
type ActiveRun struct {
	Task       Task   `msgpack:"t"`
	Run        int64  `msgpack:"r"`
	Checkpoint string `msgpack:"c,omitempty"`
	// Percent is the progress of the run.
	Percent int `msgpack:"p,omitempty"`
}

// RunOutcome is how a run ended.
type RunOutcome string

// The outcomes of runs.
const (
	OutcomeDone    RunOutcome = "done"
	OutcomeFailed  RunOutcome = "failed"
	OutcomeStopped RunOutcome = "stopped"
	// OutcomeLeaseExpired means that the worker's lease expired.
	OutcomeLeaseExpired RunOutcome = "lapsed"
	// OutcomeGangBroken means that another task of the gang ended first.
	OutcomeGangBroken RunOutcome = "broken"
	// OutcomeGangIncomplete means that the other tasks of the gang did not start in time.
	OutcomeGangIncomplete RunOutcome = "alone"
)

// EndedRun is a run that ended. Number increases within one worker instance.
type EndedRun struct {
	Number     int64      `msgpack:"n"`
	Task       Task       `msgpack:"t"`
	Run        int64      `msgpack:"r"`
	Outcome    RunOutcome `msgpack:"h"`
	Checkpoint string     `msgpack:"c,omitempty"`
}

// HoldReply is the reply to a Hold.
type HoldReply struct {
	// Clock is the reading of the worker's monotonic clock.
	Clock  time.Duration `msgpack:"c"`
	Active []ActiveRun   `msgpack:"a,omitempty"`
	Ended  []EndedRun    `msgpack:"e,omitempty"`
	// Born is the Unix time in milliseconds at which the answering instance started; zero if unknown.
	Born int64 `msgpack:"b,omitempty"`
}

// Agent calls the program that runs tasks on one worker. After an error other than ErrNotSent,
// ErrReplaced, ErrUnhealthy or a Refusal, the order may have taken effect or may still do so later.
type Agent struct {
	Launch func(ctx context.Context, l *Launch) (clock time.Duration, err error)
	Halt   func(ctx context.Context, h *Halt) (clock time.Duration, err error)
	Hold   func(ctx context.Context, h *Hold) (*HoldReply, error)
	// Relayed reports whether another VM makes the calls on behalf of this one; nil means that none does.
	Relayed func() bool
	// Close releases the agent's resources; it may be nil.
	Close func()
}

// IsRelayed reports whether another VM makes the calls on behalf of this one.
func (a *Agent) IsRelayed() bool { return a.Relayed != nil && a.Relayed() }

// Release calls Close if it is set. It accepts a nil agent.
func (a *Agent) Release() {
	if a != nil && a.Close != nil {
		a.Close()
	}
}

// ListedWorker is the entry of a worker in the cell's list.
type ListedWorker struct {
	Info
	// Pool is the service that the worker runs.
	Pool   string
	Labels []string
	// Clock is the reading of the worker's monotonic clock when it wrote its entry.
	Clock time.Duration
	// TimeLeft is the time until the worker leaves, if it has announced one.
	TimeLeft time.Duration
}
