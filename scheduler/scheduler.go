package scheduler

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"turmericgap/job"
	"turmericgap/rpc"
)

// Scheduler serves one availability zone whenever this process owns it.
type Scheduler struct {
	o      *Options
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu   sync.Mutex
	term *term
}

// New returns a Scheduler that starts a term as soon as it owns its zone.
func New(opts ...Option) *Scheduler {
	o := defaults()
	for _, f := range opts {
		f(o)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Scheduler{o: o, cancel: cancel}
	s.wg.Go(func() { s.follow(ctx) })
	return s
}

// follow opens and ends terms as ownership comes and goes.
func (s *Scheduler) follow(ctx context.Context) {
	check := time.NewTicker(ownershipCheck)
	defer check.Stop()
	for {
		s.sync(ctx)
		select {
		case <-ctx.Done():
			return
		case <-check.C:
		}
	}
}

const ownershipCheck = 100 * time.Millisecond

func (s *Scheduler) sync(ctx context.Context) {
	epoch, revision, ok := s.o.Owns()
	s.mu.Lock()
	t := s.term
	s.mu.Unlock()
	if t != nil && (t.ended() || (ok && t.epoch != epoch)) {
		t.close(ctx, false)
		s.setTerm(nil)
		t = nil
	}
	// A term whose ownership is in doubt stays: it sends nothing, and may be confirmed again.
	if t != nil || !ok {
		return
	}
	t, err := openTerm(ctx, s.o, epoch, revision)
	if err != nil {
		s.o.Logger.Warn("scheduler: cannot recover the zone yet", zap.Error(err))
		return
	}
	s.setTerm(t)
}

func (s *Scheduler) setTerm(t *term) {
	s.mu.Lock()
	s.term = t
	s.mu.Unlock()
}

func (t *term) ended() bool {
	select {
	case <-t.closing:
		return true
	default:
		return false
	}
}

// Ready reports whether this scheduler serves its zone just now.
func (s *Scheduler) Ready() bool {
	t := s.current()
	return t != nil && t.valid()
}

func (s *Scheduler) current() *term {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term == nil || s.term.ended() {
		return nil
	}
	return s.term
}

// Stop ends the term in order, so that a successor need not wait; hand over ownership after it.
func (s *Scheduler) Stop(ctx context.Context) { s.end(ctx, true) }

// Kill ends everything at once, as the death of the process would.
func (s *Scheduler) Kill() { s.end(closedContext(), false) }

// end first ends the duty that opens terms, so that none comes after the last.
func (s *Scheduler) end(ctx context.Context, orderly bool) {
	s.cancel()
	s.wg.Wait()
	s.mu.Lock()
	t := s.term
	s.mu.Unlock()
	if t != nil {
		t.close(ctx, orderly)
	}
}

func (s *Scheduler) owner() (*term, error) {
	t := s.current()
	if t == nil {
		return nil, &rpc.Fault{Code: rpc.CodeNotOwner, Reason: "this scheduler does not own zone " + s.o.Zone, RetryAfter: s.o.RetryAfter}
	}
	return t, nil
}

// Submit accepts a job whose home is this zone; it is durable before Submit returns its status.
func (s *Scheduler) Submit(ctx context.Context, spec *job.Submission, parent string) (*job.Status, error) {
	if l := spec.Check(); len(l) > 0 {
		return nil, &rpc.Fault{Code: rpc.CodeInvalid, Reason: l.Error(), Findings: l}
	}
	t, err := s.owner()
	if err != nil {
		return nil, err
	}
	return t.submit(ctx, spec, parent)
}

// Status tells where a job stands.
func (s *Scheduler) Status(ctx context.Context, id string) (*job.Status, error) {
	t, err := s.owner()
	if err != nil {
		return nil, err
	}
	return t.status(ctx, id)
}

// Cancel ends a job; what has not started is then surely not run.
func (s *Scheduler) Cancel(ctx context.Context, id, reason string) (*job.Status, error) {
	t, err := s.owner()
	if err != nil {
		return nil, err
	}
	type result struct {
		fault *rpc.Fault
		done  chan struct{}
	}
	r, err := ask(ctx, t, func() result {
		fault, done := t.cancelJob(id, reason, time.Now())
		return result{fault, done}
	})
	if err != nil {
		return nil, underWay(err)
	}
	if r.fault != nil {
		return nil, r.fault
	}
	select {
	case <-r.done:
		return t.status(ctx, id)
	case <-t.closing:
		return nil, underWay(errTermClosed)
	case <-ctx.Done():
		return nil, underWay(ctx.Err())
	}
}

// Wait gives the status once it is final, or the latest one when ctx ends.
func (s *Scheduler) Wait(ctx context.Context, id string) (*job.Status, error) {
	t, err := s.owner()
	if err != nil {
		return nil, err
	}
	return t.wait(ctx, id)
}

// List gives the status of up to most jobs, live ones first, without their answers.
func (s *Scheduler) List(ctx context.Context, most int) ([]job.Status, error) {
	t, err := s.owner()
	if err != nil {
		return nil, err
	}
	return ask(ctx, t, func() []job.Status { return t.list(most) })
}

func underWay(err error) *rpc.Fault {
	return &rpc.Fault{Code: rpc.CodeUnknown, Reason: err.Error() + "; ask for the job's status"}
}
