package floor

import (
	"sync"
	"time"

	"turmericgap/job"
	"turmericgap/worker"
)

// Behaviour is what a task does once it runs.
type Behaviour struct {
	// Duration is how long it works, How how it ends then.
	Duration time.Duration
	Ending   worker.Ending
	// Resources is charged to its worker.
	Resources job.Resources
	// GangSize is how many tasks must be present together; zero stands for none.
	GangSize int
	// MaxAttempts is how often it may fail; zero stands for no bound.
	MaxAttempts int
	// FullProgress says that it is at work as long as it runs.
	FullProgress bool
}

// Cluster is all workers of a cell.
type Cluster struct {
	// BehaviourOf tells what a run of a task does.
	BehaviourOf func(t worker.Task, run int64) Behaviour
	// GangTimeout is how long members of a gang wait for each other.
	GangTimeout time.Duration

	mu      sync.Mutex
	workers map[string]*Worker
	history []*Run
	faults  []string
}

// Run is one run in the history.
type Run struct {
	Task         worker.Task
	Number       int64
	Worker       string
	Started      time.Time
	Ended        time.Time
	Ending       worker.Ending
	Acknowledged bool
	gang         int
	attempt      int
}

// New returns a floor without workers.
func New(behave func(worker.Task, int64) Behaviour) *Cluster {
	return &Cluster{BehaviourOf: behave, GangTimeout: 3 * time.Second, workers: make(map[string]*Worker)}
}

// Add puts a worker on the floor.
func (f *Cluster) Add(info worker.Info) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &Worker{floor: f, info: info, born: time.Now(), runs: make(map[runKey]*running), highest: make(map[worker.Task]int64), changed: make(chan struct{})}
	f.workers[info.ID] = w
	return w
}

// Client gives the calls to a worker; of one that is not there they fail unsent.
func (f *Cluster) Client(info worker.Info) *worker.Agent {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[info.ID]; w != nil {
		return w.client()
	}
	return gone()
}

// History gives all runs in the order in which they began.
func (f *Cluster) History() []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]Run, len(f.history))
	for i, r := range f.history {
		out[i] = *r
	}
	return out
}

// Violations gives what the history shows to be wrong: too much on a worker, a task in two places at once,
// a start after an end that was taken note of, or after the last allowed attempt.
func (f *Cluster) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := append([]string(nil), f.faults...)
	earlier := make(map[worker.Task][]*Run)
	for _, r := range f.history {
		fails := 0
		for _, before := range earlier[r.Task] {
			if before.Ended.IsZero() || before.Ended.After(r.Started) {
				out = append(out, "twice at once: "+r.name()+" beside "+before.name())
			}
			if before.Ending == worker.EndingDone && before.Acknowledged {
				out = append(out, "started again after it was done: "+r.name()+" after "+before.name())
			}
			if before.Ending == worker.EndingFailed && before.Acknowledged {
				fails++
			}
		}
		if r.attempt > 0 && fails >= r.attempt {
			out = append(out, "started after its last attempt had failed: "+r.name())
		}
		earlier[r.Task] = append(earlier[r.Task], r)
	}
	return out
}
