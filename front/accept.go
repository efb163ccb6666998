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
	"turmericgap/workrecord"
)

// submission is a work that waits to be created in the store.
type submission struct {
	work *job.Work
	// receivedAt is when the caller submitted it.
	receivedAt time.Time
	// mayBeAccepted is set if a transaction with it got no answer, so that it may have been accepted already.
	mayBeAccepted bool
	// ownerMayAccept is set if a call to the owner with it got no answer: the owner may yet accept it, also if it has
	// refused an earlier submission of the ID.
	ownerMayAccept bool
	done           chan result
}

// result is the outcome of a submission: err is nil if the work is durable, created is set if this VM may have
// created it.
type result struct {
	created bool
	err     error
}

// acceptor creates submitted works in the store, several in one transaction.
type acceptor struct {
	opts  *Options
	ctx   context.Context
	queue chan *submission
	slots chan struct{}
	wg    sync.WaitGroup
}

func newAcceptor(ctx context.Context, o *Options) *acceptor {
	a := &acceptor{opts: o, ctx: ctx, queue: make(chan *submission, acceptQueueSize), slots: make(chan struct{}, maxConcurrentTxns)}
	a.wg.Go(a.run)
	return a
}

// submit queues a submission and waits for its outcome.
func (a *acceptor) submit(ctx context.Context, s *submission) (created bool, err error) {
	if !s.mayBeAccepted {
		if err := a.checkStore(); err != nil {
			return false, err
		}
	}
	s.done = make(chan result, 1)
	select {
	case a.queue <- s:
	default:
		if s.mayBeAccepted {
			return false, unknownOutcome(errBusy)
		}
		return false, rpc.Refused(busyRetryAfter, "%v", errBusy)
	}
	select {
	case r := <-s.done:
		return r.created, r.err
	case <-ctx.Done():
		return false, unknownOutcome(ctx.Err())
	}
}

// checkStore refuses work while the store is known not to answer. Otherwise the work would wait until its caller
// gives up, and the caller could no longer be told that it never runs.
func (a *acceptor) checkStore() error {
	since, silent := a.opts.StoreSilent()
	if !silent {
		return nil
	}
	return rpc.Refused(storeRetryAfter, "the store has not answered for %v", time.Since(since).Round(time.Millisecond))
}

// probeStore sends the store a read if it has not answered recently. A submission that is sent during an outage
// that has not been detected yet would have an unknown outcome.
func (a *acceptor) probeStore(w *job.Work) error {
	if time.Since(a.opts.StoreLastAnswer()) < probeIdleThreshold {
		return nil
	}
	ctx, cancel := context.WithTimeout(a.ctx, probeTimeout)
	defer cancel()
	return workrecord.Probe(ctx, a.opts.Store, w.ID)
}

var (
	errBusy        = errors.New("too many submissions wait")
	errOwnerSilent = errors.New("the owner of the cell has refused the work before, and has not answered this submission")
)

// unknownOutcome returns the fault for a submission that may or may not have been accepted.
func unknownOutcome(cause error) error {
	return &rpc.Fault{Code: rpc.CodeUnknown, Reason: "the submission may have been accepted: " + cause.Error()}
}

// run sends submissions in batches, at most maxConcurrentTxns at a time.
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
			a.createAll(batch)
		})
	}
}

// collect waits for a submission and adds those that are queued already.
func (a *acceptor) collect() []*submission {
	var batch []*submission
	select {
	case <-a.ctx.Done():
		return nil
	case s := <-a.queue:
		batch = append(batch, s)
	}
	for len(batch) < submissionsPerTxn {
		select {
		case s := <-a.queue:
			batch = append(batch, s)
		default:
			return batch
		}
	}
	return batch
}

// createAll retries a transaction until each of its submissions has an outcome.
func (a *acceptor) createAll(batch []*submission) {
	b := retry.New()
	declined := 0
	if err := a.probeStore(batch[0].work); err != nil {
		batch = a.refuseUnsent(batch, err)
	}
	for len(batch) > 0 {
		existing, err := a.commitBatch(batch)
		switch {
		case err == nil && existing == nil:
			completeAll(batch, result{created: true})
			return
		case err == nil:
			batch = a.resolveExisting(batch, existing)
			continue
		case errors.Is(err, store.ErrInvalid):
			a.createEach(batch, err)
			return
		case errors.Is(err, store.ErrNotSent):
			declined++
			if batch = a.dropDeclined(batch, declined, err); len(batch) > 0 {
				retry.Sleep(a.ctx, declinedRetryDelay)
			}
			continue
		}
		a.opts.Logger.Info("front: the store did not answer a transaction that creates works",
			zap.Int("submissions", len(batch)), zap.String("id", batch[0].work.ID), zap.Error(err))
		for _, s := range batch {
			s.mayBeAccepted = true
		}
		if batch = a.dropExpired(batch, err); len(batch) > 0 {
			retry.Sleep(a.ctx, b.Next())
		}
	}
}

// createEach creates the works of a batch one by one after the store has rejected their common transaction, so that only
// those that it does not take are refused.
func (a *acceptor) createEach(batch []*submission, cause error) {
	if len(batch) == 1 {
		a.opts.Logger.Warn("front: the store rejects the record of a work", zap.String("id", batch[0].work.ID), zap.Error(cause))
		batch[0].done <- result{err: &rpc.Fault{Code: rpc.CodeInvalid, Reason: "the store does not take the record of the submission"}}
		return
	}
	for _, s := range batch {
		a.createAll([]*submission{s})
	}
}

// refuseUnsent refuses the submissions that were never sent to the store, and returns the others.
func (a *acceptor) refuseUnsent(batch []*submission, cause error) []*submission {
	var left []*submission
	for _, s := range batch {
		if s.mayBeAccepted {
			left = append(left, s)
			continue
		}
		s.done <- result{err: rpc.Refused(storeRetryAfter, "the store does not answer: %v", cause)}
	}
	return left
}

// commitBatch sends one transaction that creates all works of the batch. If any of them exists already or was refused,
// nothing is created and the keys that exist are returned; nil means that all were created.
func (a *acceptor) commitBatch(batch []*submission) (existing []store.Pair, err error) {
	ctx, cancel := context.WithTimeout(a.ctx, storeTimeout)
	defer cancel()
	var txn store.Txn
	seen := make(map[string]bool, len(batch))
	for _, s := range batch {
		if !seen[s.work.ID] {
			seen[s.work.ID] = true
			workrecord.AddCreate(&txn, s.work)
		}
	}
	started := time.Now()
	res, err := a.opts.Store.Txn(ctx, txn)
	if err != nil {
		return nil, err
	}
	a.opts.Metrics.Histogram("front.acceptMillis").Update(time.Since(started).Milliseconds())
	if res.Succeeded {
		return nil, nil
	}
	return append([]store.Pair{}, res.Existing...), nil
}

// resolveExisting completes the submissions whose work exists, because the ID was repeated or an earlier
// transaction succeeded, and those that the owner has refused. It returns the others.
func (a *acceptor) resolveExisting(batch []*submission, existing []store.Pair) []*submission {
	found, refused := workrecord.ExistingIDs(existing), workrecord.RefusedIDs(existing)
	var left []*submission
	for _, s := range batch {
		if found[s.work.ID] {
			s.done <- a.repeated(s, existing)
			continue
		}
		if refused[s.work.ID] && s.ownerMayAccept {
			s.done <- result{err: unknownOutcome(errOwnerSilent)}
			continue
		}
		if refused[s.work.ID] {
			s.done <- result{err: rpc.Refused(busyRetryAfter, "the owner of the cell has refused the work")}
			continue
		}
		left = append(left, s)
	}
	return left
}

// repeated returns the outcome of a submission whose work exists. An earlier transaction without an answer may have
// created the work, so the owner must be told of it.
func (a *acceptor) repeated(s *submission, existing []store.Pair) result {
	account, err := workrecord.AccountOf(existing, s.work.ID)
	switch {
	case err != nil:
		return result{err: unknownOutcome(err)}
	case account != s.work.Account:
		return result{err: dispatch.ErrOtherAccount}
	}
	return result{created: s.mayBeAccepted}
}

// dropDeclined refuses the submissions that the store declined twice, unless an earlier transaction may have
// created them. It also ends those that have timed out, and returns the others.
func (a *acceptor) dropDeclined(batch []*submission, declined int, cause error) []*submission {
	var left []*submission
	for _, s := range batch {
		switch {
		case !s.mayBeAccepted && declined > 1:
			s.done <- result{err: rpc.Refused(storeRetryAfter, "the store declines calls: %v", cause)}
		case a.ctx.Err() != nil || time.Since(s.receivedAt) > unknownOutcomeTimeout:
			s.done <- result{err: a.finalError(s, cause)}
		default:
			left = append(left, s)
		}
	}
	return left
}

// finalError returns the error for a submission that is not tried again.
func (a *acceptor) finalError(s *submission, cause error) error {
	if s.mayBeAccepted {
		return unknownOutcome(cause)
	}
	return rpc.Refused(storeRetryAfter, "the store declines calls: %v", cause)
}

// dropExpired ends the submissions that have timed out with an unknown outcome, and returns the others.
func (a *acceptor) dropExpired(batch []*submission, cause error) []*submission {
	var left []*submission
	for _, s := range batch {
		if a.ctx.Err() != nil || time.Since(s.receivedAt) > unknownOutcomeTimeout {
			s.done <- result{err: unknownOutcome(cause)}
			continue
		}
		left = append(left, s)
	}
	return left
}

func completeAll(batch []*submission, r result) {
	for _, s := range batch {
		s.done <- r
	}
}
