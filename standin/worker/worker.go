package worker

import (
	"crypto/rand"
	"sync"
	"time"

	"turmericgap/history"
	"turmericgap/job"
	"turmericgap/worker"
)

// Defaults.
const (
	// DefaultRunTime is the run time of a batch task whose start does not set one.
	DefaultRunTime = 50 * time.Millisecond
	// DefaultUsageLag is the delay of the usage report after a start.
	DefaultUsageLag = time.Second
	// MaxForgotten and ForgottenRetention limit how many forgotten attempts are remembered, and for how long.
	MaxForgotten       = 4096
	ForgottenRetention = 10 * time.Minute
	// MaxReplyBytes is the approximate limit for answers in a heartbeat reply; the last answer may exceed it.
	MaxReplyBytes = 1 << 20

	maxEverStarted   = 1 << 16
	maxViolations    = 256
	maxHeartbeatWait = 30 * time.Second
	maxCallsInFlight = 1024
	failedExitCode   = 1
)

// Worker is an in-memory worker.
type Worker struct {
	opts Options
	// cutReplies checks the heartbeat replies to the in-process client.
	cutReplies worker.TruncatedReplies

	mu   sync.Mutex
	boot string
	// seq numbers the changes. It never decreases, even over restarts, so that cursors from before a restart are
	// recognized: they are below firstSeq, the first number of the current boot.
	seq       int64
	firstSeq  int64
	attempts  map[string]*attempt
	forgotten attemptStates
	used      job.Resources
	epoch     int64
	fault     Fault
	changed   chan struct{}
	thawed    chan struct{}
	inFlight  int
	closed    bool
	calls     sync.WaitGroup

	// The following fields serve the checks of tests and survive a restart.
	everStarted attemptStates
	starts      int64
	violations  []string
}

// attempt is an attempt to run a task.
type attempt struct {
	start      worker.Start
	state      worker.State
	answer     *job.Answer
	usage      job.Resources
	usageDue   time.Time
	checkpoint []byte
	millicores int64
	startedAt  time.Time
	leaseEnd   time.Time
	endsAt     time.Time
	endTimer   *time.Timer
	leaseTimer *time.Timer
	seq        int64
}

// New returns a worker that is described by info and by default rejects no start.
func New(info worker.Info, opts ...Option) *Worker {
	o := Options{
		Info: info, RunTime: DefaultRunTime, UsageLag: DefaultUsageLag, Usage: declaredUsage, Answer: defaultAnswer,
		Record: func(history.Event) {},
	}
	for _, f := range opts {
		f(&o)
	}
	w := &Worker{opts: o, changed: make(chan struct{}), thawed: make(chan struct{})}
	close(w.thawed)
	w.everStarted = newAttemptStates(maxEverStarted, 0)
	w.startBoot()
	o.Record(history.Event{At: time.Now(), Kind: history.WorkerCapacity, Worker: info.ID, Resources: info.Has})
	return w
}

func declaredUsage(s *worker.Start) job.Resources { return s.Resources }

// defaultAnswer is the default for Options.Answer.
func defaultAnswer(s *worker.Start, exit int) []byte {
	if exit != 0 {
		return []byte(s.Class + " failed attempt " + s.Attempt)
	}
	return []byte(s.Class + " done attempt " + s.Attempt)
}

// startBoot begins a new boot without attempts.
func (w *Worker) startBoot() {
	w.boot = rand.Text()
	w.seq = max(w.seq+1, time.Now().UnixNano())
	w.firstSeq = w.seq
	w.attempts = make(map[string]*attempt)
	w.forgotten = newAttemptStates(MaxForgotten, ForgottenRetention)
	w.used = job.Resources{}
	w.epoch = 0
}

// Info returns the worker's entry for the VM list.
func (w *Worker) Info() worker.Info { return w.opts.Info }

// Restart ends and forgets all attempts, as a reboot does.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, a := range w.attempts {
		if a.state == worker.Running {
			w.stopTimers(a)
			w.record(history.Ended, id, a, time.Now())
		}
	}
	w.startBoot()
	w.wakeWaiters()
}

// Close stops all timers and waits until all calls have returned.
func (w *Worker) Close() {
	w.SetFault(Fault{})
	w.mu.Lock()
	w.closed = true
	for _, a := range w.attempts {
		w.stopTimers(a)
	}
	w.wakeWaiters()
	w.mu.Unlock()
	w.calls.Wait()
}

func (w *Worker) stopTimers(a *attempt) {
	for _, t := range []*time.Timer{a.endTimer, a.leaseTimer} {
		if t != nil {
			t.Stop()
		}
	}
}

// wakeWaiters wakes all waiting heartbeats.
func (w *Worker) wakeWaiters() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// markChanged gives the attempt a new sequence number and wakes all waiting heartbeats.
func (w *Worker) markChanged(a *attempt) {
	w.seq++
	a.seq = w.seq
	w.wakeWaiters()
}

func (w *Worker) record(kind history.Kind, id string, a *attempt, at time.Time) {
	w.opts.Record(history.Event{
		At: at, Kind: kind, Attempt: id, Worker: w.opts.Info.ID, Resources: a.start.Resources,
	})
}

func (w *Worker) addViolation(reason string) {
	if len(w.violations) < maxViolations {
		w.violations = append(w.violations, reason)
	}
}
