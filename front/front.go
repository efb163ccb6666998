package front

import (
	"cmp"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"turmericgap/account"
	"turmericgap/feature"
	"turmericgap/job"
	"turmericgap/metric"
	"turmericgap/owner"
	"turmericgap/rpc"
	"turmericgap/rule"
	"turmericgap/store"
	"turmericgap/workrecord"
)

// Front serves callers on one entry VM.
type Front struct {
	opts     Options
	acceptor *acceptor
	cancel   context.CancelFunc
	unknown  unknownIDs
	// ownerCache holds the owner that other VMs reported.
	ownerCache ownerCache
	// refusing limits the concurrent refusals of submissions that were not read.
	refusing chan struct{}
	// silent is the last owner that did not answer a call.
	silent atomic.Pointer[silentOwner]
}

// New returns a Front that accepts submissions immediately.
func New(o Options) *Front {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metric.New()
	}
	if o.EvaluateRules == nil {
		o.EvaluateRules = func(*job.Work) rule.Effect { return rule.Effect{} }
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &Front{opts: o, cancel: cancel, refusing: make(chan struct{}, maxConcurrentRefusals)}
	f.acceptor = newAcceptor(ctx, &f.opts)
	return f
}

// Close stops accepting work; pending submissions end with an unknown outcome.
func (f *Front) Close() {
	f.cancel()
	f.acceptor.wg.Wait()
}

// Submit makes a work durable. A Fault with CodeRefused means that the work never runs, any other error that it
// may run.
//
// Submit asks the owner of the cell first. The owner writes the work together with its other commits, which saves a
// call to the store, and requests its permits at the same time. If that fails, this VM creates the work itself,
// which has no effect if the owner has created it already.
func (f *Front) Submit(ctx context.Context, w *job.Work) error {
	receivedAt := time.Now()
	w.Zone = f.opts.Group.Self().Zone
	if e := f.opts.EvaluateRules(w); e.Refuse != "" {
		return f.refuse(ctx, w, &e)
	}
	if found := workrecord.Check(w, cmp.Or(f.opts.MaxRecordBytes, store.MaxValueBytes)); len(found) > 0 {
		f.opts.Logger.Info("front: refused as too large", zap.String("id", w.ID), zap.String("queue", w.Queue.Name), zap.Error(found))
		f.opts.Metrics.Counter("front.refusedTooLarge").Inc(1)
		return f.refuseUnknown(ctx, w, &rpc.Fault{Code: rpc.CodeInvalid, Reason: "the submission is too large to be recorded", Findings: found})
	}
	err := f.submit(ctx, w, receivedAt)
	switch fault := rpc.AsFault(err); {
	case err == nil:
		f.unknown.remove(w.ID)
	case isOverloaded(err):
		f.unknown.remove(w.ID) // no earlier submission can be accepted any more
		return rpc.Refused(fault.RetryAfter, "%s", fault.Reason)
	case fault == nil || fault.Code == rpc.CodeUnknown:
		f.unknown.add(w.ID, receivedAt)
	case fault.Code == rpc.CodeRefused && f.unknown.contains(w.ID, receivedAt):
		// An earlier submission with this ID may still be accepted, so this one cannot be refused for certain.
		return unknownOutcome(err)
	}
	return err
}

func (f *Front) submit(ctx context.Context, w *job.Work, receivedAt time.Time) error {
	err := f.acceptByOwner(ctx, w)
	if err == nil {
		return nil
	}
	if isOverloaded(err) || isOtherAccount(err) {
		return err
	}
	if isPermanentRefusal(err) {
		return f.refuseUnknown(ctx, w, err)
	}
	created, err := f.acceptor.submit(ctx, &submission{work: w, receivedAt: receivedAt, mayBeAccepted: !wasNotApplied(err), ownerMayAccept: !wasNotApplied(err)})
	if err != nil {
		return f.submitToOwner(ctx, w, err)
	}
	if created {
		f.offer(w)
	}
	return nil
}

// isOverloaded reports whether the owner of the cell has durably refused a work because it has more to decide than it
// can. This VM must not store the work then: the owner would get it all the same.
func isOverloaded(err error) bool {
	fault := rpc.AsFault(err)
	return fault != nil && fault.Code == rpc.CodeBusy
}

// isOtherAccount reports whether the ID of a submission is that of a work of another account.
func isOtherAccount(err error) bool {
	fault := rpc.AsFault(err)
	return fault != nil && fault.Code == rpc.CodeConflict
}

// isPermanentRefusal reports whether the owner of the cell refused a work for which a retry is useless.
func isPermanentRefusal(err error) bool {
	fault := rpc.AsFault(err)
	return fault != nil && (fault.Code == rpc.CodeInvalid || fault.Code == rpc.CodeRefused && fault.RetryAfter == 0)
}

// wasNotApplied reports whether a failed call to the owner certainly had no effect.
func wasNotApplied(err error) bool {
	fault := rpc.AsFault(err)
	return errors.Is(err, rpc.ErrNotSent) || fault != nil && (fault.Code == rpc.CodeNotOwner || fault.Code == rpc.CodeRefused || fault.Code == rpc.CodeInvalid)
}

// acceptByOwner has the owner of the cell accept a work.
func (f *Front) acceptByOwner(ctx context.Context, w *job.Work) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if f.opts.Dispatcher.IsOwner() {
		return f.opts.Dispatcher.Accept(ctx, w)
	}
	peer, err := f.owner(ctx)
	if err != nil {
		return err
	}
	if err := f.checkBackoff(&peer); err != nil {
		return err
	}
	_, err = rpc.Call[submitRequest, empty](ctx, f.opts.Peers.Get(peer.Address), methodAccept, &submitRequest{Work: *w})
	f.recordOwnerCall(&peer, err)
	return err
}

// silentOwner is an owner that did not answer, with the time from which it may be called again.
type silentOwner struct {
	id      string
	retryAt time.Time
}

// checkBackoff returns an error if the owner did not answer recently. On a VM that is cut off from the owner, each
// caller would otherwise wait for the timeout before the store is asked.
func (f *Front) checkBackoff(peer *owner.Node) error {
	s := f.silent.Load()
	if s != nil && s.id == peer.ID && time.Now().Before(s.retryAt) {
		return rpc.Refused(time.Until(s.retryAt), "the owner of the cell did not answer lately")
	}
	return nil
}

// recordOwnerCall starts the backoff of an owner that did not answer a call.
func (f *Front) recordOwnerCall(peer *owner.Node, err error) {
	if err != nil && rpc.AsFault(err) == nil {
		f.silent.Store(&silentOwner{peer.ID, time.Now().Add(ownerBackoff)})
	}
}

// submitToOwner asks the owner of the cell to create a work that this VM cannot create. The store may decline the
// calls of some VMs while it serves others; without this call the work would be refused although it could run.
func (f *Front) submitToOwner(ctx context.Context, w *job.Work, cause error) error {
	fault := rpc.AsFault(cause)
	if fault == nil || fault.Code != rpc.CodeRefused || f.opts.Dispatcher.IsOwner() {
		return cause
	}
	peer, ok := f.findOwner(ctx)
	if !ok || peer.ID == f.opts.Group.Self().ID {
		return cause
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout+unknownOutcomeTimeout)
	defer cancel()
	_, err := rpc.Call[submitRequest, empty](ctx, f.opts.Peers.Get(peer.Address), methodSubmit, &submitRequest{Work: *w})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, rpc.ErrNotSent):
		return cause
	}
	return err
}

// offer notifies the owner of new work. If that fails, the owner finds the work by its watch on the store.
func (f *Front) offer(w *job.Work) {
	if f.opts.Dispatcher.IsOwner() {
		ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
		defer cancel()
		f.logOffer(w, f.opts.Dispatcher.Offer(ctx, []job.Work{*w}))
		return
	}
	peer, _, ok := f.opts.Group.Owner()
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
		defer cancel()
		_, err := rpc.Call[offerRequest, empty](ctx, f.opts.Peers.Get(peer.Address), methodOffer, &offerRequest{Works: []job.Work{*w}})
		f.logOffer(w, err)
	}()
}

func (f *Front) logOffer(w *job.Work, err error) {
	if err != nil {
		f.opts.Logger.Info("front: could not notify the owner of new work", zap.String("id", w.ID), zap.Error(err))
	}
}

// Status returns the state of a work for a caller of an account; a Fault with CodeNotFound means that the work does not
// exist or belongs to another account.
func (f *Front) Status(ctx context.Context, id, account string) (job.WorkState, error) {
	state, err := f.statusFromOwner(ctx, id, account)
	if err == nil {
		return state, nil
	}
	state, storeErr := f.statusFromStore(ctx, id, account)
	if storeErr != nil {
		f.opts.Logger.Info("front: no state of a work",
			zap.String("id", id), zap.NamedError("owner", err), zap.NamedError("store", storeErr))
		return "", storeErr
	}
	return state, nil
}

func (f *Front) statusFromOwner(ctx context.Context, id, account string) (job.WorkState, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	if f.opts.Dispatcher.IsOwner() {
		return f.opts.Dispatcher.Status(ctx, id, account)
	}
	peer, err := f.owner(ctx)
	if err != nil {
		return "", err
	}
	if err := f.checkBackoff(&peer); err != nil {
		return "", err
	}
	out, err := rpc.Call[idRequest, statusReply](ctx, f.opts.Peers.Get(peer.Address), methodStatus, &idRequest{ID: id, Account: account})
	f.recordOwnerCall(&peer, err)
	if err != nil {
		return "", err
	}
	return out.State, nil
}

// owner returns the owner of the cell, which must be another VM.
func (f *Front) owner(ctx context.Context) (owner.Node, error) {
	peer, ok := f.findOwner(ctx)
	if !ok || peer.ID == f.opts.Group.Self().ID {
		return peer, rpc.Refused(ownerRetryAfter, "the cell has no owner just now")
	}
	return peer, nil
}

// statusFromStore reads the state of a work from the store.
func (f *Front) statusFromStore(ctx context.Context, id, account string) (job.WorkState, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	state, err := workrecord.ReadState(ctx, f.opts.Store, id, account)
	switch {
	case errors.Is(err, workrecord.ErrNoWork):
		return "", &rpc.Fault{Code: rpc.CodeNotFound, Reason: err.Error()}
	case err != nil:
		return "", rpc.Refused(ownerRetryAfter, "neither the owner nor the store can be asked: %v", err)
	}
	return state, nil
}

// Cancel cancels a work for a caller of an account; the cancellation is durable when Cancel returns nil.
func (f *Front) Cancel(ctx context.Context, id, account string) error {
	err := f.cancelByOwner(ctx, id, account)
	if fault := rpc.AsFault(err); fault == nil || fault.Code != rpc.CodeNotFound {
		return err
	}
	// The owner may not know a work yet that was accepted very recently.
	w, state, err := workrecord.ReadWork(ctx, f.opts.Store, id, account)
	switch {
	case errors.Is(err, workrecord.ErrNoWork):
		return &rpc.Fault{Code: rpc.CodeNotFound, Reason: err.Error()}
	case err != nil:
		return rpc.Refused(ownerRetryAfter, "the store cannot be asked: %v", err)
	case state.Final():
		return nil
	}
	f.offer(w)
	return f.cancelByOwner(ctx, id, account)
}

func (f *Front) cancelByOwner(ctx context.Context, id, account string) error {
	if f.opts.Dispatcher.IsOwner() {
		return f.opts.Dispatcher.Cancel(ctx, id, account)
	}
	peer, err := f.owner(ctx)
	if err != nil {
		return err
	}
	_, err = rpc.Call[idRequest, empty](ctx, f.opts.Peers.Get(peer.Address), methodCancel, &idRequest{ID: id, Account: account})
	if errors.Is(err, rpc.ErrNotSent) {
		return rpc.Refused(ownerRetryAfter, "the owner of the cell cannot be reached")
	}
	return err
}

// Waiting returns the number of accepted works of a queue that have not started any task.
func (f *Front) Waiting(ctx context.Context, queue string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	if f.opts.Dispatcher.IsOwner() {
		return f.opts.Dispatcher.Waiting(ctx, queue)
	}
	peer, err := f.owner(ctx)
	if err != nil {
		return 0, err
	}
	out, err := rpc.Call[queueRequest, waitingReply](ctx, f.opts.Peers.Get(peer.Address), methodWaiting, &queueRequest{Queue: queue})
	if err != nil {
		return 0, rpc.Refused(ownerRetryAfter, "the owner of the cell cannot be asked: %v", err)
	}
	return out.Waiting, nil
}

// Accounts returns the owner's reports on the client accounts.
func (f *Front) Accounts(ctx context.Context) (*account.Reports, error) {
	return askOwner(ctx, f, methodAccounts, f.opts.Dispatcher.Accounts)
}

// Features returns the owner's report on the optional parts.
func (f *Front) Features(ctx context.Context) (*feature.Report, error) {
	return askOwner(ctx, f, methodFeatures, f.ownFeatures)
}

func (f *Front) ownFeatures(context.Context) (*feature.Report, error) {
	return f.opts.Dispatcher.Features()
}

// askOwner calls own if this VM owns the cell, or else the given method of the owner.
func askOwner[T any](ctx context.Context, f *Front, method string, own func(context.Context) (*T, error)) (*T, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	if f.opts.Dispatcher.IsOwner() {
		return own(ctx)
	}
	peer, err := f.owner(ctx)
	if err != nil {
		return nil, err
	}
	return rpc.Call[empty, T](ctx, f.opts.Peers.Get(peer.Address), method, &empty{})
}
