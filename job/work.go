package job

import (
	"strings"
	"time"
)

// Limits of one Work.
const (
	MaxSpecBytes = 4000
	MaxSteps     = 64
	MaxStepTasks = 4096
)

// Work is a submission of one or more steps, each with equal tasks.
type Work struct {
	// ID is chosen by the caller; a repeat with the same ID is the same work.
	ID string `msgpack:"i"`
	// Queue is the queue as it stood when the work was accepted; a newer one of that name governs it.
	Queue Queue `msgpack:"q"`
	// Spec is handed to each task as it is.
	Spec  string `msgpack:"p"`
	Steps []Step `msgpack:"s"`
	// Occurrences is how many times the steps run; zero means once, at once.
	Occurrences int `msgpack:"o,omitempty"`
	// FirstDue is when occurrence 0 is due, Every the time between two of them.
	FirstDue time.Time     `msgpack:"f,omitempty"`
	Interval time.Duration `msgpack:"e,omitempty"`
	// Accepted is when the entry VM took the work, by its own time of day.
	Accepted time.Time `msgpack:"a"`
	// Zone is the availability zone of the entry VM that took it, and so that of its caller.
	Zone string `msgpack:"z,omitempty"`
}

// Step is a part of a Work.
type Step struct {
	Tasks         int       `msgpack:"n"`
	TaskResources Resources `msgpack:"r"`
	// Estimate is the caller's guess of a task's run time.
	Estimate time.Duration `msgpack:"e,omitempty"`
	// DependsOn lists earlier steps whose tasks must all be done first.
	DependsOn []int `msgpack:"a,omitempty"`
	// Gang says that the tasks run together or not at all.
	Gang bool `msgpack:"g,omitempty"`
	// SameRack says that tasks on more than one rack run slower.
	SameRack bool `msgpack:"t,omitempty"`
	// Label is one that the worker must have; empty means any.
	Label string `msgpack:"l,omitempty"`
	// DataRack is the rack near the data; elsewhere tasks run slower. Empty means any.
	DataRack string `msgpack:"d,omitempty"`
	// MaxPerWorker bounds the tasks of one occurrence on one worker; zero means no bound.
	MaxPerWorker int `msgpack:"m,omitempty"`
	// Checkpoints says that the tasks save their progress.
	Checkpoints bool `msgpack:"c,omitempty"`
	// Speculative says that a task may run more than once in parallel; the first end counts.
	Speculative bool `msgpack:"v,omitempty"`
	// Service says that the tasks run until the work is cancelled.
	Service bool `msgpack:"x,omitempty"`
	// Image names the program; tasks of one image behave alike.
	Image string `msgpack:"b,omitempty"`
	// TailLatency is the bound for the tail of a service task's response times; zero means none.
	TailLatency time.Duration `msgpack:"u,omitempty"`
	// BestEffort says that the tasks run on what others leave unused and are not charged for processors.
	BestEffort bool `msgpack:"y,omitempty"`
	// MaxUnavailable bounds the service tasks that may be unavailable by our own actions at a time.
	MaxUnavailable int `msgpack:"w,omitempty"`
}

// NumOccurrences gives how many occurrences the work has.
func (w *Work) NumOccurrences() int { return max(w.Occurrences, 1) }

// DueAt gives when an occurrence may start.
func (w *Work) DueAt(occurrence int) time.Time {
	if w.Occurrences == 0 {
		return w.Accepted
	}
	return w.FirstDue.Add(time.Duration(occurrence) * w.Interval)
}

// Queue is what the operators configured for one kind of work.
type Queue struct {
	Name string `msgpack:"n"`
	// Host and Prefix select the queue of a request; the longest prefix wins.
	Host   string `msgpack:"-"`
	Prefix string `msgpack:"-"`
	// Pool names the workers that may run its tasks.
	Pool string `msgpack:"p"`
	// Priority orders queues, 0 first.
	Priority int `msgpack:"y,omitempty"`
	// MaxAttempts is how often a task may fail before its work has failed.
	MaxAttempts int `msgpack:"a"`
	// SlackFactor and Objective set when a work should be done: SlackFactor times its longest chain of steps, plus
	// Objective, after it is due.
	SlackFactor float64       `msgpack:"s"`
	Objective   time.Duration `msgpack:"t"`
	// Permit is how the queue's policy service answers; nil means that any worker may run its steps.
	Permit *PermitCost `msgpack:"c,omitempty"`
}

// PermitCost describes how long a permit request to a queue's policy service takes.
type PermitCost struct {
	// Base and PerWorker determine the response time; Valid is how long a response may be used.
	Base, PerWorker, Valid time.Duration
}

// Config is a version of the operators' configuration.
type Config struct {
	Version int64
	Queues  []Queue
	// StandbyPools lists the pools whose VMs are off.
	StandbyPools map[string]bool
	Limits       Limits
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// MatchQueue gives the queue of a request by host and the longest prefix of its path, or nil.
func (c *Config) MatchQueue(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	return best
}

// QueueByName gives the queue of that name, or nil.
func (c *Config) QueueByName(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// WorkState is where a Work stands.
type WorkState string

// The states of a Work; the last three are final.
const (
	WorkQueued    WorkState = "queued"
	WorkRunning   WorkState = "running"
	WorkCompleted WorkState = "completed"
	WorkFailed    WorkState = "failed"
	WorkCancelled WorkState = "cancelled"
)

// Final reports whether the state cannot change any more.
func (s WorkState) Final() bool { return s == WorkCompleted || s == WorkFailed || s == WorkCancelled }
