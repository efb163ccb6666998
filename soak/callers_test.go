package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"turmericgap/job"
	"turmericgap/platform"
	"turmericgap/standin/floor"
	"turmericgap/worker"
)

const (
	// callDeadline is how long a caller waits for an answer, tries how often it hands a work in, tryPause
	// what is between two tries.
	callDeadline = 3 * time.Second
	tries        = 5
	tryPause     = 400 * time.Millisecond
	// pollPause is what is between two questions for a work's state.
	pollPause = 250 * time.Millisecond
)

// callers hand works in and follow them.
type callers struct {
	cell   *Cell
	caller platform.Caller
	wg     sync.WaitGroup
	mu     sync.Mutex
	calls  []*call
	// until ends the following of what does not end.
	until time.Time
}

// call is one work as its caller sees it.
type call struct {
	work *job.Work
	// accepted, refused and open say how it was answered: open means that no answer was final.
	accepted, refused, open bool
	state                   job.WorkState
	// took is the time from the first try to a final state.
	took time.Duration
}

func newCallers(c *Cell) *callers {
	// Connections are kept and used until the process behind them is gone.
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &callers{cell: c, caller: platform.Caller{Client: &http.Client{Transport: transport}, Deadline: callDeadline}}
}

// boot waits until a first work is done.
func (s *callers) boot() error {
	w := s.cell.draw(rand.New(rand.NewPCG(0, s.cell.o.Seed)), -1)
	for deadline := time.Now().Add(bootWithin); time.Now().Before(deadline); time.Sleep(pollPause) {
		if s.caller.Submit(s.cell.o.Context, s.cell.vms[0].callers, w) != nil {
			continue
		}
		if state, err := s.caller.State(s.cell.o.Context, s.cell.vms[0].callers, &w.Queue, w.ID); err == nil && state == job.WorkCompleted {
			return nil
		}
	}
	return fmt.Errorf("the cell does not serve a first work within %v; see %s", bootWithin, s.cell.o.Dir)
}

// run hands works in until the time is over.
func (s *callers) run(r *rand.Rand) {
	s.until = time.Now().Add(s.cell.o.Lasts + settleWithin)
	tick := time.NewTicker(time.Second / time.Duration(s.cell.o.Rate))
	defer tick.Stop()
	for end := time.Now().Add(s.cell.o.Lasts); time.Now().Before(end); <-tick.C {
		c := &call{work: s.cell.draw(r, len(s.calls))}
		s.mu.Lock()
		s.calls = append(s.calls, c)
		s.mu.Unlock()
		own := rand.New(rand.NewPCG(r.Uint64(), 0))
		s.wg.Go(func() { s.serve(c, own) })
	}
}

func (s *callers) any(r *rand.Rand) string { return s.cell.vms[r.IntN(len(s.cell.vms))].callers }

// serve hands one work in, and follows it if it may have been accepted.
func (s *callers) serve(c *call, r *rand.Rand) {
	begun := time.Now()
	for range tries {
		err := s.caller.Submit(s.cell.o.Context, s.any(r), c.work)
		var refused *platform.RefusedError
		switch {
		case err == nil:
			c.accepted = true
		case errors.As(err, &refused):
			c.refused = true
		default:
			c.open = true
		}
		if c.accepted {
			break
		}
		time.Sleep(tryPause + time.Duration(r.IntN(200))*time.Millisecond)
	}
	if !c.accepted && !c.open {
		return
	}
	for time.Now().Before(s.until) && s.cell.o.Context.Err() == nil {
		state, err := s.caller.State(s.cell.o.Context, s.any(r), &c.work.Queue, c.work.ID)
		if errors.Is(err, platform.ErrNoWork) && !c.accepted {
			return
		}
		if errors.Is(err, platform.ErrNoWork) {
			s.cell.find(c.work.ID + " was accepted and is said not to be known")
		}
		if err == nil {
			c.state = state
		}
		if c.state == job.WorkCompleted {
			s.complete(c)
		}
		if c.state.Final() {
			c.took = time.Since(begun)
			return
		}
		time.Sleep(pollPause)
	}
}

// complete checks that all tasks of a work that is shown as completed are done.
func (s *callers) complete(c *call) {
	done := make(map[worker.Task]bool)
	gangs := make(map[int]bool)
	for _, run := range s.cell.floor.History() {
		if run.Task.Work == c.work.ID && run.Ending == worker.EndingDone {
			done[run.Task] = true
			gangs[run.Task.Step] = true
		}
	}
	for i := range c.work.Steps {
		for k := range c.work.Steps[i].Tasks {
			t := worker.Task{Work: c.work.ID, Step: i, Index: k}
			one := done[t] || c.work.Steps[i].Gang && gangs[i] // one member's end stands for all
			if !one {
				s.cell.find(fmt.Sprint("shown as completed with a task that is not done: ", t))
			}
		}
	}
}

// usedUp reports whether a task of a work, or one of its gangs, has failed as often as it may.
func usedUp(w *job.Work, history []floor.Run) bool {
	type attempt struct {
		task worker.Task
		run  int64
	}
	failed := make(map[attempt]bool)
	count := make(map[worker.Task]int)
	for _, r := range history {
		if r.Task.Work != w.ID || r.Ending != worker.EndingFailed {
			continue
		}
		t := r.Task
		if w.Steps[t.Step].Gang {
			t.Index = 0 // a run of a gang fails once, whoever of its members did
		}
		if a := (attempt{t, r.Number}); !failed[a] {
			failed[a] = true
			count[t]++
		}
	}
	for _, n := range count {
		if n >= w.Queue.Attempts {
			return true
		}
	}
	return false
}

// settle waits for all callers.
func (s *callers) settle() {
	ctx, cancel := context.WithDeadline(s.cell.o.Context, s.until.Add(2*callDeadline))
	defer cancel()
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// served tells how the works of a queue were served.
func (s *callers) served(queue string) Queue {
	q := Queue{Name: queue}
	var took []time.Duration
	for _, c := range s.calls {
		if c.work.Queue.Name != queue {
			continue
		}
		q.Works++
		if c.state == job.WorkCompleted {
			q.Completed++
			took = append(took, c.took)
		}
	}
	slices.Sort(took)
	if n := len(took); n > 0 {
		q.Median, q.Worst = took[n/2], took[n-1]
	}
	return q
}

// judge fills the report.
func (s *callers) judge(rep *Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	begun := make(map[string]bool)
	history := s.cell.floor.History()
	for _, r := range history {
		begun[r.Task.Work] = true
	}
	rep.Handed, rep.Runs = len(s.calls), len(history)
	for _, c := range s.calls {
		switch {
		case c.accepted:
			rep.Accepted++
			rightly := c.state == job.WorkCompleted || c.state == job.WorkFailed && usedUp(c.work, history)
			if !rightly {
				s.cell.find(fmt.Sprintf("%s (%s) was accepted and is shown as %q in the end", c.work.ID, c.work.Queue.Name, c.state))
			}
		case c.open:
			rep.Open++
		default:
			rep.Refused++
			if begun[c.work.ID] {
				s.cell.find(c.work.ID + " was refused at every try and has run")
			}
		}
	}
	for i := range s.cell.queues {
		rep.Queues = append(rep.Queues, s.served(s.cell.queues[i].Name))
	}
	s.cell.mu.Lock()
	defer s.cell.mu.Unlock()
	rep.Findings = append(s.cell.found, s.cell.floor.Violations()...)
}
