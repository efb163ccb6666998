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
	rpc.Handle(server, route.CallSubmit, func(ctx context.Context, r *route.Submit) (*job.Status, error) {
		return s.Submit(ctx, &r.Spec, tracing.Parent(ctx))
	})
	rpc.Handle(server, route.CallStatus, func(ctx context.Context, r *route.Ask) (*job.Status, error) {
		return s.Status(ctx, r.ID)
	})
	rpc.Handle(server, route.CallWait, func(ctx context.Context, r *route.Ask) (*job.Status, error) {
		return s.Wait(ctx, r.ID)
	})
	rpc.Handle(server, route.CallCancel, func(ctx context.Context, r *route.Cancel) (*job.Status, error) {
		return s.Cancel(ctx, r.ID, r.Reason)
	})
	rpc.Handle(server, route.CallList, func(ctx context.Context, r *route.List) (*route.Listed, error) {
		jobs, err := s.List(ctx, r.Most)
		return &route.Listed{Jobs: jobs}, err
	})
	rpc.Handle(server, route.CallWhy, func(ctx context.Context, r *route.Ask) (*route.Why, error) {
		return s.Why(ctx, r.ID)
	})
}

// Why tells where a job stands, which rule decided, and what it waits for.
func (s *Scheduler) Why(ctx context.Context, id string) (*route.Why, error) {
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
	return &route.Why{Status: *status, Explanation: e}, nil
}
