package floor

import (
	"sync"
	"time"

	"turmericgap/job"
	"turmericgap/worker"
)

// Behaviour defines what a run of a task does.
type Behaviour struct {
	// Duration is the run time, Ending the result after it.
	Duration time.Duration
	Ending   worker.RunOutcome
	// Resources are allocated on the worker while the run is present.
	Resources job.Resources
	// Account is the client account of the task, for Cluster.CapOf.
	Account string
	// GangSize is the number of tasks that must be present before any of them starts; zero is no gang.
	GangSize int
	// MaxAttempts is the number of failures after which the task must not be started again; zero is no limit.
	MaxAttempts int
	// FullProgress makes the run always report a progress of 100 percent.
	FullProgress bool
	// CrashesWorker makes the run crash its worker after Duration instead of ending.
	CrashesWorker bool
	// StopTime is how long the run takes to end after an order to stop.
	StopTime time.Duration
	// CheckpointInterval is the run time between two checkpoints; zero saves none.
	CheckpointInterval time.Duration
}

// Cluster holds the simulated workers of a cell and the history of their runs.
type Cluster struct {
	// BehaviourOf returns the behaviour of a run of a task.
	BehaviourOf func(t worker.Task, run int64) Behaviour
	// GangTimeout is how long a member of a gang waits for the others.
	GangTimeout time.Duration
	// ClockRate is the speed of the workers' clocks; below 1 they are slow.
	ClockRate float64
	// MaxLease is the longest lease that a worker grants from its present time; zero is no limit.
	MaxLease time.Duration
	// ShrinkGrace is how long after its capacity has shrunk a worker may still be filled up to the former one.
	ShrinkGrace time.Duration
	// CapOf returns the highest cap of an account that may be in force; nil means that there are none. CapOverrun is the
	// fraction by which an account may exceed it.
	CapOf      func(account string) job.Resources
	CapOverrun float64
	// SlownessOf returns how many times longer than usual runs take on a worker, a gang as long as on its slowest one; nil
	// means that all workers are alike. The progress in a checkpoint counts as run time on any worker.
	SlownessOf func(worker.Info) float64
	// OnCrash is called after a run has crashed its worker; may be nil.
	OnCrash func(w *Worker)

	mu         sync.Mutex
	workers    map[string]*Worker
	history    []*Run
	violations []string
	// shownCompleted is when a work was first shown as completed; checkpoints is the run time that each checkpoint of a
	// task or gang stands for.
	shownCompleted map[string]time.Time
	checkpoints    map[checkpointKey]time.Duration
}

// Run is an entry of the history.
type Run struct {
	Task         worker.Task
	Number       int64
	Worker       string
	Started      time.Time
	Ended        time.Time
	Ending       worker.RunOutcome
	Acknowledged bool
	// Crashed is true if the worker crashed under the run.
	Crashed bool
	// Late is true if the network held back the start order.
	Late          bool
	gang          int
	maxAttempts   int
	crashesWorker bool
}

// A task that crashes its workers may be started less than maxStartsAfterCrashes times after crashesBeforeLimit of them
// have crashed under it.
const (
	crashesBeforeLimit    = 3
	maxStartsAfterCrashes = 3
)

// completedGrace is how long after a work was shown as completed an order that was sent before may still start a task.
const completedGrace = time.Second

// New returns a cluster without workers.
func New(behaviourOf func(worker.Task, int64) Behaviour) *Cluster {
	return &Cluster{
		BehaviourOf: behaviourOf, GangTimeout: 3 * time.Second, ClockRate: 1, workers: make(map[string]*Worker),
		shownCompleted: make(map[string]time.Time), checkpoints: make(map[checkpointKey]time.Duration),
	}
}

// Add adds a worker to the cluster. A worker with the same id is replaced.
func (c *Cluster) Add(info worker.Info) *Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.add(info)
}

func (c *Cluster) add(info worker.Info) *Worker {
	w := &Worker{cluster: c, info: info, startedAt: time.Now(), runs: make(map[runKey]*activeRun), maxRun: make(map[worker.Task]int64), changed: make(chan struct{}), calls: make(map[CallKind]int)}
	c.workers[info.ID] = w
	return w
}

// Client returns a client of a worker. Calls to an unknown worker fail with worker.ErrNotSent.
func (c *Cluster) Client(info worker.Info) *worker.Agent {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.workers[info.ID]; w != nil {
		return w.client()
	}
	return unreachableAgent()
}

// History returns copies of all runs in start order.
func (c *Cluster) History() []Run {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Run, len(c.history))
	for i, r := range c.history {
		out[i] = *r
	}
	return out
}

// ShowCompleted records that a work is shown as completed from now on.
func (c *Cluster) ShowCompleted(work string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.shownCompleted[work]; !known {
		c.shownCompleted[work] = time.Now()
	}
}

// Violations returns the violations in the history: a worker above its capacity, an account above its cap, a checkpoint
// that is not the task's, two concurrent runs of a task, a start after an acknowledged completion, after the work was
// shown as completed or after the last permitted failure, and the third start of a task that crashes its workers after
// three of them have crashed under it.
func (c *Cluster) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := append([]string(nil), c.violations...)
	earlier := make(map[worker.Task][]*Run)
	for _, r := range c.history {
		out = append(out, r.violationsAfter(earlier[r.Task])...)
		if at, shown := c.shownCompleted[r.Task.Work]; shown && !r.Late && r.Started.Sub(at) > completedGrace {
			out = append(out, "started after its work was shown as completed: "+r.describe())
		}
		earlier[r.Task] = append(earlier[r.Task], r)
	}
	return out
}

// violationsAfter returns the violations of a run, given the earlier runs of its task.
func (r *Run) violationsAfter(earlier []*Run) (out []string) {
	fails := 0
	for _, before := range earlier {
		if before.Ended.IsZero() || before.Ended.After(r.Started) {
			out = append(out, "twice at once: "+r.describe()+" and "+before.describe())
		}
		if before.Ending == worker.OutcomeDone && before.Acknowledged {
			out = append(out, "started again after it was done: "+r.describe()+" after "+before.describe())
		}
		if before.Ending == worker.OutcomeFailed && before.Acknowledged {
			fails++
		}
	}
	if r.maxAttempts > 0 && fails >= r.maxAttempts {
		out = append(out, "started after its last attempt had failed: "+r.describe())
	}
	if r.crashesWorker && startsAfterCrashes(earlier)+1 == maxStartsAfterCrashes {
		out = append(out, "started too often after its crashes: "+r.describe())
	}
	return out
}

// startsAfterCrashes returns how many of the runs began after crashesBeforeLimit crashes, or -1 if there were fewer.
func startsAfterCrashes(runs []*Run) int {
	crashes, starts := 0, -1
	for _, r := range runs {
		if starts >= 0 {
			starts++
		}
		if r.Crashed {
			crashes++
		}
		if crashes == crashesBeforeLimit && starts < 0 {
			starts = 0
		}
	}
	return starts
}
