package worker

import (
	"context"
	"errors"
	"time"

	"turmericgap/job"
)

// ErrNotSent means that no byte of the call left this process, so it had no effect.
var ErrNotSent = errors.New("worker call not sent")

// ErrRefused means that the worker rejected the call and did nothing.
var ErrRefused = errors.New("worker refused")

// Info describes a worker in the VM list.
type Info struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
	// Has is the total capacity of the worker.
	Has job.Resources `json:"has"`
	// Leaving is set when the VM is about to stop; the worker gets no new tasks.
	Leaving bool `json:"leaving,omitempty"`
	// Born is the Unix time in milliseconds at which the worker instance started; zero if unknown.
	Born int64 `json:"-"`
}

// State is the state of an attempt on its worker.
type State string

// The states of an attempt.
const (
	Running State = "running"
	// Ended means that the task finished with an answer.
	Ended State = "ended"
	// Stopped means that the worker ended the task without an answer, because it was told to or
	// because the lease expired.
	Stopped State = "stopped"
	// Forbidden means that a stop arrived before any start, so the attempt never ran and never will.
	Forbidden State = "forbidden"
)

// Start asks a worker to run an attempt. It is idempotent by Attempt: a repeat has no effect, whether
// the attempt is running, ended, stopped or forbidden.
type Start struct {
	// Attempt consists of job, task index and attempt number, and is never reused.
	Attempt   string        `json:"attempt"`
	Resources job.Resources `json:"each"`
	// Epoch is the sender's ownership epoch; a worker that checks epochs refuses an older one.
	Epoch int64 `json:"epoch"`
	// LeaseMillis is how long the attempt may run without a renewal.
	LeaseMillis int64 `json:"leaseMillis"`
	// RunSeconds is the run time for stand-in workers; zero leaves it to the worker.
	RunSeconds int64  `json:"runSeconds,omitempty"`
	Class      string `json:"class"`
	// Service marks an attempt that does not end by itself.
	Service     bool   `json:"service,omitempty"`
	Payload     []byte `json:"payload,omitempty"`
	Checkpoint  []byte `json:"checkpoint,omitempty"`
	TraceParent string `json:"parent,omitempty"`
}

// Heartbeat renews the leases of all attempts that the sender owns on the worker and asks for changes
// since Cursor. The worker may hold the reply until there is a change.
type Heartbeat struct {
	Epoch       int64 `json:"epoch"`
	LeaseMillis int64 `json:"leaseMillis"`
	// Cursor is taken from the last reply; zero, or a cursor from before a restart, asks for all attempts.
	Cursor     int64 `json:"cursor"`
	WaitMillis int64 `json:"waitMillis,omitempty"`
	// Forget lists finished attempts whose result the sender has stored durably; the worker may drop them.
	Forget []string `json:"forget,omitempty"`
}

// Report is the state of one attempt as reported by its worker.
type Report struct {
	Attempt string      `json:"attempt"`
	State   State       `json:"state"`
	Answer  *job.Answer `json:"answer,omitempty"`
	// Usage is the attempt's recent resource usage, reported with a delay.
	Usage      job.Resources `json:"usage"`
	Checkpoint []byte        `json:"checkpoint,omitempty"`
}

// HeartbeatReply holds the attempts that changed after the request's cursor. Ended attempts whose
// answers do not fit may be left for later replies: Cursor then stays before them, and a full reply
// reports them as running.
type HeartbeatReply struct {
	// Boot changes whenever the worker has lost its record of attempts.
	Boot    string   `json:"boot"`
	Cursor  int64    `json:"cursor"`
	Reports []Report `json:"reports,omitempty"`
	// Full is set when Reports lists every attempt, not only changes.
	Full bool `json:"whole,omitempty"`
}

// Act applies a verb to a running attempt. Stopping an unknown attempt forbids it.
type Act struct {
	Attempt string `json:"attempt"`
	Verb    Verb   `json:"verb"`
	Epoch   int64  `json:"epoch"`
	// Millicores is the new CPU limit for Throttle.
	Millicores int64 `json:"millicores,omitempty"`
}

// Verb is the action of an Act.
type Verb string

// The verbs that workers support.
const (
	Stop       Verb = "stop"
	Throttle   Verb = "throttle"
	Checkpoint Verb = "checkpoint"
)

// Client calls one worker. After an error other than ErrNotSent and ErrRefused, the call may have
// taken effect.
type Client struct {
	Start     func(ctx context.Context, s *Start) (*Report, error)
	Heartbeat func(ctx context.Context, h *Heartbeat) (*HeartbeatReply, error)
	Act       func(ctx context.Context, a *Act) (*Report, error)
}

// Dial returns a client for a worker. The client calls valid right before it sends a Start or Act, and
// sends nothing if valid returns false.
type Dial func(info Info, valid func() bool) *Client

// LeaseMillis converts a lease duration to milliseconds.
func LeaseMillis(d time.Duration) int64 { return d.Milliseconds() }
