package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the interval at which a runner writes its entry.
	heartbeat = 1500 * time.Millisecond
	// maxHold is the longest lease that a runner grants.
	maxHold = 10 * time.Second
	// stopTakes is how long a runner takes to stop a task.
	stopTakes = 50 * time.Millisecond
	// startup is how long a task that lasts takes to be at work.
	startup = 300 * time.Millisecond
	// failsAfter is how long a task takes to fail on a runner that fails all that it starts.
	failsAfter = 100 * time.Millisecond
	// entryLifetime is how long the entry of a silent runner stays in the store.
	entryLifetime = 3 * heartbeat
	maxListed     = 500
)

// program is what the spec of a submission tells the stand-in: how long the tasks of each step take. Zero stands for a
// task that lasts until it is stopped.
type program struct{ Ms []int }

// activeRun is a task at work.
type activeRun struct {
	task    string
	number  int64
	began   time.Time
	takes   time.Duration
	stopped bool
}

// endedRun is the end of a task that the system has not taken note of.
type endedRun struct {
	n      int64
	task   string
	number int64
	how    string
}

// life is one lifetime of a runner.
type life struct {
	id       string
	began    time.Time
	fence    int64
	deadline time.Duration
	active   map[string]*activeRun
	// forbidden holds the highest run of each task that was stopped or has ended.
	forbidden map[string]int64
	ended     []endedRun
	count     int64
	sequence  int64
	changed   chan struct{}
	gone      bool
}

// runner is a machine with one runner after the other.
type runner struct {
	cell    *cell
	address string
	zone    string
	labels  []string
	cpu     int64
	mem     int64
	mu      sync.Mutex
	life    *life
	server  *http.Server
	// grey is true while all tasks that begin or are at work fail.
	grey  bool
	lives int
}

func (r *runner) name() string { return r.labels[0] + "@" + r.address }

// runs reports whether a task of a submission is at work on the runner.
func (r *runner) runs(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task := range r.life.active {
		if strings.HasPrefix(task, id+".") {
			return true
		}
	}
	return false
}

// setGrey makes the runner fail all that it starts, or ends that.
func (r *runner) setGrey(on bool) {
	r.mu.Lock()
	r.grey = on
	r.mu.Unlock()
	r.cell.log.printf("runner %s fails all that it starts: %v", r.name(), on)
}

// start begins a lifetime.
func (r *runner) start() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.lives++
	id := "i-" + strings.NewReplacer(".", "", ":", "-").Replace(r.address)
	if !r.cell.keepsIDs {
		id += fmt.Sprintf("-%d", r.lives)
	}
	r.life = &life{
		id: id, began: time.Now(),
		active: make(map[string]*activeRun), forbidden: make(map[string]int64), changed: make(chan struct{}),
	}
	me, server := r.life, &http.Server{Handler: r.handler()}
	r.server = server
	r.mu.Unlock()
	r.cell.log.printf("runner %s starts as %s", r.name(), me.id)
	go func() { _ = server.Serve(l) }()
	go r.beat(me)
	go r.work(me)
	return nil
}

// crash ends a lifetime without notice. Its entry stays until it has lapsed.
func (r *runner) crash() {
	r.mu.Lock()
	me, server := r.life, r.server
	me.gone = true
	var lost []string
	for _, a := range me.active {
		lost = append(lost, fmt.Sprintf("%s run %d", a.task, a.number))
		r.cell.judge.ended(a.task, a.number, "lost with its runner")
	}
	r.mu.Unlock()
	r.cell.log.printf("runner %s crashes, lost: %s", me.id, strings.Join(lost, ", "))
	server.Close()
	time.AfterFunc(entryLifetime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.life == me || r.life.id != me.id {
			r.cell.store.remove("servers/" + me.id)
		}
	})
}

// beat writes the runner's entry.
func (r *runner) beat(me *life) {
	for {
		r.mu.Lock()
		if me.gone {
			r.mu.Unlock()
			return
		}
		me.sequence++
		raw, err := json.Marshal(me.says(map[string]any{
			"Service": service, "Address": r.address, "Zone": r.zone, "Version": "v1", "Slots": 8, "State": "ready",
			"ColdLeftMs": 0, "Capacity": map[string]int64{"Cpu": r.cpu, "MemMb": r.mem, "Gpu": 0}, "Labels": r.labels,
			"Sequence": me.sequence,
		}))
		r.mu.Unlock()
		if err == nil {
			r.cell.store.put("servers/"+me.id, raw)
		}
		time.Sleep(heartbeat)
	}
}

// work ends the tasks of a lifetime when they are due, and all of them when the lease has expired.
func (r *runner) work(me *life) {
	for {
		time.Sleep(10 * time.Millisecond)
		r.mu.Lock()
		if me.gone {
			r.mu.Unlock()
			return
		}
		lapsed := time.Since(me.began) > me.deadline
		for _, a := range me.active {
			age := time.Since(a.began)
			switch {
			case lapsed:
				r.end(me, a, "lapsed")
			case r.grey && age > failsAfter:
				r.end(me, a, "failed")
			case a.takes > 0 && age > a.takes:
				r.end(me, a, "done")
			}
		}
		r.mu.Unlock()
	}
}

// end ends a task. The caller holds mu.
func (r *runner) end(me *life, a *activeRun, how string) {
	if me.active[a.task] != a {
		return
	}
	delete(me.active, a.task)
	me.forbidden[a.task] = max(me.forbidden[a.task], a.number)
	me.count++
	me.ended = append(me.ended, endedRun{me.count, a.task, a.number, how})
	close(me.changed)
	me.changed = make(chan struct{})
	r.cell.judge.ended(a.task, a.number, how)
	r.cell.log.printf("run %d of %s ends %s on %s", a.number, a.task, how, me.id)
}

// order is the body of all orders to a runner.
type order struct {
	Task         string
	RunId        int64
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	Observed     int64
	WaitMs       int64
}

func (r *runner) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	for path, serve := range map[string]func(http.ResponseWriter, *http.Request, *life, *order){
		"run-start": r.serveStart, "run-stop": r.serveStop, "hold": r.serveHold, "pace": r.servePace,
	} {
		mux.HandleFunc("POST /turmericgap/"+path, func(w http.ResponseWriter, req *http.Request) {
			var o order
			if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
				reply(w, http.StatusBadRequest, nil)
				return
			}
			r.mu.Lock()
			me := r.life
			r.mu.Unlock()
			if want := req.Header.Get("Turmericgap-Expect-Instance"); want != "" && want != me.id {
				reply(w, http.StatusMisdirectedRequest, nil)
				return
			}
			serve(w, req, me, &o)
		})
	}
	return mux
}

func (me *life) clock() int64 { return time.Since(me.began).Milliseconds() }

// says adds to what a runner says of itself its clock, and when it started.
func (me *life) says(body map[string]any) map[string]any {
	body["ClockMs"], body["born"] = me.clock(), me.began.UnixMilli()
	return body
}

func (me *life) refuse(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, me.says(map[string]any{"Reason": reason}))
}

// admit takes the fence and the lease of an order, and reports whether the fence is high enough. The caller holds mu.
func (r *runner) admit(me *life, o *order) bool {
	if o.FencingToken < me.fence {
		return false
	}
	me.fence = o.FencingToken
	r.cell.judge.sawFence(o.FencingToken)
	if until := time.Duration(o.DeadlineMs) * time.Millisecond; until > 0 {
		me.deadline = max(me.deadline, min(until, time.Since(me.began)+maxHold))
	}
	return true
}

func (r *runner) serveStart(w http.ResponseWriter, _ *http.Request, me *life, o *order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	late := o.DeadlineMs < me.clock()
	if !r.admit(me, o) {
		me.refuse(w, "fence")
		return
	}
	a := me.active[o.Task]
	switch {
	case a != nil && a.number == o.RunId:
	case late:
		me.refuse(w, "late")
		return
	case a != nil || o.RunId <= me.forbidden[o.Task]:
		me.refuse(w, "old")
		return
	default:
		var p program
		step, err := strconv.Atoi(strings.Split(o.Task, ".")[2])
		if err != nil || json.Unmarshal([]byte(o.Spec), &p) != nil || step >= len(p.Ms) {
			reply(w, http.StatusBadRequest, nil)
			return
		}
		me.active[o.Task] = &activeRun{task: o.Task, number: o.RunId, began: time.Now(), takes: time.Duration(p.Ms[step]) * time.Millisecond}
		r.cell.judge.started(o.Task, o.RunId, me.id, r)
		r.cell.log.printf("run %d of %s starts on %s, fence %d", o.RunId, o.Task, me.id, o.FencingToken)
	}
	reply(w, http.StatusOK, me.says(map[string]any{}))
}

func (r *runner) serveStop(w http.ResponseWriter, _ *http.Request, me *life, o *order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.admit(me, o) {
		me.refuse(w, "fence")
		return
	}
	if a := me.active[o.Task]; a != nil && a.number <= o.RunId {
		if !a.stopped {
			a.stopped = true
			time.AfterFunc(stopTakes, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				if !me.gone {
					r.end(me, a, "stopped")
				}
			})
		}
	} else if a == nil {
		me.forbidden[o.Task] = max(me.forbidden[o.Task], o.RunId)
	}
	reply(w, http.StatusOK, me.says(map[string]any{}))
}

func (r *runner) servePace(w http.ResponseWriter, _ *http.Request, me *life, o *order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.admit(me, o) {
		me.refuse(w, "fence")
		return
	}
	reply(w, http.StatusOK, me.says(map[string]any{}))
}

func (r *runner) serveHold(w http.ResponseWriter, req *http.Request, me *life, o *order) {
	r.mu.Lock()
	if !r.admit(me, o) {
		r.mu.Unlock()
		me.refuse(w, "fence")
		return
	}
	me.ended = slices.DeleteFunc(me.ended, func(e endedRun) bool { return e.n <= o.Observed })
	changed, waits := me.changed, len(me.ended) == 0 && o.WaitMs > 0
	r.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-req.Context().Done():
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	active, finished := [][]any{}, [][]any{}
	for _, a := range me.active {
		active = append(active, []any{a.task, a.number, "", a.percent(), 0})
	}
	for _, e := range me.ended[:min(len(me.ended), maxListed)] {
		finished = append(finished, []any{e.n, e.task, e.number, e.how, ""})
	}
	reply(w, http.StatusOK, me.says(map[string]any{"Active": active, "Finished": finished}))
}

// percent returns the progress of a task; a task that lasts is at work at 100.
func (a *activeRun) percent() int {
	age := time.Since(a.began)
	if a.takes == 0 {
		if age > startup {
			return 100
		}
		return 0
	}
	return int(min(99, 100*age/a.takes))
}
