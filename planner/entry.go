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

// When a job becomes late: after so long, or when its deadline presses.
const (
	lateAfter    = 4 * time.Hour
	lateAfterTop = time.Minute
	// slackMargin is kept between the latest start and the deadline, besides the run itself.
	slackMargin = 2 * time.Minute
	// sizeLead is how much older a job counts for each doubling of its tasks' size: where large and
	// small work both fit, the large goes first, since the small finds room later as well.
	sizeLead = 30 * time.Minute
)

// entry is a job with tasks that wait or run.
type entry struct {
	id       string
	spec     *job.Submission
	accepted time.Time
	decision Decision
	effect   *rule.Effect
	pool     string
	strategy string
	kind     learn.Key
	// charge is what the next task will hold.
	charge   job.Resources
	estimate learn.Estimate
	// pending holds the indexes of waiting tasks, running those that hold resources.
	pending []int
	running map[int]*task
	// leaving counts the running tasks that were asked to give way.
	leaving int
	// on counts the running tasks on each worker.
	on    map[string]int
	item  queue.Item[*entry]
	final bool

	reservation *reservation
	waits       wait
	waitsSince  time.Time
	// preempted is when preemption was last tried for the job.
	preempted time.Time
}

// task holds resources on a worker.
type task struct {
	entry   *entry
	index   int
	worker  string
	zone    string
	charge  job.Resources
	pool    string
	rule    string
	started time.Time
	// end is when the task is expected to end.
	end      time.Time
	peak     job.Resources
	borrowed bool
	// leaving says that the task was asked to give way.
	leaving bool
	at      int
}

// wait is what the first pending task of a job waits for.
type wait int

const (
	waitsTurn wait = iota
	waitsCapacity
	waitsLimit
	waitsQuota
	waitsStop
)

var noEffect = &rule.Effect{}

func (e *entry) band() int { return e.decision.Priority }

// tasksNext is how many tasks must start together.
func (e *entry) tasksNext() int {
	if e.spec.Gang {
		return len(e.pending)
	}
	return 1
}

func (e *entry) service() bool { return e.spec.Kind == job.Service }

func (e *entry) spread() bool { return e.strategy == placement.Spread }

// near counts the job's tasks on a node, for spreading.
func (e *entry) near(n *placement.Node) int { return e.on[n.Info.ID] }

func (e *entry) key() queue.Key {
	k := queue.Key{
		Band: e.band(), Pool: e.pool, Rule: e.decision.Rule, Zone: e.spec.Zone, Request: e.charge, Spread: e.spread(),
	}
	k.Limited = e.effect.MostRunning > 0 || (e.effect.Quota != nil && !e.effect.Quota.Borrow)
	if e.spec.Gang {
		k.GangSize = len(e.pending)
	}
	return k
}

// lateAt is when the job must go before others: when it has waited long, or when its deadline
// would be missed if its tasks, run in waves of width, started later.
func (e *entry) lateAt(width int) time.Time {
	at := e.accepted.Add(lateAfter - e.lead())
	if e.band() >= queue.UrgentBand {
		at = e.accepted.Add(lateAfterTop)
	}
	if e.spec.Deadline.IsZero() || e.service() {
		return at
	}
	waves := (len(e.pending) + width - 1) / max(width, 1)
	need := time.Duration(max(waves, 1)) * e.estimate.P90
	if latest := e.spec.Deadline.Add(-need - need/4 - slackMargin - e.lead()); latest.Before(at) {
		return latest
	}
	return at
}

// lead is the head start of large tasks.
func (e *entry) lead() time.Duration {
	const core = 1000
	return sizeLead * time.Duration(bits.Len64(uint64(e.charge.Millicores/core)))
}

func (e *entry) takePending() int {
	index := e.pending[0]
	e.pending = e.pending[1:]
	return index
}
