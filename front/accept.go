package front

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"turmericgap/dispatch"
	"turmericgap/job"
	"turmericgap/rpc"
	"turmericgap/store"
	"turmericgap/store/retry"
)

// submission waits for its transaction.
type submission struct {
	work *job.Work
	// begun is when it was handed in.
	begun time.Time
	// open says that a transaction with it had no answer, so that it may be accepted already.
	open bool
	done chan result
}

// result tells whether the work is durable, and whether this VM created it just now.
type result struct {
	created bool
	err     error
}

// acceptor makes submissions durable, several in one transaction.
type acceptor struct {
	o     *Options
	ctx   context.Context
	queue chan *submission
	slots chan struct{}
	wg    sync.WaitGroup
}

func newAcceptor(ctx context.Context, o *Options) *acceptor {
	a := &acceptor{o: o, ctx: ctx, queue: make(chan *submission, acceptRing), slots: make(chan struct{}, acceptsAtOnce)}
	a.wg.Go(a.run)
	return a
}

// submit hands a work in and waits for its outcome.
func (a *acceptor) submit(ctx context.Context, s *submission) (created bool, err error) {
	if !s.open {
		if err := a.silent(); err != nil {
			return false, err
		}
	}
	s.done = make(chan result, 1)
	select {
	case a.queue <- s:
	default:
		if s.open {
			return false, openOutcome(errBusy)
		}
		return false, rpc.Refused(retryBusy, "%v", errBusy)
	}
	select {
	case r := <-s.done:
		return r.created, r.err
	case <-ctx.Done():
		return false, openOutcome(ctx.Err())
	}
}

// silent refuses work while the store is known not to answer: it would be held in vain until its caller
// has given up, and could then not even be told that it never runs.
func (a *acceptor) silent() error {
	since, silent := a.o.StoreSilent()
	if !silent {
		return nil
	}
	return rpc.Refused(retryStore, "the store has not answered for %v", time.Since(since).Round(time.Millisecond))
}

// probe asks the store for something that changes nothing, if it has not answered lately. A submission that
// is sent into an outage nobody has noticed yet would have an open outcome.
func (a *acceptor) probe(w *job.Work) error {
	if time.Since(a.o.StoreLastAnswer()) < probeAfter {
		return nil
	}
	ctx, cancel := context.WithTimeout(a.ctx, probeWithin)
	defer cancel()
	return dispatch.Probe(ctx, a.o.Store, w.ID)
}

var errBusy = errors.New("too many submissions wait")

func openOutcome(cause error) error {
	return &rpc.Fault{Code: rpc.CodeUnknown, Reason: "the submission may have been accepted: " + cause.Error()}
}

// run sends transactions as submissions come, at most acceptsAtOnce at a time.
func (a *acceptor) run() {
	for {
		select {
		case <-a.ctx.Done():
			return
		case a.slots <- struct{}{}:
		}
		batch := a.collect()
		if batch == nil {
			return
		}
		a.wg.Go(func() {
			defer func() { <-a.slots }()
			a.create(batch)
		})
	}
}

// collect waits for a submission and takes what else is there.
func (a *acceptor) collect() []*submission {
	var batch []*submission
	select {
	case <-a.ctx.Done():
		return nil
	case s := <-a.queue:
		batch = append(batch, s)
	}
	for len(batch) < acceptsEach {
		select {
		case s := <-a.queue:
			batch = append(batch, s)
		default:
			return batch
		}
	}
	return batch
}

// create repeats a transaction until each of its submissions has an outcome.
func (a *acceptor) create(batch []*submission) {
	b := retry.New()
	declined := 0
	if err := a.probe(batch[0].work); err != nil {
		batch = a.refuse(batch, err)
	}
	for len(batch) > 0 {
		found, err := a.try(batch)
		switch {
		case err == nil && found == nil:
			finish(batch, result{created: true})
			return
		case err == nil:
			batch = a.settle(batch, found)
			continue
		case errors.Is(err, store.ErrNotSent):
			declined++
			if batch = a.giveUp(batch, declined, err); len(batch) > 0 {
				retry.Sleep(a.ctx, refusedAgain)
			}
			continue
		}
		a.o.Logger.Info("front: acceptance without an answer", zap.Int("submissions", len(batch)), zap.String("id", batch[0].work.ID), zap.Error(err))
		for _, s := range batch {
			s.open = true
		}
		if batch = a.expire(batch, err); len(batch) > 0 {
			retry.Sleep(a.ctx, b.Next())
		}
	}
}

// refuse turns away the submissions of which nothing was sent, and gives the others.
func (a *acceptor) refuse(batch []*submission, cause error) []*submission {
	var left []*submission
	for _, s := range batch {
		if s.open {
			left = append(left, s)
			continue
		}
		s.done <- result{err: rpc.Refused(retryStore, "the store does not answer: %v", cause)}
	}
	return left
}

// try sends one transaction. Keys that exist already are found; none found means that all were created.
func (a *acceptor) try(batch []*submission) (found map[string]bool, err error) {
	ctx, cancel := context.WithTimeout(a.ctx, storeWithin)
	defer cancel()
	var txn store.Txn
	seen := make(map[string]bool, len(batch))
	for _, s := range batch {
		if !seen[s.work.ID] {
			seen[s.work.ID] = true
			dispatch.AddCreate(&txn, s.work)
		}
	}
	started := time.Now()
	res, err := a.o.Store.Txn(ctx, txn)
	if err != nil {
		return nil, err
	}
	a.o.Metrics.Histogram("front.acceptMillis").Update(time.Since(started).Milliseconds())
	if res.Succeeded {
		return nil, nil
	}
	return dispatch.ExistingIDs(res.Existing), nil
}

// settle answers the submissions whose work exists: a repeat of an ID, or an earlier try that went
// through. It gives those that are left.
func (a *acceptor) settle(batch []*submission, found map[string]bool) []*submission {
	var left []*submission
	for _, s := range batch {
		if found[s.work.ID] {
			// After an open try the work may be this VM's own creation; the owner is told once more.
			s.done <- result{created: s.open}
			continue
		}
		left = append(left, s)
	}
	return left
}

// giveUp refuses what the store declined twice and no open try may have created.
func (a *acceptor) giveUp(batch []*submission, declined int, cause error) []*submission {
	var left []*submission
	for _, s := range batch {
		switch {
		case !s.open && declined > 1:
			s.done <- result{err: rpc.Refused(retryStore, "the store declines calls: %v", cause)}
		case a.ctx.Err() != nil || time.Since(s.begun) > openWithin:
			s.done <- result{err: a.lastWord(s, cause)}
		default:
			left = append(left, s)
		}
	}
	return left
}

func (a *acceptor) lastWord(s *submission, cause error) error {
	if s.open {
		return openOutcome(cause)
	}
	return rpc.Refused(retryStore, "the store declines calls: %v", cause)
}

// expire tells the callers of open submissions that the outcome is open once that has lasted too long.
func (a *acceptor) expire(batch []*submission, cause error) []*submission {
	var left []*submission
	for _, s := range batch {
		if a.ctx.Err() != nil || time.Since(s.begun) > openWithin {
			s.done <- result{err: openOutcome(cause)}
			continue
		}
		left = append(left, s)
	}
	return left
}

func finish(batch []*submission, r result) {
	for _, s := range batch {
		s.done <- r
	}
}
