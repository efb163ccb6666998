package front

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"turmericgap/dispatch"
	"turmericgap/job"
	"turmericgap/metric"
	"turmericgap/owner"
	"turmericgap/rpc"
	"turmericgap/rule"
)

// Front answers callers on one entry VM.
type Front struct {
	o      Options
	accept *acceptor
	cancel context.CancelFunc
	open   openIDs
	// located is what other VMs have told of the owner.
	located located
	// silent is the last owner that did not answer.
	silent atomic.Pointer[silence]
}

// New returns a Front that takes submissions at once.
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
	f := &Front{o: o, cancel: cancel}
	f.accept = newAcceptor(ctx, &f.o)
	return f
}

// Close ends the acceptance of work; submissions under way get an open outcome.
func (f *Front) Close() {
	f.cancel()
	f.accept.wg.Wait()
}

// Submit makes a work durable. A Fault with CodeRefused means that it never runs, any other error
// that it may.
//
// The owner of the cell is asked first: it writes the work together with what else it commits, which
// costs no call of the store, and puts its questions meanwhile. Without it this VM creates the work by
// itself, which fails where the owner has done so.
func (f *Front) Submit(ctx context.Context, w *job.Work) error {
	begun := time.Now()
	w.Zone = f.o.Group.Self().Zone
	if e := f.o.EvaluateRules(w); e.Refuse != "" {
		return f.refuse(ctx, w, &e)
	}
	err := f.submit(ctx, w, begun)
	switch fault := rpc.AsFault(err); {
	case err == nil:
		f.open.settle(w.ID)
	case fault == nil || fault.Code == rpc.CodeUnknown:
		f.open.note(w.ID, begun)
	case fault.Code == rpc.CodeRefused && f.open.has(w.ID, begun):
		// An earlier try with this ID may still be accepted, so that this one cannot say "never".
		return openOutcome(err)
	}
	return err
}

func (f *Front) submit(ctx context.Context, w *job.Work, begun time.Time) error {
	err := f.ownerAccept(ctx, w)
	if err == nil {
		return nil
	}
	if isHopeless(err) {
		return f.refuseUnknown(ctx, w, err)
	}
	created, err := f.accept.submit(ctx, &submission{work: w, begun: begun, open: !notDone(err)})
	if err != nil {
		return f.submitElsewhere(ctx, w, err)
	}
	if created {
		f.offer(w)
	}
	return nil
}

// isHopeless reports whether the owner of the cell says that trying again is no use.
func isHopeless(err error) bool {
	fault := rpc.AsFault(err)
	return fault != nil && fault.Code == rpc.CodeRefused && fault.RetryAfter == 0
}

// notDone reports whether an error of a call to the owner says that nothing was done.
func notDone(err error) bool {
	fault := rpc.AsFault(err)
	return errors.Is(err, rpc.ErrNotSent) || fault != nil && (fault.Code == rpc.CodeNotOwner || fault.Code == rpc.CodeRefused)
}

func (f *Front) ownerAccept(ctx context.Context, w *job.Work) error {
	ctx, cancel := context.WithTimeout(ctx, acceptWithin)
	defer cancel()
	if f.o.Dispatcher.IsOwner() {
		return f.o.Dispatcher.Accept(ctx, w)
	}
	peer, err := f.owner(ctx)
	if err != nil {
		return err
	}
	if err := f.rested(&peer); err != nil {
		return err
	}
	_, err = rpc.Call[submitRequest, none](ctx, f.o.Peers.Get(peer.Address), methodAccept, &submitRequest{Work: *w})
	f.heard(&peer, err)
	return err
}

// silence is until when an owner that did not answer is left alone.
type silence struct {
	owner string
	until time.Time
}

// rested refuses to ask an owner that did not answer lately. Each caller of a VM that is cut off from
// the owner would wait for it in vain before the store is asked.
func (f *Front) rested(peer *owner.Node) error {
	s := f.silent.Load()
	if s != nil && s.owner == peer.ID && time.Now().Before(s.until) {
		return rpc.Refused(time.Until(s.until), "the owner of the cell did not answer lately")
	}
	return nil
}

// heard notes a call to the owner without an answer.
func (f *Front) heard(peer *owner.Node, err error) {
	if err != nil && rpc.AsFault(err) == nil {
		f.silent.Store(&silence{peer.ID, time.Now().Add(ownerRest)})
	}
}

// submitElsewhere asks the owner of the cell to accept what this VM cannot. The store may decline the
// calls of some VMs while it serves the others; the work would be refused though it could run.
func (f *Front) submitElsewhere(ctx context.Context, w *job.Work, cause error) error {
	fault := rpc.AsFault(cause)
	if fault == nil || fault.Code != rpc.CodeRefused || f.o.Dispatcher.IsOwner() {
		return cause
	}
	peer, ok := f.locate(ctx)
	if !ok || peer.ID == f.o.Group.Self().ID {
		return cause
	}
	ctx, cancel := context.WithTimeout(ctx, ownerWithin+openWithin)
	defer cancel()
	_, err := rpc.Call[submitRequest, none](ctx, f.o.Peers.Get(peer.Address), methodSubmit, &submitRequest{Work: *w})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, rpc.ErrNotSent):
		return cause
	}
	return err
}

// offer tells the owner of new work; if that fails, its watch finds the work.
func (f *Front) offer(w *job.Work) {
	if f.o.Dispatcher.IsOwner() {
		ctx, cancel := context.WithTimeout(context.Background(), offerWithin)
		defer cancel()
		f.logOffer(w, f.o.Dispatcher.Offer(ctx, []job.Work{*w}))
		return
	}
	peer, _, ok := f.o.Group.Owner()
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), offerWithin)
		defer cancel()
		_, err := rpc.Call[offerRequest, none](ctx, f.o.Peers.Get(peer.Address), methodOffer, &offerRequest{Works: []job.Work{*w}})
		f.logOffer(w, err)
	}()
}

func (f *Front) logOffer(w *job.Work, err error) {
	if err != nil {
		f.o.Logger.Info("front: the owner was not told of work", zap.String("id", w.ID), zap.Error(err))
	}
}

// Status gives the state of a work; CodeNotFound means that there is none.
func (f *Front) Status(ctx context.Context, id string) (job.WorkState, error) {
	state, err := f.ownerStatus(ctx, id)
	if err == nil {
		return state, nil
	}
	state, stored := f.storedStatus(ctx, id)
	if stored != nil {
		f.o.Logger.Info("front: no state of a work", zap.String("id", id), zap.NamedError("owner", err), zap.NamedError("store", stored))
		return "", stored
	}
	return state, nil
}

func (f *Front) ownerStatus(ctx context.Context, id string) (job.WorkState, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerWithin)
	defer cancel()
	if f.o.Dispatcher.IsOwner() {
		return f.o.Dispatcher.Status(ctx, id)
	}
	peer, err := f.owner(ctx)
	if err != nil {
		return "", err
	}
	if err := f.rested(&peer); err != nil {
		return "", err
	}
	out, err := rpc.Call[idRequest, statusReply](ctx, f.o.Peers.Get(peer.Address), methodStatus, &idRequest{ID: id})
	f.heard(&peer, err)
	if err != nil {
		return "", err
	}
	return out.State, nil
}

func (f *Front) owner(ctx context.Context) (owner.Node, error) {
	peer, ok := f.locate(ctx)
	if !ok || peer.ID == f.o.Group.Self().ID {
		return peer, rpc.Refused(retryOwner, "the cell has no owner just now")
	}
	return peer, nil
}

// storedStatus reads a state from the store.
func (f *Front) storedStatus(ctx context.Context, id string) (job.WorkState, error) {
	ctx, cancel := context.WithTimeout(ctx, storeWithin)
	defer cancel()
	state, err := dispatch.ReadState(ctx, f.o.Store, id)
	switch {
	case errors.Is(err, dispatch.ErrNoWork):
		return "", &rpc.Fault{Code: rpc.CodeNotFound, Reason: err.Error()}
	case err != nil:
		return "", rpc.Refused(retryOwner, "neither the owner nor the store can be asked: %v", err)
	}
	return state, nil
}

// Cancel ends a work; it is durable when Cancel returns nil.
func (f *Front) Cancel(ctx context.Context, id string) error {
	err := f.ownerCancel(ctx, id)
	if fault := rpc.AsFault(err); fault == nil || fault.Code != rpc.CodeNotFound {
		return err
	}
	// The owner may not have heard of work that was accepted just now.
	w, state, err := dispatch.ReadWork(ctx, f.o.Store, id)
	switch {
	case errors.Is(err, dispatch.ErrNoWork):
		return &rpc.Fault{Code: rpc.CodeNotFound, Reason: err.Error()}
	case err != nil:
		return rpc.Refused(retryOwner, "the store cannot be asked: %v", err)
	case state.Final():
		return nil
	}
	f.offer(w)
	return f.ownerCancel(ctx, id)
}

func (f *Front) ownerCancel(ctx context.Context, id string) error {
	if f.o.Dispatcher.IsOwner() {
		return f.o.Dispatcher.Cancel(ctx, id)
	}
	peer, err := f.owner(ctx)
	if err != nil {
		return err
	}
	_, err = rpc.Call[idRequest, none](ctx, f.o.Peers.Get(peer.Address), methodCancel, &idRequest{ID: id})
	if errors.Is(err, rpc.ErrNotSent) {
		return rpc.Refused(retryOwner, "the owner of the cell cannot be reached")
	}
	return err
}

// Waiting counts the accepted works of a queue of which no task has started.
func (f *Front) Waiting(ctx context.Context, queue string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerWithin)
	defer cancel()
	if f.o.Dispatcher.IsOwner() {
		return f.o.Dispatcher.Waiting(ctx, queue)
	}
	peer, err := f.owner(ctx)
	if err != nil {
		return 0, err
	}
	out, err := rpc.Call[queueRequest, waitingReply](ctx, f.o.Peers.Get(peer.Address), methodWaiting, &queueRequest{Queue: queue})
	if err != nil {
		return 0, rpc.Refused(retryOwner, "the owner of the cell cannot be asked: %v", err)
	}
	return out.Waiting, nil
}
