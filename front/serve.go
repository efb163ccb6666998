package front

import (
	"context"
	"time"

	"turmericgap/account"
	"turmericgap/feature"
	"turmericgap/job"
	"turmericgap/permit"
	"turmericgap/rpc"
)

// RPC methods between entry VMs.
const (
	methodOffer    = "Front.Offer"
	methodSubmit   = "Front.Submit"
	methodAccept   = "Front.Accept"
	methodStatus   = "Front.Status"
	methodCancel   = "Front.Cancel"
	methodWaiting  = "Front.Waiting"
	methodOwner    = "Front.Owner"
	methodAccounts = "Front.Accounts"
	methodFeatures = "Front.Features"
	// MethodRequestPermit sends a permit request to the policy service from the callee's VM.
	MethodRequestPermit = "Front.Ask"
)

type empty struct{}

type offerRequest struct {
	Works []job.Work `msgpack:"w"`
}

type submitRequest struct {
	Work job.Work `msgpack:"w"`
}

// idRequest names a work and the account of the caller who asks for it.
type idRequest struct {
	ID      string `msgpack:"i"`
	Account string `msgpack:"u,omitempty"`
}

type statusReply struct {
	State job.WorkState `msgpack:"s"`
}

type queueRequest struct {
	Queue string `msgpack:"q"`
}

type waitingReply struct {
	Waiting int `msgpack:"w"`
}

// Register registers the handlers for calls of the other entry VMs.
func (f *Front) Register(s *rpc.Server) {
	rpc.Handle(s, methodOffer, func(ctx context.Context, in *offerRequest) (*empty, error) {
		return &empty{}, f.opts.Dispatcher.Offer(ctx, in.Works)
	})
	rpc.Handle(s, methodSubmit, func(ctx context.Context, in *submitRequest) (*empty, error) {
		created, err := f.acceptor.submit(ctx, &submission{work: &in.Work, receivedAt: time.Now()})
		if created {
			f.offer(&in.Work)
		}
		return &empty{}, err
	})
	rpc.Handle(s, methodAccept, func(ctx context.Context, in *submitRequest) (*empty, error) {
		return &empty{}, f.opts.Dispatcher.Accept(ctx, &in.Work)
	})
	rpc.Handle(s, methodStatus, func(ctx context.Context, in *idRequest) (*statusReply, error) {
		state, err := f.opts.Dispatcher.Status(ctx, in.ID, in.Account)
		return &statusReply{State: state}, err
	})
	rpc.Handle(s, methodCancel, func(ctx context.Context, in *idRequest) (*empty, error) {
		return &empty{}, f.opts.Dispatcher.Cancel(ctx, in.ID, in.Account)
	})
	rpc.Handle(s, methodWaiting, func(ctx context.Context, in *queueRequest) (*waitingReply, error) {
		n, err := f.opts.Dispatcher.Waiting(ctx, in.Queue)
		return &waitingReply{Waiting: n}, err
	})
	rpc.Handle(s, methodOwner, f.handleOwner)
	rpc.Handle(s, methodAccounts, func(ctx context.Context, _ *empty) (*account.Reports, error) {
		return f.opts.Dispatcher.Accounts(ctx)
	})
	rpc.Handle(s, methodFeatures, func(ctx context.Context, _ *empty) (*feature.Report, error) {
		return f.ownFeatures(ctx)
	})
	rpc.Handle(s, MethodRequestPermit, func(ctx context.Context, in *permit.Request) (*permit.Response, error) {
		return f.opts.RequestPermit(ctx, in)
	})
}
