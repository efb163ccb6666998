package scheduler

import (
	"context"
	"errors"
	"sort"
	"time"

	"turmericgap/job"
	"turmericgap/rpc"
)

const waitersMost = 64

func (t *term) status(ctx context.Context, id string) (*job.Status, error) {
	s, err := ask(ctx, t, func() *job.Status { return t.look(id) })
	if err != nil {
		return nil, lookFault(err)
	}
	if s == nil {
		return nil, notFound(id)
	}
	return s, nil
}

func (t *term) look(id string) *job.Status {
	e := t.jobs[id]
	if e == nil || !e.durable {
		return nil
	}
	s := e.status(t.o.Zone)
	return &s
}

// lookFault turns a failed question, which changed nothing, into a fault.
func lookFault(err error) error {
	if errors.Is(err, errTermClosed) {
		return &rpc.Fault{Code: rpc.CodeNotOwner, Reason: err.Error(), RetryAfter: DefaultRetryAfter}
	}
	return err
}

// wait answers when the job is final or shortly before the caller's deadline.
func (t *term) wait(ctx context.Context, id string) (*job.Status, error) {
	done := make(chan job.Status, 1)
	s, err := ask(ctx, t, func() *job.Status {
		s := t.look(id)
		if s != nil && s.State != job.Final && len(t.jobs[id].waiters) < waitersMost {
			t.jobs[id].waiters = append(t.jobs[id].waiters, done)
		}
		return s
	})
	switch {
	case err != nil:
		return nil, lookFault(err)
	case s == nil:
		return nil, notFound(id)
	case s.State == job.Final:
		return s, nil
	}
	select {
	case final := <-done:
		return &final, nil
	case <-t.closing:
		return nil, lookFault(errTermClosed)
	case <-beforeDeadline(ctx):
	}
	t.post(func() { t.dropWaiter(id, done) })
	look, cancel := context.WithTimeout(context.WithoutCancel(ctx), t.o.CallTimeout)
	defer cancel()
	return t.status(look, id)
}

// replyMargin is kept for the way back, so that a waiter hears the latest status in time.
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

// list gives live jobs first, then the lately ended.
func (t *term) list(most int) []job.Status {
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
	out := make([]job.Status, 0, min(most, len(entries)))
	for _, e := range entries[:min(most, len(entries))] {
		s := e.status(t.o.Zone)
		for i := range s.Tasks {
			s.Tasks[i].Answer = nil
		}
		out = append(out, s)
	}
	return out
}
