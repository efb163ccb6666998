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
	// DefaultRunTime is how long a batch task runs when its start does not say.
	DefaultRunTime = 50 * time.Millisecond
	// DefaultUsageLag is how late usage is reported.
	DefaultUsageLag = time.Second
	// MaxForgotten and ForgottenFor bound the memory of forgotten attempts.
	MaxForgotten       = 4096
	ForgottenRetention = 10 * time.Minute
	// MaxReplyBytes is about how many bytes of answers one heartbeat's reply holds.
	MaxReplyBytes = 1 << 20

	maxEverStarted = 1 << 16
	maxViolations  = 256
	maxWait        = 30 * time.Second
	maxFrozenCalls = 1024
	noAnswerExit   = 1
)

// Worker is one worker that exists only in memory.
type Worker struct {
	opts Options
	// cuts is that of the client within the process.
	cuts worker.CutReplies

	mu   sync.Mutex
	boot string
	// seq numbers the changes; it never falls, so that a cursor of an earlier boot is recognized.
	seq       int64
	firstSeq  int64
	attempts  map[string]*attempt
	forgotten memory
	used      job.Resources
	epoch     int64
	fault     Fault
	changed   chan struct{}
	thawed    chan struct{}
	waiting   int
	closed    bool
	calls     sync.WaitGroup

	// What follows outlives a restart: it is the judge's, not the worker's.
	ever       memory
	starts     int64
	violations []string
}

// attempt is one run of one task.
type attempt struct {
	start      worker.Start
	state      worker.State
	answer     *job.Answer
	usage      job.Resources
	usageDue   time.Time
	checkpoint []byte
	millicores int64
	began      time.Time
	expires    time.Time
	ends       time.Time
	end        *time.Timer
	lapse      *time.Timer
	seq        int64
}

// New returns a worker that has what info says and guards nothing.
func New(info worker.Info, opts ...Option) *Worker {
	o := Options{
		Info: info, RunTime: DefaultRunTime, UsageLag: DefaultUsageLag, Usage: useAll, Answer: say,
		Record: func(history.Event) {},
	}
	for _, f := range opts {
		f(&o)
	}
	w := &Worker{opts: o, changed: make(chan struct{}), thawed: make(chan struct{})}
	close(w.thawed)
	w.ever = newMemory(maxEverStarted, 0)
	w.begin()
	o.Record(history.Event{At: time.Now(), Kind: history.WorkerHas, Worker: info.ID, Resources: info.Has})
	return w
}

func useAll(s *worker.Start) job.Resources { return s.Each }

// say is the default answer.
func say(s *worker.Start, exit int) []byte {
	if exit != 0 {
		return []byte(s.Class + " failed attempt " + s.Attempt)
	}
	return []byte(s.Class + " done attempt " + s.Attempt)
}

// begin starts a boot without any memory of attempts.
func (w *Worker) begin() {
	w.boot = rand.Text()
	w.seq = max(w.seq+1, time.Now().UnixNano())
	w.firstSeq = w.seq
	w.attempts = make(map[string]*attempt)
	w.forgotten = newMemory(MaxForgotten, ForgottenRetention)
	w.used = job.Resources{}
	w.epoch = 0
}

// Info gives the worker's entry in the VM list.
func (w *Worker) Info() worker.Info { return w.opts.Info }

// Restart ends everything that runs and loses all memory of attempts, as a reboot does.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, a := range w.attempts {
		if a.state == worker.Running {
			w.stopTimers(a)
			w.record(history.Ended, id, a, time.Now())
		}
	}
	w.begin()
	w.wake()
}

// Close ends all timers and waits until all calls have returned.
func (w *Worker) Close() {
	w.SetFault(Fault{})
	w.mu.Lock()
	w.closed = true
	for _, a := range w.attempts {
		w.stopTimers(a)
	}
	w.wake()
	w.mu.Unlock()
	w.calls.Wait()
}

func (w *Worker) stopTimers(a *attempt) {
	for _, t := range []*time.Timer{a.end, a.lapse} {
		if t != nil {
			t.Stop()
		}
	}
}

// wake ends the waits of all heartbeats.
func (w *Worker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// touch marks the attempt as changed.
func (w *Worker) touch(a *attempt) {
	w.seq++
	a.seq = w.seq
	w.wake()
}

func (w *Worker) record(kind history.Kind, id string, a *attempt, at time.Time) {
	w.opts.Record(history.Event{
		At: at, Kind: kind, Attempt: id, Worker: w.opts.Info.ID, Resources: a.start.Each,
	})
}

func (w *Worker) violate(reason string) {
	if len(w.violations) < maxViolations {
		w.violations = append(w.violations, reason)
	}
}
