package job

import (
	"strings"
	"time"
)

// Limits of a Work.
const (
	MaxSpecBytes = 4000
	MaxSteps     = 64
	MaxStepTasks = 4096
)

// Work is a submission of one or more steps, each with identical tasks.
type Work struct {
	// ID is chosen by the caller; a repeated submission with the same ID is the same work.
	ID string `msgpack:"i"`
	// Queue is the queue's configuration when the work was accepted. A newer version of the queue with
	// the same name takes precedence.
	Queue Queue `msgpack:"q"`
	// Spec is passed to each task unchanged.
	Spec  string `msgpack:"p"`
	Steps []Step `msgpack:"s"`
	// Occurrences is how many times the steps run; zero means once, without delay.
	Occurrences int `msgpack:"o,omitempty"`
	// FirstDue is when occurrence 0 is due, and Interval the time between occurrences.
	FirstDue time.Time     `msgpack:"f,omitempty"`
	Interval time.Duration `msgpack:"e,omitempty"`
	// Accepted is when the entry VM accepted the work, by its own wall clock.
	Accepted time.Time `msgpack:"a"`
	// Zone is the availability zone of the entry VM that accepted the work, which is also its caller's.
	Zone string `msgpack:"z,omitempty"`
	// Account is the name of the client account that submitted the work; empty if it came through a public queue.
	Account string `msgpack:"u,omitempty"`
}

// VisibleTo reports whether a caller of an account may see and cancel the work. Works without an account have no owner
// to protect.
func (w *Work) VisibleTo(account string) bool { return IsVisible(w.Account, account) }

// IsVisible reports whether a caller of an account may see and cancel a work of another account.
func IsVisible(workAccount, caller string) bool { return workAccount == "" || workAccount == caller }

// Step is a set of identical tasks in a Work.
type Step struct {
	Tasks         int       `msgpack:"n"`
	TaskResources Resources `msgpack:"r"`
	// Estimate is the caller's estimate of a task's run time.
	Estimate time.Duration `msgpack:"e,omitempty"`
	// DependsOn lists earlier steps that must be completed first.
	DependsOn []int `msgpack:"a,omitempty"`
	// Gang requires that all tasks run together or none does.
	Gang bool `msgpack:"g,omitempty"`
	// SameRack is set if the tasks run slower on more than one rack.
	SameRack bool `msgpack:"t,omitempty"`
	// Label is a label that the worker must have; empty means no requirement.
	Label string `msgpack:"l,omitempty"`
	// DataRack is the rack close to the data; tasks run slower elsewhere. Empty means no preference.
	DataRack string `msgpack:"d,omitempty"`
	// MaxPerWorker limits the tasks of one occurrence on one worker; zero means no limit.
	MaxPerWorker int `msgpack:"m,omitempty"`
	// Checkpoints is set if the tasks save their progress.
	Checkpoints bool `msgpack:"c,omitempty"`
	// Speculative allows a task to run more than once in parallel; the first run to end counts.
	Speculative bool `msgpack:"v,omitempty"`
	// Service is set if the tasks run until the work is cancelled.
	Service bool `msgpack:"x,omitempty"`
	// Image names the program; tasks with the same image behave alike.
	Image string `msgpack:"b,omitempty"`
	// TailLatency is the limit for the tail latency of a service task; zero means none.
	TailLatency time.Duration `msgpack:"u,omitempty"`
	// BestEffort tasks run on resources that others leave unused and are not charged for CPU.
	BestEffort bool `msgpack:"y,omitempty"`
	// MaxUnavailable limits the service tasks that the scheduler may make unavailable at a time.
	MaxUnavailable int `msgpack:"w,omitempty"`
}

// CoreSeconds returns the resource use of one occurrence by its caller's estimates.
func (w *Work) CoreSeconds() float64 {
	sum := 0.0
	for i := range w.Steps {
		s := &w.Steps[i]
		sum += s.TaskResources.Cores() * float64(s.Tasks) * s.Estimate.Seconds()
	}
	return sum
}

// NumTasks returns the number of tasks of one occurrence.
func (w *Work) NumTasks() int {
	n := 0
	for i := range w.Steps {
		n += w.Steps[i].Tasks
	}
	return n
}

// NumOccurrences returns how often the work runs, at least once.
func (w *Work) NumOccurrences() int { return max(w.Occurrences, 1) }

// DueAt returns when an occurrence may start.
func (w *Work) DueAt(occurrence int) time.Time {
	if w.Occurrences == 0 {
		return w.Accepted
	}
	return w.FirstDue.Add(time.Duration(occurrence) * w.Interval)
}

// Queue is the operators' configuration for one kind of work.
type Queue struct {
	Name string `msgpack:"n"`
	// Host and Prefix select the queue of a request; the longest matching prefix wins.
	Host   string `msgpack:"-"`
	Prefix string `msgpack:"-"`
	// Pool names the workers that may run its tasks.
	Pool string `msgpack:"p"`
	// Public is set if calls of the queue need no API key.
	Public bool `msgpack:"-"`
	// Priority orders the queues; 0 comes first.
	Priority int `msgpack:"y,omitempty"`
	// MaxAttempts is how often a task may fail before its work fails.
	MaxAttempts int `msgpack:"a"`
	// SlackFactor and Objective set when a work should be done: SlackFactor times its longest chain of steps, plus
	// Objective, after it is due.
	SlackFactor float64       `msgpack:"s"`
	Objective   time.Duration `msgpack:"t"`
	// Permit is the cost of requests to the queue's policy service; nil means that any worker may run
	// its steps without a permit.
	Permit *PermitCost `msgpack:"c,omitempty"`
}

// PermitCost is the cost of one permit request to a queue's policy service.
type PermitCost struct {
	// Base is the fixed part and PerWorker the part per worker of the response time. Valid is how long
	// the permit may be used.
	Base, PerWorker, Valid time.Duration
}

// Config is a version of the operators' configuration.
type Config struct {
	Version int64
	Queues  []Queue
	// StandbyPools lists the pools whose VMs are off.
	StandbyPools map[string]bool
	Accounts     []Account
	Limits       Limits
}

// Limits restrict what callers may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// MatchQueue returns the queue with this host and the longest matching prefix of path, or nil.
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

// QueueByName returns the queue with this name, or nil.
func (c *Config) QueueByName(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// WorkState is the state of a Work.
type WorkState string

// The states of a Work; the last three are final.
const (
	WorkQueued    WorkState = "queued"
	WorkRunning   WorkState = "running"
	WorkCompleted WorkState = "completed"
	WorkFailed    WorkState = "failed"
	WorkCancelled WorkState = "cancelled"
)

// Final reports whether the state can no longer change.
func (s WorkState) Final() bool { return s == WorkCompleted || s == WorkFailed || s == WorkCancelled }
