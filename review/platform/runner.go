package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat   = 1500 * time.Millisecond
	holdLimit   = 10 * time.Second
	stopTakes   = 100 * time.Millisecond
	maxFinished = 500
)

// Run is one start of a task on one lifetime of a runner.
type Run struct {
	Task     string
	RunID    int64
	Runner   string
	Lifetime int
	Started  time.Time
	Ended    time.Time
	How      string
	// Noted is true once an order has shown that its end was observed.
	Noted bool
}

func (r *Run) String() string {
	end := "running"
	if !r.Ended.IsZero() {
		end = fmt.Sprintf("%s after %v", r.How, r.Ended.Sub(r.Started).Round(time.Millisecond))
	}
	return fmt.Sprintf("%s run %d on %s (life %d): %s", r.Task, r.RunID, r.Runner, r.Lifetime, end)
}

type activeRun struct {
	*Run
	lasts time.Duration
	timer *time.Timer
}

type end struct {
	n     int64
	task  string
	runID int64
	how   string
	run   *Run
}

// Fleet is the history of all runs.
type Fleet struct {
	mu   sync.Mutex
	runs []*Run
	log  func(format string, args ...any)
}

// Runs returns copies of the runs whose task begins with a prefix.
func (f *Fleet) Runs(prefix string) []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Run
	for _, r := range f.runs {
		if strings.HasPrefix(r.Task, prefix) {
			out = append(out, *r)
		}
	}
	return out
}

// Runner is a runner at one address, through all its lifetimes.
type Runner struct {
	fleet   *Fleet
	store   *Store
	address string
	service string
	zone    string
	rack    string
	kind    string
	cpu     int64
	// born tells whether lifetimes are told apart by when they began, under the same ID.
	born   bool
	server *http.Server
	// holdBack tells how long an order to start is held back by the network; its answer is lost then.
	holdBack func(task string) time.Duration

	mu        sync.Mutex
	id        string
	bornAt    int64
	life      int
	up        bool
	startedAt time.Time
	fence     int64
	active    map[string]*activeRun
	highest   map[string]int64
	ends      []end
	lastEnd   int64
	leaseEnd  time.Duration
	sequence  int64
	changed   chan struct{}
	beat      *time.Timer
}

// Serve starts the first lifetime.
func (r *Runner) Serve() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.address = l.Addr().String()
	r.Begin()
	r.serve(l)
	return nil
}

func (r *Runner) serve(l net.Listener) {
	r.server = &http.Server{Handler: http.HandlerFunc(r.handle)}
	go func() { _ = r.server.Serve(l) }()
}

// Begin begins a lifetime, which knows nothing of the ones before.
func (r *Runner) Begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.life++
	if r.id == "" || !r.born {
		r.id = fmt.Sprintf("i-%08x", rand.Uint32())
	}
	r.bornAt = time.Now().UnixMilli()
	r.up, r.startedAt, r.fence = true, time.Now(), 0
	r.active, r.highest = map[string]*activeRun{}, map[string]int64{}
	r.ends, r.lastEnd, r.leaseEnd, r.sequence = nil, 0, 0, 0
	r.changed = make(chan struct{})
	r.writeEntry()
	r.scheduleBeat(r.life)
}

// Crash ends the lifetime: its port refuses connections, and it sends nothing more. The store removes the entry after
// three intervals of silence, or when the next lifetime begins under the same ID.
func (r *Runner) Crash() {
	r.mu.Lock()
	r.up = false
	for _, a := range r.active {
		a.timer.Stop()
		r.fleet.end(a.Run, "crashed")
	}
	r.active = map[string]*activeRun{}
	close(r.changed)
	r.changed = make(chan struct{})
	id, life := r.id, r.life
	r.mu.Unlock()
	_ = r.server.Close()
	time.AfterFunc(3*heartbeat, func() {
		r.mu.Lock()
		gone := r.life == life || !r.born
		r.mu.Unlock()
		if gone {
			r.store.Delete("servers/" + id)
		}
	})
}

// Return begins the next lifetime at the same address.
func (r *Runner) Return() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.Begin()
	r.serve(l)
	return nil
}

// ID returns the ID of the present lifetime.
func (r *Runner) ID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}

func (r *Runner) scheduleBeat(life int) {
	r.beat = time.AfterFunc(heartbeat, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.up && r.life == life {
			r.writeEntry()
			r.scheduleBeat(life)
		}
	})
}

// writeEntry writes the runner's report about itself. The caller holds mu.
func (r *Runner) writeEntry() {
	r.sequence++
	e := map[string]any{
		"Service": r.service, "Address": r.address, "Zone": r.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
		"Capacity": map[string]int64{"Cpu": r.cpu, "MemMb": 65536, "Gpu": 0}, "Labels": []string{r.kind, r.rack},
		"ClockMs": r.clock().Milliseconds(), "Sequence": r.sequence,
	}
	if r.born {
		e["born"] = r.bornAt
	}
	raw, _ := json.Marshal(e)
	go r.store.Put("servers/"+r.id, raw)
}

func (r *Runner) clock() time.Duration { return time.Since(r.startedAt) }

type order struct {
	Task         string
	RunId        int64
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	Observed     int64
	WaitMs       int64
}

func (r *Runner) handle(w http.ResponseWriter, req *http.Request) {
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	expect := req.Header.Get("Turmericgap-Expect-Instance")
	r.mu.Lock()
	other := expect != "" && expect != r.id
	r.mu.Unlock()
	if other {
		reply(w, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	switch req.URL.Path {
	case "/turmericgap/run-start":
		if r.holdBack != nil {
			if late := r.holdBack(o.Task); late > 0 {
				r.fleet.log("start of %s run %d on %s gets no answer and is carried out %v later", o.Task, o.RunId, r.id, late)
				time.AfterFunc(late, func() { r.startLate(expect, &o) })
				<-req.Context().Done()
				return
			}
		}
		status, reason := r.start(&o)
		r.replyOrder(w, status, reason)
	case "/turmericgap/run-stop":
		status, reason := r.stop(&o)
		r.replyOrder(w, status, reason)
	case "/turmericgap/hold":
		r.hold(w, req, &o)
	default:
		reply(w, http.StatusNotFound, struct{}{})
	}
}

// startLate carries out an order that the network has held back, if the runner is up and the order names its ID.
func (r *Runner) startLate(expect string, o *order) {
	r.mu.Lock()
	meant := r.up && (expect == "" || expect == r.id)
	r.mu.Unlock()
	if !meant {
		r.fleet.log("late start of %s run %d on %s: no such lifetime", o.Task, o.RunId, expect)
		return
	}
	status, reason := r.start(o)
	r.fleet.log("late start of %s run %d on %s: %d %s", o.Task, o.RunId, expect, status, reason)
}

func (r *Runner) replyOrder(w http.ResponseWriter, status int, reason string) {
	r.mu.Lock()
	body := map[string]any{"ClockMs": r.clock().Milliseconds()}
	r.mu.Unlock()
	if reason != "" {
		body["Reason"] = reason
	}
	reply(w, status, body)
}

func (r *Runner) extend(deadlineMs int64) {
	until := min(time.Duration(deadlineMs)*time.Millisecond, r.clock()+holdLimit)
	r.leaseEnd = max(r.leaseEnd, until)
	life := r.life
	time.AfterFunc(until-r.clock()+time.Millisecond, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.life != life || !r.up || r.clock() < r.leaseEnd {
			return
		}
		for _, a := range r.active {
			r.finish(a, "lapsed")
		}
	})
}

func (r *Runner) fenced(token int64) bool {
	if token < r.fence {
		return true
	}
	r.fence = token
	return false
}

func (r *Runner) start(o *order) (status int, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.fenced(o.FencingToken):
		return http.StatusConflict, "fence"
	case r.active[runKey(o.Task, o.RunId)] != nil:
		return http.StatusOK, ""
	case o.RunId <= r.highest[o.Task]:
		r.extend(o.DeadlineMs)
		return http.StatusConflict, "old"
	case time.Duration(o.DeadlineMs)*time.Millisecond < r.clock():
		return http.StatusConflict, "late"
	}
	r.extend(o.DeadlineMs)
	r.highest[o.Task] = o.RunId
	run := &Run{Task: o.Task, RunID: o.RunId, Runner: r.id, Lifetime: r.life, Started: time.Now()}
	a := &activeRun{Run: run}
	a.lasts, _ = time.ParseDuration(o.Spec)
	life := r.life
	if a.lasts == 0 { // it lasts until it is stopped
		a.lasts = time.Hour
	}
	a.timer = time.AfterFunc(a.lasts, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.life == life && r.active[runKey(run.Task, run.RunID)] == a {
			r.finish(a, "done")
		}
	})
	r.active[runKey(o.Task, o.RunId)] = a
	r.fleet.add(run)
	return http.StatusOK, ""
}

func (r *Runner) stop(o *order) (status int, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fenced(o.FencingToken) {
		return http.StatusConflict, "fence"
	}
	r.highest[o.Task] = max(r.highest[o.Task], o.RunId)
	if a := r.active[runKey(o.Task, o.RunId)]; a != nil {
		life := r.life
		time.AfterFunc(stopTakes, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.life == life && r.active[runKey(o.Task, o.RunId)] == a {
				r.finish(a, "stopped")
			}
		})
	}
	return http.StatusOK, ""
}

func runKey(task string, run int64) string { return task + "/" + strconv.FormatInt(run, 10) }

// finish lists the end of a run. The caller holds mu.
func (r *Runner) finish(a *activeRun, how string) {
	a.timer.Stop()
	delete(r.active, runKey(a.Task, a.RunID))
	r.lastEnd++
	r.ends = append(r.ends, end{r.lastEnd, a.Task, a.RunID, how, a.Run})
	r.fleet.end(a.Run, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Runner) hold(w http.ResponseWriter, req *http.Request, o *order) {
	r.mu.Lock()
	life := r.life
	if r.fenced(o.FencingToken) {
		r.mu.Unlock()
		r.replyOrder(w, http.StatusConflict, "fence")
		return
	}
	r.ends = slices.DeleteFunc(r.ends, func(e end) bool {
		if e.n > o.Observed {
			return false
		}
		r.fleet.note(e.run)
		return true
	})
	if o.DeadlineMs > 0 {
		r.extend(o.DeadlineMs)
	}
	changed, waits := r.changed, len(r.ends) == 0
	r.mu.Unlock()
	if waits && o.WaitMs > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-req.Context().Done():
			return
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life != life || !r.up {
		panic(http.ErrAbortHandler)
	}
	active, finished := [][]any{}, [][]any{}
	for _, a := range r.active {
		percent := 100
		if a.lasts < time.Hour {
			percent = min(int(100*time.Since(a.Started)/a.lasts), 99)
		}
		active = append(active, []any{a.Task, a.RunID, "", percent, 0})
	}
	for _, e := range r.ends[:min(len(r.ends), maxFinished)] {
		finished = append(finished, []any{e.n, e.task, e.runID, e.how, ""})
	}
	body := map[string]any{"ClockMs": r.clock().Milliseconds(), "Active": active, "Finished": finished}
	if r.born {
		body["born"] = r.bornAt
	}
	reply(w, http.StatusOK, body)
}

func (f *Fleet) add(r *Run) {
	f.mu.Lock()
	f.runs = append(f.runs, r)
	f.mu.Unlock()
	f.log("start of %s run %d on %s (life %d)", r.Task, r.RunID, r.Runner, r.Lifetime)
}

func (f *Fleet) end(r *Run, how string) {
	f.mu.Lock()
	r.Ended, r.How = time.Now(), how
	f.mu.Unlock()
	f.log("end of %s run %d on %s (life %d): %s", r.Task, r.RunID, r.Runner, r.Lifetime, how)
}

func (f *Fleet) note(r *Run) {
	f.mu.Lock()
	r.Noted = true
	f.mu.Unlock()
	f.log("end of %s run %d on %s was taken note of", r.Task, r.RunID, r.Runner)
}
