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
	// callDeadline is the timeout of a call.
	callDeadline = 3 * time.Second
	// maxTries is the maximum number of attempts to submit a work, retryDelay the minimum delay between them.
	maxTries   = 5
	retryDelay = 400 * time.Millisecond
	// pollInterval is the interval at which the state of a work is read.
	pollInterval = 250 * time.Millisecond
)

// callers submit works and poll their states.
type callers struct {
	cell   *Cell
	caller platform.Caller
	wg     sync.WaitGroup
	mu     sync.Mutex
	calls  []*call
	// deadline is when callers stop polling works that have not ended.
	deadline time.Time
}

// call is a work as its caller sees it.
type call struct {
	work *job.Work
	// accepted and refused are set once a submission got that answer, unknown once a submission got no final answer.
	accepted, refused, unknown bool
	state                      job.WorkState
	// latency is the time from the first submission to a final state.
	latency time.Duration
}

func newCallers(c *Cell) *callers {
	// Idle connections are kept, so that calls also use connections to processes that have failed since.
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &callers{cell: c, caller: platform.Caller{Client: &http.Client{Transport: transport}, Deadline: callDeadline}}
}

// awaitFirstWork waits until the cell has completed a first work.
func (s *callers) awaitFirstWork() error {
	w := s.cell.newWork(rand.New(rand.NewPCG(0, s.cell.opts.Seed)), -1)
	s.cell.firstWork = w.ID
	for deadline := time.Now().Add(bootTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		caller := s.caller
		caller.Key = s.cell.accounts.accountOf(w.ID).keys[0].value
		if caller.Submit(s.cell.opts.Context, s.cell.vms[0].callers, w) != nil {
			continue
		}
		if state, err := caller.State(s.cell.opts.Context, s.cell.vms[0].callers, &w.Queue, w.ID); err == nil && state == job.WorkCompleted {
			return nil
		}
	}
	return fmt.Errorf("the cell did not complete a first work within %v; see %s", bootTimeout, s.cell.opts.Dir)
}

// submitAll submits works at a constant rate for the duration of the run.
func (s *callers) submitAll(r *rand.Rand) {
	s.deadline = time.Now().Add(s.cell.opts.Duration + settleTimeout)
	tick := time.NewTicker(time.Second / time.Duration(s.cell.opts.Rate))
	defer tick.Stop()
	n := 0
	for end := time.Now().Add(s.cell.opts.Duration); time.Now().Before(end); <-tick.C {
		s.submitOne(s.cell.newWork(r, n), r)
		n++
	}
}

// submitOne submits a work and follows it in the background.
func (s *callers) submitOne(w *job.Work, r *rand.Rand) {
	c := &call{work: w}
	s.mu.Lock()
	s.calls = append(s.calls, c)
	s.mu.Unlock()
	callRand := rand.New(rand.NewPCG(r.Uint64(), 0))
	s.wg.Go(func() { s.submitAndFollow(c, callRand) })
}

// submit submits a work once with a key of its account.
func (s *callers) submit(w *job.Work, r *rand.Rand) error {
	cred, caller := s.credentialFor(w, r)
	err := caller.Submit(s.cell.opts.Context, s.randomVM(r), w)
	s.check(&cred, w, err)
	return err
}

// readState reads the state of a work with a key of its account.
func (s *callers) readState(w *job.Work, r *rand.Rand) (job.WorkState, error) {
	cred, caller := s.credentialFor(w, r)
	state, err := caller.State(s.cell.opts.Context, s.randomVM(r), &w.Queue, w.ID)
	s.check(&cred, w, err)
	return state, err
}

func (s *callers) credentialFor(w *job.Work, r *rand.Rand) (credential, platform.Caller) {
	caller := s.caller
	if !s.cell.opts.Accounts {
		return credential{}, caller
	}
	cred := s.cell.accounts.keyFor(s.cell.accounts.accountOf(w.ID), r)
	caller.Key = cred.key
	return cred, caller
}

func (s *callers) check(cred *credential, w *job.Work, err error) {
	if s.cell.opts.Accounts {
		s.cell.checkAnswer(cred, w.ID, err)
	}
}

func (s *callers) randomVM(r *rand.Rand) string { return s.cell.vms[r.IntN(len(s.cell.vms))].callers }

// submitAndFollow submits a work and polls its state if it may have been accepted.
func (s *callers) submitAndFollow(c *call, r *rand.Rand) {
	start := time.Now()
	for range maxTries {
		err := s.submit(c.work, r)
		var refused *platform.RefusedError
		switch {
		case err == nil:
			c.accepted = true
		case errors.As(err, &refused), errors.Is(err, platform.ErrDenied):
			c.refused = true
		default:
			c.unknown = true
		}
		if c.accepted {
			break
		}
		time.Sleep(retryDelay + time.Duration(r.IntN(200))*time.Millisecond)
	}
	if !c.accepted && !c.unknown {
		return
	}
	for time.Now().Before(s.deadline) && s.cell.opts.Context.Err() == nil {
		state, err := s.readState(c.work, r)
		if errors.Is(err, platform.ErrNoWork) && !c.accepted {
			return
		}
		if errors.Is(err, platform.ErrNoWork) {
			s.cell.addFinding(c.work.ID + " was accepted and is reported as not found")
		}
		if err == nil {
			c.state = state
		}
		if c.state == job.WorkCompleted {
			s.checkCompleted(c)
		}
		if c.state.Final() {
			c.latency = time.Since(start)
			return
		}
		time.Sleep(pollInterval)
	}
}

// checkCompleted checks that all tasks of a work are done once its state is completed.
func (s *callers) checkCompleted(c *call) {
	done := make(map[worker.Task]bool)
	gangs := make(map[int]bool)
	for _, run := range s.cell.cluster.History() {
		if run.Task.Work == c.work.ID && run.Ending == worker.OutcomeDone {
			done[run.Task] = true
			gangs[run.Task.Step] = true
		}
	}
	for i := range c.work.Steps {
		for k := range c.work.Steps[i].Tasks {
			t := worker.Task{Work: c.work.ID, Step: i, Index: k}
			taskDone := done[t] || c.work.Steps[i].Gang && gangs[i] // a gang is done as soon as one member is
			if !taskDone {
				s.cell.addFinding(fmt.Sprint("shown as completed with a task that is not done: ", t))
			}
		}
	}
}

// attemptsExhausted reports whether a task or gang of a work has used all its attempts.
func attemptsExhausted(w *job.Work, history []floor.Run) bool {
	type attempt struct {
		task worker.Task
		run  int64
	}
	failed := make(map[attempt]bool)
	count := make(map[worker.Task]int)
	for _, r := range history {
		if r.Task.Work != w.ID || r.Ending != worker.OutcomeFailed {
			continue
		}
		t := r.Task
		if w.Steps[t.Step].Gang {
			t.Index = 0 // a failed run of a gang counts once, whichever members failed
		}
		if a := (attempt{t, r.Number}); !failed[a] {
			failed[a] = true
			count[t]++
		}
	}
	for _, n := range count {
		if n >= w.Queue.MaxAttempts {
			return true
		}
	}
	return false
}

// crashedTwice reports whether two workers have crashed under a task of a work that crashes them.
func (c *Cell) crashedTwice(id string, history []floor.Run) bool {
	crashes := 0
	for _, r := range history {
		if r.Task == (worker.Task{Work: id}) && r.Crashed {
			crashes++
		}
	}
	return c.crashesWorkers(id) && crashes >= 2
}

// awaitCalls waits until all calls have ended or the deadline has passed.
func (s *callers) awaitCalls() {
	ctx, cancel := context.WithDeadline(s.cell.opts.Context, s.deadline.Add(2*callDeadline))
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

// queueStats returns the statistics of a queue.
func (s *callers) queueStats(queue string) QueueStats {
	q := QueueStats{Name: queue}
	var latencies []time.Duration
	for _, c := range s.calls {
		if c.work.Queue.Name != queue {
			continue
		}
		q.Works++
		if c.state == job.WorkCompleted {
			q.Completed++
			latencies = append(latencies, c.latency)
		}
	}
	slices.Sort(latencies)
	if n := len(latencies); n > 0 {
		q.Median, q.Worst = latencies[n/2], latencies[n-1]
	}
	return q
}

// fillReport checks what the callers saw against the history of the workers, and fills the report.
func (s *callers) fillReport(rep *Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	started := make(map[string]bool)
	history := s.cell.cluster.History()
	for _, r := range history {
		started[r.Task.Work] = true
	}
	rep.Submitted, rep.Runs = len(s.calls), len(history)
	for _, c := range s.calls {
		switch {
		case c.accepted:
			rep.Accepted++
			failed := c.state == job.WorkFailed && (attemptsExhausted(c.work, history) || s.cell.crashedTwice(c.work.ID, history))
			valid := c.state == job.WorkCompleted || failed
			if !valid {
				s.cell.addFinding(fmt.Sprintf("%s (%s) was accepted and is shown as %q in the end", c.work.ID, c.work.Queue.Name, c.state))
			}
		case c.unknown:
			rep.Unknown++
		default:
			rep.Refused++
			if started[c.work.ID] {
				s.cell.addFinding(c.work.ID + " was refused at every try and has run")
			}
		}
	}
	for _, q := range queues() {
		rep.Queues = append(rep.Queues, s.queueStats(q.Name))
	}
	s.cell.mu.Lock()
	defer s.cell.mu.Unlock()
	rep.Findings = append(s.cell.findings, s.cell.cluster.Violations()...)
}
