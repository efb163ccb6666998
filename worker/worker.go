package worker

import (
	"context"
	"errors"
	"time"

	"turmericgap/job"
)

// ErrNotSent means that no byte of the call left this process: it surely had no effect.
var ErrNotSent = errors.New("worker call not sent")

// ErrRefused means that the worker answered that it did nothing.
var ErrRefused = errors.New("worker refused")

// Info describes a worker in the VM list.
type Info struct {
	ID      string        `json:"id"`
	Address string        `json:"address"`
	Zone    string        `json:"zone"`
	Rack    string        `json:"rack"`
	Has     job.Resources `json:"has"`
	// Leaving says that the VM will stop: it gets nothing new.
	Leaving bool `json:"leaving,omitempty"`
}

// State is where an attempt stands on its worker.
type State string

// The states of an attempt.
const (
	Running State = "running"
	// Ended means that the task gave its answer.
	Ended State = "ended"
	// Stopped means that the worker ended the task without an answer: it was told to, or the
	// lease lapsed.
	Stopped State = "stopped"
	// Forbidden means that a stop came before any start: the attempt never ran and never will.
	Forbidden State = "forbidden"
)

// Start asks a worker to run an attempt. It is idempotent by Attempt: a repeat changes nothing,
// whether the attempt runs, has ended, was stopped or was forbidden.
type Start struct {
	// Attempt is unique for ever: job, task index and attempt number.
	Attempt   string        `json:"attempt"`
	Resources job.Resources `json:"each"`
	// Epoch is the sender's ownership epoch; a worker with guards refuses an older one.
	Epoch int64 `json:"epoch"`
	// LeaseMillis is how long the attempt may run without being renewed.
	LeaseMillis int64 `json:"leaseMillis"`
	// RunSeconds hints how long a stand-in runs it; zero leaves that to the worker.
	RunSeconds int64  `json:"runSeconds,omitempty"`
	Class      string `json:"class"`
	// Service marks an attempt that does not end by itself.
	Service     bool   `json:"service,omitempty"`
	Payload     []byte `json:"payload,omitempty"`
	Checkpoint  []byte `json:"checkpoint,omitempty"`
	TraceParent string `json:"parent,omitempty"`
}

// Heartbeat renews the leases of all attempts that the sender owns on the worker and asks for what
// has changed since Cursor. It may wait at the worker for a change.
type Heartbeat struct {
	Epoch       int64 `json:"epoch"`
	LeaseMillis int64 `json:"leaseMillis"`
	// Cursor is that of the last reply; zero, or one of another boot, asks for everything.
	Cursor     int64 `json:"cursor"`
	WaitMillis int64 `json:"waitMillis,omitempty"`
	// Forget names finished attempts whose end is durable here: the worker may drop them.
	Forget []string `json:"forget,omitempty"`
}

// Report is one attempt as its worker sees it.
type Report struct {
	Attempt string      `json:"attempt"`
	State   State       `json:"state"`
	Answer  *job.Answer `json:"answer,omitempty"`
	// Usage is what the attempt lately used; it lags.
	Usage      job.Resources `json:"usage"`
	Checkpoint []byte        `json:"checkpoint,omitempty"`
}

// HeartbeatReply holds the attempts that changed after the request's cursor. Ends whose answers do not
// fit may be left to later replies: Cursor then stands before them, and a whole reply names them as
// running.
type HeartbeatReply struct {
	// Boot changes whenever the worker has lost its memory of attempts.
	Boot    string   `json:"boot"`
	Cursor  int64    `json:"cursor"`
	Reports []Report `json:"reports,omitempty"`
	// Full says that Reports lists every attempt, not just changes.
	Full bool `json:"whole,omitempty"`
}

// Act asks for something to be done to a running attempt. A stop of an unknown attempt forbids it.
type Act struct {
	Attempt string `json:"attempt"`
	Verb    Verb   `json:"verb"`
	Epoch   int64  `json:"epoch"`
	// Millicores is the new share for a throttle.
	Millicores int64 `json:"millicores,omitempty"`
}

// Verb names an Act.
type Verb string

// The verbs that workers know.
const (
	Stop       Verb = "stop"
	Throttle   Verb = "throttle"
	Checkpoint Verb = "checkpoint"
)

// Client calls one worker. An error that is neither ErrNotSent nor ErrRefused leaves open whether
// the call took effect.
type Client struct {
	Start     func(ctx context.Context, s *Start) (*Report, error)
	Heartbeat func(ctx context.Context, h *Heartbeat) (*HeartbeatReply, error)
	Act       func(ctx context.Context, a *Act) (*Report, error)
}

// Dial makes the client of a worker; valid is asked directly before each send of a Start or Act.
type Dial func(info Info, valid func() bool) *Client

// LeaseMillis turns a lease into the field's unit.
func LeaseMillis(d time.Duration) int64 { return d.Milliseconds() }
