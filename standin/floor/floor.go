package floor

import (
	"sync"
	"time"

	"turmericgap/job"
	"turmericgap/worker"
)

// Behaviour is what a task does once it runs.
type Behaviour struct {
	// Runs is how long it works, How how it ends then.
	Runs time.Duration
	How  worker.RunOutcome
	// Needs is charged to its worker.
	Needs job.Resources
	// Gang is how many tasks must be present together; zero stands for none.
	Gang int
	// Attempts is how often it may fail; zero stands for no bound.
	Attempts int
	// Lasts says that it is at work as long as it runs.
	Lasts bool
}

// Floor is all workers of a cell.
type Floor struct {
	// Behave tells what a run of a task does.
	Behave func(t worker.Task, run int64) Behaviour
	// GangWithin is how long members of a gang wait for each other.
	GangWithin time.Duration

	mu      sync.Mutex
	workers map[string]*Worker
	history []*Run
	faults  []string
}

// Run is one run in the history.
type Run struct {
	Task    worker.Task
	Number  int64
	Worker  string
	Begun   time.Time
	Ended   time.Time
	How     worker.RunOutcome
	Noted   bool
	gang    int
	attempt int
}

// New returns a floor without workers.
func New(behave func(worker.Task, int64) Behaviour) *Floor {
	return &Floor{Behave: behave, GangWithin: 3 * time.Second, workers: make(map[string]*Worker)}
}

// Add puts a worker on the floor.
func (f *Floor) Add(info worker.Info) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &Worker{floor: f, info: info, born: time.Now(), runs: make(map[runKey]*running), highest: make(map[worker.Task]int64), changed: make(chan struct{})}
	f.workers[info.ID] = w
	return w
}

// Client gives the calls to a worker; of one that is not there they fail unsent.
func (f *Floor) Client(info worker.Info) *worker.Agent {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[info.ID]; w != nil {
		return w.client()
	}
	return gone()
}

// History gives all runs in the order in which they began.
func (f *Floor) History() []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]Run, len(f.history))
	for i, r := range f.history {
		out[i] = *r
	}
	return out
}

// Judge gives what the history shows to be wrong: too much on a worker, a task in two places at once,
// a start after an end that was taken note of, or after the last allowed attempt.
func (f *Floor) Judge() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := append([]string(nil), f.faults...)
	earlier := make(map[worker.Task][]*Run)
	for _, r := range f.history {
		fails := 0
		for _, before := range earlier[r.Task] {
			if before.Ended.IsZero() || before.Ended.After(r.Begun) {
				out = append(out, "twice at once: "+r.name()+" beside "+before.name())
			}
			if before.How == worker.OutcomeDone && before.Noted {
				out = append(out, "started again after it was done: "+r.name()+" after "+before.name())
			}
			if before.How == worker.OutcomeFailed && before.Noted {
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
