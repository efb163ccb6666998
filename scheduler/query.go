package scheduler

import (
	"context"
	"errors"
	"sort"
	"time"

	"turmericgap/job"
	"turmericgap/rpc"
)

const maxWaiters = 64

func (t *term) status(ctx context.Context, id string) (*job.Status, error) {
	s, err := callLoop(ctx, t, func() *job.Status { return t.lookup(id) })
	if err != nil {
		return nil, queryFault(err)
	}
	if s == nil {
		return nil, notFound(id)
	}
	return s, nil
}

func (t *term) lookup(id string) *job.Status {
	e := t.jobs[id]
	if e == nil || !e.durable {
		return nil
	}
	s := e.status(t.o.Zone)
	return &s
}

// queryFault converts the error of a query, which changed nothing, to a fault.
func queryFault(err error) error {
	if errors.Is(err, errTermClosed) {
		return &rpc.Fault{Code: rpc.CodeNotOwner, Reason: err.Error(), RetryAfter: DefaultRetryAfter}
	}
	return err
}

// wait returns the status when the job is final, or shortly before the caller's deadline.
func (t *term) wait(ctx context.Context, id string) (*job.Status, error) {
	done := make(chan job.Status, 1)
	s, err := callLoop(ctx, t, func() *job.Status {
		s := t.lookup(id)
		if s != nil && s.State != job.Final && len(t.jobs[id].waiters) < maxWaiters {
			t.jobs[id].waiters = append(t.jobs[id].waiters, done)
		}
		return s
	})
	switch {
	case err != nil:
		return nil, queryFault(err)
	case s == nil:
		return nil, notFound(id)
	case s.State == job.Final:
		return s, nil
	}
	select {
	case final := <-done:
		return &final, nil
	case <-t.closing:
		return nil, queryFault(errTermClosed)
	case <-beforeDeadline(ctx):
	}
	t.post(func() { t.dropWaiter(id, done) })
	statusCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), t.o.CallTimeout)
	defer cancel()
	return t.status(statusCtx, id)
}

// replyMargin is reserved for the reply, so that a waiter gets the latest status before its deadline.
const replyMargin = 50 * time.Millisecond

func beforeDeadline(ctx context.Context) <-chan struct{} {
	deadline, ok := ctx.Deadline()
	if !ok {
		return ctx.Done()
	}
	early, cancel := context.WithDeadline(ctx, deadline.Add(-replyMargin))
	context.AfterFunc(early, cancel)
	return early.Done()
}

func (t *term) dropWaiter(id string, done chan job.Status) {
	e := t.jobs[id]
	if e == nil {
		return
	}
	for i, w := range e.waiters {
		if w == done {
			e.waiters = append(e.waiters[:i], e.waiters[i+1:]...)
			return
		}
	}
}

// list returns live jobs first, then those that ended most recently.
func (t *term) list(limit int) []job.Status {
	entries := make([]*entry, 0, len(t.jobs))
	for _, e := range t.jobs {
		if e.durable {
			entries = append(entries, e)
		}
	}
	sort.Slice(entries, func(i, k int) bool {
		a, b := entries[i], entries[k]
		if a.ended.IsZero() != b.ended.IsZero() {
			return a.ended.IsZero()
		}
		if !a.ended.Equal(b.ended) {
			return a.ended.After(b.ended)
		}
		return a.id < b.id
	})
	out := make([]job.Status, 0, min(limit, len(entries)))
	for _, e := range entries[:min(limit, len(entries))] {
		s := e.status(t.o.Zone)
		for i := range s.Tasks {
			s.Tasks[i].Answer = nil
		}
		out = append(out, s)
	}
	return out
}
