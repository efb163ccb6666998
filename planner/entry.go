package planner

import (
	"math/bits"
	"time"

	"turmericgap/job"
	"turmericgap/learn"
	"turmericgap/placement"
	"turmericgap/queue"
	"turmericgap/rule"
)

// Parameters of the time at which a job becomes late, which lateAt computes.
const (
	lateAfter       = 4 * time.Hour
	lateAfterUrgent = time.Minute
	// deadlineMargin is kept between the expected end of a job and its deadline.
	deadlineMargin = 2 * time.Minute
	// headStartPerDoubling is how much earlier a job becomes late for each doubling of its tasks' cores. If both large
	// and small tasks fit, the large ones start first, since small ones are easier to place later.
	headStartPerDoubling = 30 * time.Minute
)

// entry is the state of a job with pending or running tasks.
type entry struct {
	id       string
	spec     *job.Submission
	accepted time.Time
	decision Decision
	effect   *rule.Effect
	pool     string
	strategy string
	classKey learn.Key
	// charge is the resources allocated to the next task.
	charge   job.Resources
	estimate learn.Estimate
	// pending holds the indexes of waiting tasks; running holds the tasks with allocated resources, by index.
	pending []int
	running map[int]*task
	// preempting counts the running tasks that were asked to stop.
	preempting int
	// tasksOn counts the running tasks on each worker.
	tasksOn map[string]int
	item    queue.Item[*entry]
	final   bool

	reservation  *reservation
	waitReason   waitReason
	waitingSince time.Time
	// lastPreemption is the time of the last attempt to preempt tasks for the job.
	lastPreemption time.Time
}

// task is a task with resources allocated on a worker.
type task struct {
	entry   *entry
	index   int
	worker  string
	zone    string
	charge  job.Resources
	pool    string
	rule    string
	started time.Time
	// plannedEnd is the start time plus the 0.9 quantile of the run time.
	plannedEnd time.Time
	peakUsage  job.Resources
	borrowed   bool
	// preempting is set once the task was asked to stop.
	preempting   bool
	runningIndex int
}

// waitReason is the reason why the first pending task of a job has not started.
type waitReason int

const (
	waitInQueue waitReason = iota
	waitCapacity
	waitLimit
	waitQuota
	waitGangStop
)

var noEffect = &rule.Effect{}

func (e *entry) band() int { return e.decision.Priority }

// nextStartCount returns the number of tasks that must start together: all pending ones of a gang, otherwise one.
func (e *entry) nextStartCount() int {
	if e.spec.Gang {
		return len(e.pending)
	}
	return 1
}

func (e *entry) isService() bool { return e.spec.Kind == job.Service }

func (e *entry) isSpread() bool { return e.strategy == placement.Spread }

// tasksOnNode returns the number of the job's tasks on a node, for the spread strategy.
func (e *entry) tasksOnNode(n *placement.Node) int { return e.tasksOn[n.Info.ID] }

func (e *entry) laneKey() queue.Key {
	k := queue.Key{
		Band: e.band(), Pool: e.pool, Rule: e.decision.Rule, Zone: e.spec.Zone, Request: e.charge, Spread: e.isSpread(),
	}
	k.Limited = e.effect.MaxRunning > 0 || (e.effect.Quota != nil && !e.effect.Quota.Borrow)
	if e.spec.Gang {
		k.GangSize = len(e.pending)
	}
	return k
}

// lateAt returns the time at which the job takes precedence over jobs that are not late: after a maximum wait, or
// when its deadline would be missed if its tasks, run width at a time, started any later.
func (e *entry) lateAt(width int) time.Time {
	at := e.accepted.Add(lateAfter - e.headStart())
	if e.band() >= queue.UrgentBand {
		at = e.accepted.Add(lateAfterUrgent)
	}
	if e.spec.Deadline.IsZero() || e.isService() {
		return at
	}
	waves := (len(e.pending) + width - 1) / max(width, 1)
	need := time.Duration(max(waves, 1)) * e.estimate.P90
	if latest := e.spec.Deadline.Add(-need - need/4 - deadlineMargin - e.headStart()); latest.Before(at) {
		return latest
	}
	return at
}

// headStart returns how much earlier the job becomes late because of the size of its tasks.
func (e *entry) headStart() time.Duration {
	const core = 1000
	return headStartPerDoubling * time.Duration(bits.Len64(uint64(e.charge.Millicores/core)))
}

func (e *entry) popPending() int {
	index := e.pending[0]
	e.pending = e.pending[1:]
	return index
}
