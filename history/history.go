package history

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"turmericgap/finding"
	"turmericgap/job"
)

// Defaults.
const (
	// DefaultLeavingGrace is how long after its leaving was announced a target may still get new work.
	DefaultLeavingGrace = 5 * time.Second
	// DefaultMaxEvents bounds one run.
	DefaultMaxEvents = 1 << 20
)

// Checker collects the events of one run; it may be used by several goroutines.
type Checker struct {
	opts   Options
	mu     sync.Mutex
	events []Event
	lost   int
}

// Options are what a Checker is made of.
type Options struct {
	// Task gives the task of an attempt, and Job the job of a task.
	Task, Job    func(string) string
	LeavingGrace time.Duration
	// MaxEvents bounds the run; a run of more events is judged to be broken.
	MaxEvents int
}

// Option sets up a Checker.
type Option func(*Options)

// Names sets how the task of an attempt and the job of a task are found; the default cuts the name
// at its last slash.
func Names(task, job func(string) string) Option {
	return func(o *Options) { o.Task, o.Job = task, job }
}

// LeavingGrace sets how long after its leaving was announced a target may still get new work.
func LeavingGrace(d time.Duration) Option { return func(o *Options) { o.LeavingGrace = d } }

// MaxEvents bounds the run.
func MaxEvents(n int) Option { return func(o *Options) { o.MaxEvents = n } }

// New returns a checker without events.
func New(opts ...Option) *Checker {
	o := Options{Task: cutLast, Job: cutLast, LeavingGrace: DefaultLeavingGrace, MaxEvents: DefaultMaxEvents}
	for _, f := range opts {
		f(&o)
	}
	return &Checker{opts: o}
}

func cutLast(name string) string {
	if i := strings.LastIndexByte(name, '/'); i >= 0 {
		return name[:i]
	}
	return name
}

// Record adds an event; without a time it happened now.
func (c *Checker) Record(e Event) {
	if e.At.IsZero() {
		e.At = time.Now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.events) >= c.opts.MaxEvents {
		c.lost++
		return
	}
	c.events = append(c.events, e)
}

// Events gives what was recorded so far, so that the judge of several processes can record it too.
func (c *Checker) Events() []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.events)
}

// Check judges the run so far.
func (c *Checker) Check() finding.List {
	c.mu.Lock()
	events, lost := slices.Clone(c.events), c.lost
	c.mu.Unlock()
	// Events of one instant keep the order in which they were recorded, facts aside: an attempt may
	// end as it starts, and its place may be taken in the same instant of a paused clock.
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(rank(a.Kind), rank(b.Kind)))
	})
	j := newJudge(&c.opts)
	j.needsIntent = slices.ContainsFunc(events, func(e Event) bool { return e.Kind == Intent })
	for i := range events {
		j.take(&events[i])
	}
	if lost > 0 {
		j.list.Add("run", "has %d events too many to be judged", lost)
	}
	return j.verdict()
}

// rank puts the facts of an instant before what happened in it.
func rank(k Kind) int {
	if k == WorkerCapacity || k == TargetCapacity || k == Accepted {
		return 0
	}
	return 1
}

// judge replays the events in order.
type judge struct {
	opts    *Options
	list    finding.List
	jobs    map[string]*jobRecord
	workers map[string]*place
	targets map[string]*place
	// running holds the attempts of each task that run now.
	running map[string][]run
	// ran counts the attempts of each task that ever started.
	ran  map[string]int
	keys map[string]int
	// intents holds the attempts whose start was recorded before it was sent.
	intents     map[string]bool
	needsIntent bool
}

type run struct{ attempt, worker string }

type jobRecord struct {
	accepted, live bool
	repeatable     bool
	told           job.Outcome
	started        bool
	// tasks is how many the job has, ran how many of them have started, running how many run now.
	tasks, ran, running int
}

type place struct {
	has, used    job.Resources
	slots, inUse int
	leavingSince time.Time
}

func newJudge(o *Options) *judge {
	return &judge{
		opts: o, jobs: make(map[string]*jobRecord), workers: make(map[string]*place),
		targets: make(map[string]*place), running: make(map[string][]run), ran: make(map[string]int),
		keys: make(map[string]int), intents: make(map[string]bool),
	}
}

func (j *judge) job(id string) *jobRecord { return get(j.jobs, id) }

func get[T any](of map[string]*T, name string) *T {
	v, ok := of[name]
	if !ok {
		v = new(T)
		of[name] = v
	}
	return v
}

func (j *judge) take(e *Event) {
	switch e.Kind {
	case Accepted:
		r := j.job(e.Job)
		r.accepted, r.repeatable, r.tasks = true, e.Repeatable, e.Tasks
	case Intent:
		j.intents[e.Attempt] = true
	case Live:
		j.job(e.Job).live = true
	case Reported:
		j.told(e)
	case WorkerCapacity:
		get(j.workers, e.Worker).has = e.Resources
	case Started:
		j.started(e)
	case Ended:
		j.ended(e)
	case TargetCapacity:
		get(j.targets, e.Worker).slots = e.Slots
	case RequestStarted:
		j.requestBegan(e)
	case RequestEnded:
		get(j.targets, e.Worker).inUse--
	case Leaving:
		get(j.targets, e.Worker).leavingSince = e.At
	}
}

func (j *judge) started(e *Event) {
	task := j.opts.Task(e.Attempt)
	r := j.job(j.opts.Job(task))
	r.started = true
	if j.needsIntent && !j.intents[e.Attempt] {
		j.list.Add("task "+task, "started as %s without an intent", e.Attempt)
	}
	w := get(j.workers, e.Worker)
	w.used = w.used.Plus(e.Resources)
	if !w.used.FitsIn(w.has) {
		j.list.Add("worker "+e.Worker, "overfilled by %s: uses %+v of %+v", e.Attempt, w.used, w.has)
	}
	for _, o := range j.running[task] {
		j.list.Add("task "+task, "runs in two places: %s at %s and %s at %s", o.attempt, o.worker, e.Attempt, e.Worker)
	}
	j.running[task] = append(j.running[task], run{e.Attempt, e.Worker})
	r.running++
	j.ran[task]++
	if j.ran[task] == 1 {
		r.ran++
	}
	if r.accepted && !r.repeatable && j.ran[task] == 2 {
		j.list.Add("task "+task, "is not repeatable and ran again as %s", e.Attempt)
	}
}

func (j *judge) ended(e *Event) {
	task := j.opts.Task(e.Attempt)
	at := slices.Index(j.running[task], run{e.Attempt, e.Worker})
	if at < 0 {
		return
	}
	j.running[task] = slices.Delete(j.running[task], at, at+1)
	j.job(j.opts.Job(task)).running--
	w := get(j.workers, e.Worker)
	w.used = w.used.Minus(e.Resources)
}

func (j *judge) told(e *Event) {
	r := j.job(e.Job)
	if r.told != "" && r.told != e.Outcome {
		j.list.Add("job "+e.Job, "was told %s and then %s", r.told, e.Outcome)
	}
	r.told = e.Outcome
	if e.Outcome != job.Done {
		return
	}
	switch {
	case !e.Intact:
		j.list.Add("job "+e.Job, "was told done without its whole answer")
	case r.accepted && !r.started:
		j.list.Add("job "+e.Job, "was told done and never started")
	case r.running > 0:
		j.list.Add("job "+e.Job, "was told done while it runs")
	case r.ran < r.tasks:
		j.list.Add("job "+e.Job, "was told done after %d of %d tasks", r.ran, r.tasks)
	}
}

func (j *judge) requestBegan(e *Event) {
	t := get(j.targets, e.Worker)
	t.inUse++
	if t.inUse > t.slots {
		j.list.Add("target "+e.Worker, "works on %d requests with %d slots", t.inUse, t.slots)
	}
	if !t.leavingSince.IsZero() && !e.Session && e.At.Sub(t.leavingSince) > j.opts.LeavingGrace {
		j.list.Add("target "+e.Worker, "got %s %s after its leaving", e.Attempt, e.At.Sub(t.leavingSince))
	}
	j.job(j.opts.Task(e.Attempt)).started = true
	if e.Key == "" {
		return
	}
	r := j.job(e.Key)
	r.started = true
	j.keys[e.Key]++
	if r.accepted && !r.repeatable && j.keys[e.Key] == 2 {
		j.list.Add("check "+e.Key, "is not repeatable and ran again as %s", e.Attempt)
	}
}

func (j *judge) verdict() finding.List {
	ids := make([]string, 0, len(j.jobs))
	for id := range j.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		switch r := j.jobs[id]; {
		case r.told == job.NotRun && r.started:
			j.list.Add("job "+id, "was told notRun and has started")
		case r.accepted && r.told == "" && !r.live:
			j.list.Add("job "+id, "was accepted and is lost")
		}
	}
	return j.list
}
