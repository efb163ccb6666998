package job

import (
	"math"
	"time"

	"turmericgap/finding"
)

// Limits of one submission.
const (
	MaxKeyBytes     = 128
	MaxPayloadBytes = 16 << 10
	MaxTasks        = 1000
	MaxNameBytes    = 64
	// MaxQuantity limits each resource of one task, so that sums over a cell cannot overflow.
	MaxQuantity = 1 << 40
)

// Outcome is the final result of a request; it is empty until the request has ended.
type Outcome string

// The three outcomes. A request has exactly one of them.
const (
	// Done means that the complete answer is available, with its length and checksum verified.
	Done Outcome = "done"
	// NotRun means that no part of the request was ever started.
	NotRun Outcome = "notRun"
	// Unknown means that the request may have run, partly or completely.
	Unknown Outcome = "unknown"
)

// Kind says whether a job's tasks end by themselves.
type Kind string

// The kinds of jobs.
const (
	// Batch tasks end by themselves.
	Batch Kind = "batch"
	// Service tasks run until they are cancelled.
	Service Kind = "service"
)

// Resources is what one task needs or a worker offers.
type Resources struct {
	// Millicores is CPU in thousandths of a core.
	Millicores int64 `json:"millicores" msgpack:"c"`
	// MemoryMB is memory in units of 1,000,000 bytes.
	MemoryMB int64 `json:"memoryMB" msgpack:"m"`
	// Accelerators counts whole accelerators.
	Accelerators int64 `json:"accelerators" msgpack:"a"`
}

// acceleratorCores is the number of cores that an accelerator counts as.
const acceleratorCores = 8

// Cores returns the resources as a number of cores.
func (r Resources) Cores() float64 {
	return float64(r.Millicores)/1000 + acceleratorCores*float64(r.Accelerators)
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.Millicores + o.Millicores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns r minus o; the result may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.Millicores - o.Millicores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	k := int64(n)
	return Resources{r.Millicores * k, r.MemoryMB * k, r.Accelerators * k}
}

// Count returns how many times need fits into the resources.
func (r Resources) Count(need Resources) int {
	if r.Millicores < need.Millicores || r.MemoryMB < need.MemoryMB || r.Accelerators < need.Accelerators {
		return 0
	}
	return min(quotient(r.Millicores, need.Millicores), quotient(r.MemoryMB, need.MemoryMB),
		quotient(r.Accelerators, need.Accelerators))
}

// quotient returns how many times need fits into has for one resource.
func quotient(has, need int64) int {
	switch {
	case has < 0:
		return 0
	case need <= 0:
		return math.MaxInt32
	}
	return int(min(has/need, math.MaxInt32))
}

// FitsIn reports whether no resource in r exceeds that in o.
func (r Resources) FitsIn(o Resources) bool {
	return r.Millicores <= o.Millicores && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators
}

// Max returns the maximum of r and o for each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.Millicores, o.Millicores), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// Submission is a job as its caller describes it.
type Submission struct {
	// Key makes the submission idempotent: a repeat with the same key returns the first job.
	Key string `json:"key" msgpack:"k"`
	// Team is charged for the job.
	Team string `json:"team" msgpack:"t"`
	// Class names a group of similar jobs, such as "roster".
	Class string `json:"class" msgpack:"c"`
	Kind  Kind   `json:"kind" msgpack:"n"`
	// Tasks is the number of identical tasks in the job.
	Tasks int `json:"tasks" msgpack:"q"`
	// Gang requires that all tasks start together or none does.
	Gang bool `json:"gang" msgpack:"g,omitempty"`
	// TaskResources is what one task needs.
	TaskResources Resources `json:"each" msgpack:"e"`
	// Repeatable allows a task to run again once its earlier attempt is known to have ended.
	Repeatable bool `json:"repeatable" msgpack:"r,omitempty"`
	// Urgent marks a job that may preempt others.
	Urgent bool `json:"urgent" msgpack:"u,omitempty"`
	// RunSeconds is the declared run time of one task; zero means not declared.
	RunSeconds int64 `json:"runSeconds,omitempty" msgpack:"s,omitempty"`
	// Deadline is when the answer is needed; the zero time means no deadline.
	Deadline time.Time `json:"deadline,omitzero" msgpack:"d,omitempty"`
	// Zone pins the job to an availability zone; empty means any.
	Zone string `json:"zone,omitempty" msgpack:"z,omitempty"`
	// Payload is passed to each task unchanged; it has at most MaxPayloadBytes.
	Payload []byte `json:"payload,omitempty" msgpack:"p,omitempty"`
}

// Check returns all findings of a submission; an empty list means that it is valid.
func (s *Submission) Check() finding.List {
	var l finding.List
	checkName(&l, "key", s.Key, MaxKeyBytes)
	checkName(&l, "team", s.Team, MaxNameBytes)
	checkName(&l, "class", s.Class, MaxNameBytes)
	if s.Kind != Batch && s.Kind != Service {
		l.Add("kind", "must be %q or %q", Batch, Service)
	}
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		l.Add("tasks", "must be from 1 to %d", MaxTasks)
	}
	checkQuantity(&l, "each.millicores", s.TaskResources.Millicores, 1)
	checkQuantity(&l, "each.memoryMB", s.TaskResources.MemoryMB, 1)
	checkQuantity(&l, "each.accelerators", s.TaskResources.Accelerators, 0)
	checkQuantity(&l, "runSeconds", s.RunSeconds, 0)
	if len(s.Zone) > MaxNameBytes {
		l.Add("zone", "must be at most %d bytes", MaxNameBytes)
	}
	if len(s.Payload) > MaxPayloadBytes {
		l.Add("payload", "must be at most %d bytes", MaxPayloadBytes)
	}
	return l
}

func checkName(l *finding.List, path, value string, maxBytes int) {
	switch {
	case value == "":
		l.Add(path, "must not be empty")
	case len(value) > maxBytes:
		l.Add(path, "must be at most %d bytes", maxBytes)
	}
}

func checkQuantity(l *finding.List, path string, value, minValue int64) {
	if value < minValue || value > MaxQuantity {
		l.Add(path, "must be from %d to %d", minValue, int64(MaxQuantity))
	}
}
