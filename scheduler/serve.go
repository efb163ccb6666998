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

// Register serves the calls about jobs.
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
		return s.Why(ctx, r.ID)
	})
}

// Why tells where a job stands, which rule decided, and what it waits for.
func (s *Scheduler) Why(ctx context.Context, id string) (*route.Explanation, error) {
	status, err := s.Status(ctx, id)
	if err != nil {
		return nil, err
	}
	t, err := s.owner()
	if err != nil {
		return nil, err
	}
	e, err := ask(ctx, t, func() planner.Explanation { return t.planner.Explain(time.Now(), id) })
	if err != nil {
		return nil, lookFault(err)
	}
	return &route.Explanation{Status: *status, Explanation: e}, nil
}
