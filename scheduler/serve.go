package scheduler

import (
	"context"
	"time"

	"turmericgap/job"
	"turmericgap/planner"
	"turmericgap/route"
	"turmericgap/rpc"
	tracing "turmericgap/trace"
)

// Register registers the RPC methods for jobs.
func (s *Scheduler) Register(server *rpc.Server) {
	rpc.Handle(server, route.CallSubmit, func(ctx context.Context, r *route.SubmitRequest) (*job.Status, error) {
		return s.Submit(ctx, &r.Spec, tracing.Parent(ctx))
	})
	rpc.Handle(server, route.CallStatus, func(ctx context.Context, r *route.JobRequest) (*job.Status, error) {
		return s.Status(ctx, r.ID)
	})
	rpc.Handle(server, route.CallWait, func(ctx context.Context, r *route.JobRequest) (*job.Status, error) {
		return s.Wait(ctx, r.ID)
	})
	rpc.Handle(server, route.CallCancel, func(ctx context.Context, r *route.CancelRequest) (*job.Status, error) {
		return s.Cancel(ctx, r.ID, r.Reason)
	})
	rpc.Handle(server, route.CallList, func(ctx context.Context, r *route.ListRequest) (*route.ListReply, error) {
		jobs, err := s.List(ctx, r.Limit)
		return &route.ListReply{Jobs: jobs}, err
	})
	rpc.Handle(server, route.CallExplain, func(ctx context.Context, r *route.JobRequest) (*route.Explanation, error) {
		return s.Explain(ctx, r.ID)
	})
}

// Explain returns the status of a job, the rule that decided on it, and what it is waiting for.
func (s *Scheduler) Explain(ctx context.Context, id string) (*route.Explanation, error) {
	status, err := s.Status(ctx, id)
	if err != nil {
		return nil, err
	}
	t, err := s.ownedTerm()
	if err != nil {
		return nil, err
	}
	e, err := callLoop(ctx, t, func() planner.Explanation { return t.planner.Explain(time.Now(), id) })
	if err != nil {
		return nil, queryFault(err)
	}
	return &route.Explanation{Status: *status, Explanation: e}, nil
}
