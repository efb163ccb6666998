package gate

import (
	"context"
	"errors"

	"turmericgap/rpc"
	"turmericgap/share"
)

// The names of the calls between gates.
const (
	MethodCheck   = "gate.check"
	MethodBorrow  = "share.borrow"
	MethodReturn  = "share.return"
	MethodConfirm = "share.confirm"
)

// Register serves the calls of other gates.
func (g *Gate) Register(s *rpc.Server) {
	rpc.Handle(s, MethodCheck, g.HandleForwarded)
	rpc.Handle(s, MethodBorrow, g.HandleBorrow)
	rpc.Handle(s, MethodReturn, g.AcceptReturn)
	rpc.Handle(s, MethodConfirm, g.HandleConfirmation)
}

var errNotListed = errors.New("gate is not listed")

func siblingsOverRPC(pool *rpc.Pool, address func(gate string) (string, bool)) SiblingClient {
	return SiblingClient{
		Borrow: func(ctx context.Context, gate string, r *share.LoanRequest) (*share.LoanReply, error) {
			return callGate[share.LoanRequest, share.LoanReply](ctx, pool, address, gate, MethodBorrow, r)
		},
		Return: func(ctx context.Context, gate string, r *share.LoanReturn) error {
			_, err := callGate[share.LoanReturn, share.LoanReturnReply](ctx, pool, address, gate, MethodReturn, r)
			return err
		},
		Confirm: func(ctx context.Context, gate string, c *share.Confirmation) (*share.Confirmation, error) {
			return callGate[share.Confirmation, share.Confirmation](ctx, pool, address, gate, MethodConfirm, c)
		},
	}
}

func callGate[Req, Resp any](
	ctx context.Context, pool *rpc.Pool, address func(string) (string, bool), gate, method string, req *Req,
) (*Resp, error) {
	to, ok := address(gate)
	if !ok {
		return nil, errors.Join(rpc.ErrNotSent, errNotListed)
	}
	return rpc.Call[Req, Resp](ctx, pool.Get(to), method, req)
}
