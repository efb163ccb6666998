package job

import (
	"time"

	"turmericgap/finding"
)

// Limits of one submission.
const (
	MaxKeyBytes     = 128
	MaxPayloadBytes = 16 << 10
	MaxTasks        = 1000
	MaxNameBytes    = 64
	// MaxQuantity bounds each resource of one task, so that sums over a cell cannot overflow.
	MaxQuantity = 1 << 40
)

// Outcome is the final state of a request; it is empty until the state is final.
type Outcome string

// The three final states, which are never mixed.
const (
	// Done means that the whole answer is there, its length and checksum verified.
	Done Outcome = "done"
	// NotRun means that nothing of the request was ever started.
	NotRun Outcome = "notRun"
	// Unknown means that the request may have run, in part or whole.
	Unknown Outcome = "unknown"
)

// Kind tells how long a job's tasks live.
type Kind string

// The kinds of jobs.
const (
	// Batch tasks end by themselves.
	Batch Kind = "batch"
	// Service tasks run until they are cancelled.
	Service Kind = "service"
)

// Resources is what one task needs or a worker has.
type Resources struct {
	// Millicores is processor time, in thousandths of a core.
	Millicores int64 `json:"millicores" msgpack:"c"`
	// MemoryMB is memory in units of 1,000,000 bytes.
	MemoryMB int64 `json:"memoryMB" msgpack:"m"`
	// Accelerators counts whole accelerators.
	Accelerators int64 `json:"accelerators" msgpack:"a"`
}

// Plus gives the sum of both.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.Millicores + o.Millicores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus gives r less o; parts may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.Millicores - o.Millicores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times gives n times r.
func (r Resources) Times(n int) Resources {
	k := int64(n)
	return Resources{r.Millicores * k, r.MemoryMB * k, r.Accelerators * k}
}

// FitsIn reports whether r is at most o in every part.
func (r Resources) FitsIn(o Resources) bool {
	return r.Millicores <= o.Millicores && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators
}

// Max gives the larger of each part.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.Millicores, o.Millicores), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// Submission is a job as its caller describes it.
type Submission struct {
	// Key makes the submission idempotent: a repeat with the same key returns the first job.
	Key string `json:"key" msgpack:"k"`
	// Team is charged for the job.
	Team string `json:"team" msgpack:"t"`
	// Class names a kind of work whose jobs resemble each other, such as "roster".
	Class string `json:"class" msgpack:"c"`
	Kind  Kind   `json:"kind" msgpack:"n"`
	// Tasks is how many equal tasks the job has.
	Tasks int `json:"tasks" msgpack:"q"`
	// Gang asks that all tasks start together or none does.
	Gang bool `json:"gang" msgpack:"g,omitempty"`
	// TaskResources is what one task needs.
	TaskResources Resources `json:"each" msgpack:"e"`
	// Repeatable says that a task may be run again after its earlier attempt has surely ended.
	Repeatable bool `json:"repeatable" msgpack:"r,omitempty"`
	// Urgent marks work that may preempt.
	Urgent bool `json:"urgent" msgpack:"u,omitempty"`
	// RunSeconds is the declared run time of one task; zero means not declared.
	RunSeconds int64 `json:"runSeconds,omitempty" msgpack:"s,omitempty"`
	// Deadline is when the answer is needed; the zero time means never.
	Deadline time.Time `json:"deadline,omitzero" msgpack:"d,omitempty"`
	// Zone pins the job to an availability zone; empty means any.
	Zone string `json:"zone,omitempty" msgpack:"z,omitempty"`
	// Payload is handed to each task as it is, MaxPayloadBytes at most.
	Payload []byte `json:"payload,omitempty" msgpack:"p,omitempty"`
}

// Check gives all findings of a submission; an empty list means that it may be accepted.
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

func checkName(l *finding.List, place, value string, most int) {
	switch {
	case value == "":
		l.Add(place, "must not be empty")
	case len(value) > most:
		l.Add(place, "must be at most %d bytes", most)
	}
}

func checkQuantity(l *finding.List, place string, value, least int64) {
	if value < least || value > MaxQuantity {
		l.Add(place, "must be from %d to %d", least, int64(MaxQuantity))
	}
}
