package worker

import (
	"context"
	"errors"
	"time"
)

// Errors of an Agent's calls with a definite meaning.
var (
	// ErrReplaced means that the worker's lifetime is over: all that ran in it has ended.
	ErrReplaced = errors.New("worker was replaced")
	// ErrUnwell means that the worker declined the call and did nothing.
	ErrUnwell = errors.New("worker is unwell and did nothing")
)

// Reason tells why a worker refused an order.
type Reason string

// The reasons of refusals; nothing was done.
const (
	// ReasonFenced means that a later owner has called the worker.
	ReasonFenced Reason = "fenced"
	// ReasonOld means that no higher run is wanted: this or a higher one has ended there.
	ReasonOld Reason = "old"
	// ReasonLate means that the order's deadline had passed.
	ReasonLate Reason = "late"
	// ReasonRoom means that the worker lacks capacity.
	ReasonRoom Reason = "room"
	// ReasonPermit means that the permit is missing or has expired.
	ReasonPermit Reason = "permit"
	// ReasonInvalid means that the worker did not understand the order.
	ReasonInvalid Reason = "invalid"
)

// Refusal is a worker's definite no.
type Refusal struct{ Reason Reason }

// Error gives the reason.
func (r *Refusal) Error() string { return "worker refused: " + string(r.Reason) }

// Task names one task: work, occurrence, step and index.
type Task struct {
	Work       string
	Occurrence int
	Step       int
	Index      int
}

// Launch orders a run of a task; a repeat of the same run changes nothing.
type Launch struct {
	Task Task
	// Run numbers the starts of the task and rises.
	Run  int64
	Spec string
	// Until is when the order is void, on the worker's clock.
	Until time.Duration
	// Fence is the owner's fencing token; a worker ignores a lower one than it has seen.
	Fence  int64
	Permit string
	// Checkpoint is where to resume; empty starts anew.
	Checkpoint string
}

// Halt orders the end of a run; one that is not there can never start afterwards.
type Halt struct {
	Task  Task
	Run   int64
	Fence int64
}

// Hold extends the lease of all that runs on the worker and asks what became of it.
type Hold struct {
	Fence int64
	// Observed is the last end that is durable here; the worker forgets it and those before.
	Observed int64
	// Until is the end of the lease on the worker's clock; zero leaves it as it is.
	Until time.Duration
	// Wait is how long the worker may wait for an end.
	Wait time.Duration
}

// Active is a run that is present on a worker.
type Active struct {
	Task       Task
	Run        int64
	Checkpoint string
	// Percent is how far it is.
	Percent int
}

// Ending tells how a run ended.
type Ending string

// The endings of runs.
const (
	EndingDone    Ending = "done"
	EndingFailed  Ending = "failed"
	EndingStopped Ending = "stopped"
	// EndingLapsed means that the lease ran out.
	EndingLapsed Ending = "lapsed"
	// EndingBroken means that another member of the gang ended.
	EndingBroken Ending = "broken"
	// EndingAlone means that the other members of the gang did not come in time.
	EndingAlone Ending = "alone"
)

// End is a run that ended; Number rises within the worker's lifetime.
type End struct {
	Number     int64
	Task       Task
	Run        int64
	How        Ending
	Checkpoint string
}

// Held is the answer to a Hold.
type Held struct {
	// Clock is the worker's steady clock.
	Clock  time.Duration
	Active []Active
	Ended  []End
}

// Agent calls the program that runs tasks on one worker. An error other than ErrNotSent, ErrReplaced,
// ErrUnwell and a Refusal leaves open whether the order was or will be carried out.
type Agent struct {
	Launch func(ctx context.Context, l *Launch) (clock time.Duration, err error)
	Halt   func(ctx context.Context, h *Halt) (clock time.Duration, err error)
	Hold   func(ctx context.Context, h *Hold) (*Held, error)
}

// Listing is a worker in the cell's list.
type Listing struct {
	Info
	// Pool is the service that the worker runs.
	Pool   string
	Labels []string
	// Clock is the worker's clock when it wrote its entry.
	Clock time.Duration
	// Left is how much time the worker has before it leaves, if it tells.
	Left time.Duration
}
