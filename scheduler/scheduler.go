package scheduler

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"turmericgap/job"
	"turmericgap/rpc"
)

// Scheduler schedules the jobs of one availability zone while this process owns it.
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
	s.wg.Go(func() { s.followOwnership(ctx) })
	return s
}

// followOwnership opens and closes terms as ownership of the zone changes.
func (s *Scheduler) followOwnership(ctx context.Context) {
	check := time.NewTicker(ownershipCheckInterval)
	defer check.Stop()
	for {
		s.syncTerm(ctx)
		select {
		case <-ctx.Done():
			return
		case <-check.C:
		}
	}
}

const ownershipCheckInterval = 100 * time.Millisecond

func (s *Scheduler) syncTerm(ctx context.Context) {
	epoch, revision, ok := s.o.Owns()
	s.mu.Lock()
	t := s.term
	s.mu.Unlock()
	if t != nil && (t.ended() || (ok && t.epoch != epoch)) {
		t.close(ctx, false)
		s.setTerm(nil)
		t = nil
	}
	// A term whose ownership is not confirmed is kept: it sends nothing, and ownership may be confirmed again.
	if t != nil || !ok {
		return
	}
	t, err := openTerm(ctx, s.o, epoch, revision)
	if err != nil {
		s.o.Logger.Warn("scheduler: recovery of the zone failed; retrying", zap.Error(err))
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

// Ready reports whether this scheduler currently serves its zone.
func (s *Scheduler) Ready() bool {
	t := s.currentTerm()
	return t != nil && t.ownsZone()
}

func (s *Scheduler) currentTerm() *term {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term == nil || s.term.ended() {
		return nil
	}
	return s.term
}

// Stop closes the term gracefully, so that the next owner need not wait. Ownership may be handed over only after Stop
// has returned.
func (s *Scheduler) Stop(ctx context.Context) { s.shutdown(ctx, true) }

// Kill stops everything at once, like a crash of the process.
func (s *Scheduler) Kill() { s.shutdown(canceledContext(), false) }

// shutdown first stops the goroutine that opens terms, so that no term is opened after the last one is closed.
func (s *Scheduler) shutdown(ctx context.Context, graceful bool) {
	s.cancel()
	s.wg.Wait()
	s.mu.Lock()
	t := s.term
	s.mu.Unlock()
	if t != nil {
		t.close(ctx, graceful)
	}
}

func (s *Scheduler) ownedTerm() (*term, error) {
	t := s.currentTerm()
	if t == nil {
		return nil, &rpc.Fault{Code: rpc.CodeNotOwner, Reason: "this scheduler does not own zone " + s.o.Zone, RetryAfter: s.o.RetryAfter}
	}
	return t, nil
}

// Submit accepts a job whose home is this zone. The job's record is durable before Submit returns its status.
func (s *Scheduler) Submit(ctx context.Context, spec *job.Submission, parent string) (*job.Status, error) {
	if l := spec.Check(); len(l) > 0 {
		return nil, &rpc.Fault{Code: rpc.CodeInvalid, Reason: l.Error(), Findings: l}
	}
	t, err := s.ownedTerm()
	if err != nil {
		return nil, err
	}
	return t.submit(ctx, spec, parent)
}

// Status returns the current status of a job.
func (s *Scheduler) Status(ctx context.Context, id string) (*job.Status, error) {
	t, err := s.ownedTerm()
	if err != nil {
		return nil, err
	}
	return t.status(ctx, id)
}

// Cancel cancels a job. Tasks that have not started will certainly not run.
func (s *Scheduler) Cancel(ctx context.Context, id, reason string) (*job.Status, error) {
	t, err := s.ownedTerm()
	if err != nil {
		return nil, err
	}
	type result struct {
		fault *rpc.Fault
		done  chan struct{}
	}
	r, err := callLoop(ctx, t, func() result {
		fault, done := t.cancelJob(id, reason, time.Now())
		return result{fault, done}
	})
	if err != nil {
		return nil, unknownFault(err)
	}
	if r.fault != nil {
		return nil, r.fault
	}
	select {
	case <-r.done:
		return t.status(ctx, id)
	case <-t.closing:
		return nil, unknownFault(errTermClosed)
	case <-ctx.Done():
		return nil, unknownFault(ctx.Err())
	}
}

// Wait returns the status once it is final, or the latest one shortly before the deadline of ctx.
func (s *Scheduler) Wait(ctx context.Context, id string) (*job.Status, error) {
	t, err := s.ownedTerm()
	if err != nil {
		return nil, err
	}
	return t.wait(ctx, id)
}

// List returns the status of up to limit jobs, live ones first, without their answers.
func (s *Scheduler) List(ctx context.Context, limit int) ([]job.Status, error) {
	t, err := s.ownedTerm()
	if err != nil {
		return nil, err
	}
	return callLoop(ctx, t, func() []job.Status { return t.list(limit) })
}

func unknownFault(err error) *rpc.Fault {
	return &rpc.Fault{Code: rpc.CodeUnknown, Reason: err.Error() + "; ask for the job's status"}
}
