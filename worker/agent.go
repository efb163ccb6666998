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
	// ErrUnhealthy means that the worker declined the call and did nothing.
	ErrUnhealthy = errors.New("worker is unwell and did nothing")
)

// RefusalReason tells why a worker refused an order.
type RefusalReason string

// The reasons of refusals; nothing was done.
const (
	// ReasonFenced means that a later owner has called the worker.
	ReasonFenced RefusalReason = "fenced"
	// ReasonStaleRun means that no higher run is wanted: this or a higher one has ended there.
	ReasonStaleRun RefusalReason = "old"
	// ReasonExpired means that the order's deadline had passed.
	ReasonExpired RefusalReason = "late"
	// ReasonNoCapacity means that the worker lacks capacity.
	ReasonNoCapacity RefusalReason = "room"
	// ReasonPermit means that the permit is missing or has expired.
	ReasonPermit RefusalReason = "permit"
	// ReasonInvalid means that the worker did not understand the order.
	ReasonInvalid RefusalReason = "invalid"
)

// Refusal is a worker's definite no.
type Refusal struct{ Reason RefusalReason }

// Error gives the reason.
func (r *Refusal) Error() string { return "worker refused: " + string(r.Reason) }

// Task names one task: work, occurrence, step and index.
type Task struct {
	Work       string `msgpack:"w"`
	Occurrence int    `msgpack:"o,omitempty"`
	Step       int    `msgpack:"s,omitempty"`
	Index      int    `msgpack:"i,omitempty"`
}

// Launch orders a run of a task; a repeat of the same run changes nothing.
type Launch struct {
	Task Task `msgpack:"t"`
	// Run numbers the starts of the task and rises.
	Run  int64  `msgpack:"r"`
	Spec string `msgpack:"p"`
	// Until is when the order is void, on the worker's clock.
	Until time.Duration `msgpack:"u"`
	// Fence is the owner's fencing token; a worker ignores a lower one than it has seen.
	Fence  int64  `msgpack:"f"`
	Permit string `msgpack:"k,omitempty"`
	// Checkpoint is where to resume; empty starts anew.
	Checkpoint string `msgpack:"c,omitempty"`
}

// Halt orders the end of a run; one that is not there can never start afterwards.
type Halt struct {
	Task  Task  `msgpack:"t"`
	Run   int64 `msgpack:"r"`
	Fence int64 `msgpack:"f"`
}

// Hold extends the lease of all that runs on the worker and asks what became of it.
type Hold struct {
	Fence int64 `msgpack:"f"`
	// Observed is the last end that is durable here; the worker forgets it and those before.
	Observed int64 `msgpack:"o"`
	// Until is the end of the lease on the worker's clock; zero leaves it as it is.
	Until time.Duration `msgpack:"u"`
	// Wait is how long the worker may wait for an end.
	Wait time.Duration `msgpack:"w"`
}

// ActiveRun is a run that is present on a worker.
type ActiveRun struct {
	Task       Task   `msgpack:"t"`
	Run        int64  `msgpack:"r"`
	Checkpoint string `msgpack:"c,omitempty"`
	// Percent is how far it is.
	Percent int `msgpack:"p,omitempty"`
}

// RunOutcome tells how a run ended.
type RunOutcome string

// The endings of runs.
const (
	OutcomeDone    RunOutcome = "done"
	OutcomeFailed  RunOutcome = "failed"
	OutcomeStopped RunOutcome = "stopped"
	// OutcomeLeaseExpired means that the lease ran out.
	OutcomeLeaseExpired RunOutcome = "lapsed"
	// OutcomeGangBroken means that another member of the gang ended.
	OutcomeGangBroken RunOutcome = "broken"
	// OutcomeGangIncomplete means that the other members of the gang did not come in time.
	OutcomeGangIncomplete RunOutcome = "alone"
)

// EndedRun is a run that ended; Number rises within the worker's lifetime.
type EndedRun struct {
	Number     int64      `msgpack:"n"`
	Task       Task       `msgpack:"t"`
	Run        int64      `msgpack:"r"`
	Outcome    RunOutcome `msgpack:"h"`
	Checkpoint string     `msgpack:"c,omitempty"`
}

// HoldReply is the answer to a Hold.
type HoldReply struct {
	// Clock is the worker's steady clock.
	Clock  time.Duration `msgpack:"c"`
	Active []ActiveRun   `msgpack:"a,omitempty"`
	Ended  []EndedRun    `msgpack:"e,omitempty"`
}

// Agent calls the program that runs tasks on one worker. An error other than ErrNotSent, ErrReplaced,
// ErrUnwell and a Refusal leaves open whether the order was or will be carried out.
type Agent struct {
	Launch func(ctx context.Context, l *Launch) (clock time.Duration, err error)
	Halt   func(ctx context.Context, h *Halt) (clock time.Duration, err error)
	Hold   func(ctx context.Context, h *Hold) (*HoldReply, error)
	// Relayed reports whether calls go by way of another VM, which makes them; nil stands for no.
	Relayed func() bool
	// Close ends the use of the agent; nil does nothing.
	Close func()
}

// IsRelayed reports whether another VM makes the calls.
func (a *Agent) IsRelayed() bool { return a.Relayed != nil && a.Relayed() }

// Release gives back what the agent holds.
func (a *Agent) Release() {
	if a != nil && a.Close != nil {
		a.Close()
	}
}

// ListedWorker is a worker in the cell's list.
type ListedWorker struct {
	Info
	// Pool is the service that the worker runs.
	Pool   string
	Labels []string
	// Clock is the worker's clock when it wrote its entry.
	Clock time.Duration
	// TimeLeft is how much time the worker has before it leaves, if it tells.
	TimeLeft time.Duration
}
