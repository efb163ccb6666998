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
	// DefaultLeavingGrace is how long a target may still get new requests after it was announced as leaving.
	DefaultLeavingGrace = 5 * time.Second
	// DefaultMaxEvents limits the events of one run.
	DefaultMaxEvents = 1 << 20
)

// Checker collects and checks the events of one run. It is safe for concurrent use.
type Checker struct {
	opts    Options
	mu      sync.Mutex
	events  []Event
	dropped int
}

// Options configure a Checker.
type Options struct {
	// Task returns the task of an attempt, and Job the job of a task.
	Task, Job    func(string) string
	LeavingGrace time.Duration
	// MaxEvents limits the events of a run; a run with more events fails its check.
	MaxEvents int
}

// Option configures a Checker.
type Option func(*Options)

// Names sets how to get the task of an attempt and the job of a task. By default the name is cut at its
// last slash.
func Names(task, job func(string) string) Option {
	return func(o *Options) { o.Task, o.Job = task, job }
}

// LeavingGrace sets how long a target may still get new requests after it was announced as leaving.
func LeavingGrace(d time.Duration) Option { return func(o *Options) { o.LeavingGrace = d } }

// MaxEvents limits the events of the run.
func MaxEvents(n int) Option { return func(o *Options) { o.MaxEvents = n } }

// New returns a checker without events.
func New(opts ...Option) *Checker {
	o := Options{Task: cutLastSegment, Job: cutLastSegment, LeavingGrace: DefaultLeavingGrace, MaxEvents: DefaultMaxEvents}
	for _, f := range opts {
		f(&o)
	}
	return &Checker{opts: o}
}

func cutLastSegment(name string) string {
	if i := strings.LastIndexByte(name, '/'); i >= 0 {
		return name[:i]
	}
	return name
}

// Record adds an event. The time of an event without one is set to now.
func (c *Checker) Record(e Event) {
	if e.At.IsZero() {
		e.At = time.Now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.events) >= c.opts.MaxEvents {
		c.dropped++
		return
	}
	c.events = append(c.events, e)
}

// Events returns the events recorded so far, so that another Checker can check them with those of other
// processes.
func (c *Checker) Events() []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.events)
}

// Check returns the violations in the events recorded so far.
func (c *Checker) Check() finding.List {
	c.mu.Lock()
	events, dropped := slices.Clone(c.events), c.dropped
	c.mu.Unlock()
	// Events with the same time keep the order in which they were recorded, except that facts such as
	// capacities come first. On a virtual clock, an attempt may start and end and another one may take its
	// place, all at the same time.
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(sortRank(a.Kind), sortRank(b.Kind)))
	})
	p := newReplay(&c.opts)
	p.needsIntent = slices.ContainsFunc(events, func(e Event) bool { return e.Kind == Intent })
	for i := range events {
		p.apply(&events[i])
	}
	if dropped > 0 {
		p.list.Add("run", "has %d events too many to be judged", dropped)
	}
	return p.finish()
}

// sortRank sorts facts before other events of the same time.
func sortRank(k Kind) int {
	if k == WorkerCapacity || k == TargetCapacity || k == Accepted {
		return 0
	}
	return 1
}

// replay applies the events in order and collects violations.
type replay struct {
	opts    *Options
	list    finding.List
	jobs    map[string]*jobRecord
	workers map[string]*node
	targets map[string]*node
	// running holds the attempts of each task that are running now.
	running map[string][]run
	// starts counts the attempts of each task that were started.
	starts map[string]int
	// requests counts the requests of each idempotency key.
	requests map[string]int
	// intents holds the attempts whose start was recorded before it was sent.
	intents     map[string]bool
	needsIntent bool
}

type run struct{ attempt, worker string }

type jobRecord struct {
	accepted, live bool
	repeatable     bool
	reported       job.Outcome
	started        bool
	// tasks is the number of tasks of the job, startedTasks the number of those that ever started, and
	// running the number of attempts that run now.
	tasks, startedTasks, running int
}

// node is a worker or target.
type node struct {
	capacity, used job.Resources
	slots, inUse   int
	leavingSince   time.Time
}

func newReplay(o *Options) *replay {
	return &replay{
		opts: o, jobs: make(map[string]*jobRecord), workers: make(map[string]*node),
		targets: make(map[string]*node), running: make(map[string][]run), starts: make(map[string]int),
		requests: make(map[string]int), intents: make(map[string]bool),
	}
}

func (p *replay) job(id string) *jobRecord { return getOrCreate(p.jobs, id) }

func getOrCreate[T any](m map[string]*T, name string) *T {
	v, ok := m[name]
	if !ok {
		v = new(T)
		m[name] = v
	}
	return v
}

func (p *replay) apply(e *Event) {
	switch e.Kind {
	case Accepted:
		r := p.job(e.Job)
		r.accepted, r.repeatable, r.tasks = true, e.Repeatable, e.Tasks
	case Intent:
		p.intents[e.Attempt] = true
	case Live:
		p.job(e.Job).live = true
	case Reported:
		p.onReported(e)
	case WorkerCapacity:
		getOrCreate(p.workers, e.Worker).capacity = e.Resources
	case Started:
		p.onStarted(e)
	case Ended:
		p.onEnded(e)
	case TargetCapacity:
		getOrCreate(p.targets, e.Worker).slots = e.Slots
	case RequestStarted:
		p.onRequestStarted(e)
	case RequestEnded:
		getOrCreate(p.targets, e.Worker).inUse--
	case Leaving:
		getOrCreate(p.targets, e.Worker).leavingSince = e.At
	}
}

func (p *replay) onStarted(e *Event) {
	task := p.opts.Task(e.Attempt)
	r := p.job(p.opts.Job(task))
	r.started = true
	if p.needsIntent && !p.intents[e.Attempt] {
		p.list.Add("task "+task, "started as %s without an intent", e.Attempt)
	}
	w := getOrCreate(p.workers, e.Worker)
	w.used = w.used.Plus(e.Resources)
	if !w.used.FitsIn(w.capacity) {
		p.list.Add("worker "+e.Worker, "overfilled by %s: uses %+v of %+v", e.Attempt, w.used, w.capacity)
	}
	for _, o := range p.running[task] {
		p.list.Add("task "+task, "runs in two places: %s at %s and %s at %s", o.attempt, o.worker, e.Attempt, e.Worker)
	}
	p.running[task] = append(p.running[task], run{e.Attempt, e.Worker})
	r.running++
	p.starts[task]++
	if p.starts[task] == 1 {
		r.startedTasks++
	}
	if r.accepted && !r.repeatable && p.starts[task] == 2 {
		p.list.Add("task "+task, "is not repeatable and ran again as %s", e.Attempt)
	}
}

func (p *replay) onEnded(e *Event) {
	task := p.opts.Task(e.Attempt)
	index := slices.Index(p.running[task], run{e.Attempt, e.Worker})
	if index < 0 {
		return
	}
	p.running[task] = slices.Delete(p.running[task], index, index+1)
	p.job(p.opts.Job(task)).running--
	w := getOrCreate(p.workers, e.Worker)
	w.used = w.used.Minus(e.Resources)
}

func (p *replay) onReported(e *Event) {
	r := p.job(e.Job)
	if r.reported != "" && r.reported != e.Outcome {
		p.list.Add("job "+e.Job, "was told %s and then %s", r.reported, e.Outcome)
	}
	r.reported = e.Outcome
	if e.Outcome != job.Done {
		return
	}
	switch {
	case !e.Intact:
		p.list.Add("job "+e.Job, "was told done without its whole answer")
	case r.accepted && !r.started:
		p.list.Add("job "+e.Job, "was told done and never started")
	case r.running > 0:
		p.list.Add("job "+e.Job, "was told done while it runs")
	case r.startedTasks < r.tasks:
		p.list.Add("job "+e.Job, "was told done after %d of %d tasks", r.startedTasks, r.tasks)
	}
}

func (p *replay) onRequestStarted(e *Event) {
	t := getOrCreate(p.targets, e.Worker)
	t.inUse++
	if t.inUse > t.slots {
		p.list.Add("target "+e.Worker, "works on %d requests with %d slots", t.inUse, t.slots)
	}
	if !t.leavingSince.IsZero() && !e.Session && e.At.Sub(t.leavingSince) > p.opts.LeavingGrace {
		p.list.Add("target "+e.Worker, "got %s %s after it started leaving", e.Attempt, e.At.Sub(t.leavingSince))
	}
	p.job(p.opts.Task(e.Attempt)).started = true
	if e.Key == "" {
		return
	}
	r := p.job(e.Key)
	r.started = true
	p.requests[e.Key]++
	if r.accepted && !r.repeatable && p.requests[e.Key] == 2 {
		p.list.Add("check "+e.Key, "is not repeatable and ran again as %s", e.Attempt)
	}
}

func (p *replay) finish() finding.List {
	ids := make([]string, 0, len(p.jobs))
	for id := range p.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		switch r := p.jobs[id]; {
		case r.reported == job.NotRun && r.started:
			p.list.Add("job "+id, "was told notRun and has started")
		case r.accepted && r.reported == "" && !r.live:
			p.list.Add("job "+id, "was accepted and is lost")
		}
	}
	return p.list
}
