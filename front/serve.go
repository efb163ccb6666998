package front

import (
	"context"
	"time"

	"turmericgap/job"
	"turmericgap/permit"
	"turmericgap/rpc"
)

// Names of the calls between entry VMs.
const (
	methodOffer   = "Front.Offer"
	methodSubmit  = "Front.Submit"
	methodAccept  = "Front.Accept"
	methodStatus  = "Front.Status"
	methodCancel  = "Front.Cancel"
	methodWaiting = "Front.Waiting"
	methodOwner   = "Front.Owner"
	// MethodAskPermit puts a question to the policy service from the callee's VM.
	MethodAskPermit = "Front.Ask"
)

type none struct{}

type offerRequest struct {
	Works []job.Work `msgpack:"w"`
}

type submitRequest struct {
	Work job.Work `msgpack:"w"`
}

type idRequest struct {
	ID string `msgpack:"i"`
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

// Register serves the calls of the other entry VMs.
func (f *Front) Register(s *rpc.Server) {
	rpc.Handle(s, methodOffer, func(ctx context.Context, in *offerRequest) (*none, error) {
		return &none{}, f.o.Dispatcher.Offer(ctx, in.Works)
	})
	rpc.Handle(s, methodSubmit, func(ctx context.Context, in *submitRequest) (*none, error) {
		created, err := f.accept.submit(ctx, &submission{work: &in.Work, begun: time.Now()})
		if created {
			f.offer(&in.Work)
		}
		return &none{}, err
	})
	rpc.Handle(s, methodAccept, func(ctx context.Context, in *submitRequest) (*none, error) {
		return &none{}, f.o.Dispatcher.Accept(ctx, &in.Work)
	})
	rpc.Handle(s, methodStatus, func(ctx context.Context, in *idRequest) (*statusReply, error) {
		state, err := f.o.Dispatcher.Status(ctx, in.ID)
		return &statusReply{State: state}, err
	})
	rpc.Handle(s, methodCancel, func(ctx context.Context, in *idRequest) (*none, error) {
		return &none{}, f.o.Dispatcher.Cancel(ctx, in.ID)
	})
	rpc.Handle(s, methodWaiting, func(ctx context.Context, in *queueRequest) (*waitingReply, error) {
		n, err := f.o.Dispatcher.Waiting(ctx, in.Queue)
		return &waitingReply{Waiting: n}, err
	})
	rpc.Handle(s, methodOwner, f.serveOwner)
	rpc.Handle(s, MethodAskPermit, func(ctx context.Context, in *permit.Request) (*permit.Response, error) {
		return f.o.AskPermit(ctx, in)
	})
}
