package web

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"turmericgap/webcall"
	"turmericgap/worker"
)

// Paths below a worker's address.
const (
	StartPath     = "/start"
	HeartbeatPath = "/heartbeat"
	ActPath       = "/act"
)

// DefaultCalls limits the concurrent calls to one worker, not counting heartbeats.
const DefaultCalls = 4

// New returns a worker.Dial whose clients share the connection pool.
func New(pool *webcall.Pool) worker.Dial {
	return func(info worker.Info, valid func() bool) *worker.Client {
		c := &client{pool: pool, info: info, valid: valid, calls: make(chan struct{}, DefaultCalls)}
		return &worker.Client{Start: c.start, Heartbeat: c.heartbeat, Act: c.act}
	}
}

type client struct {
	pool  *webcall.Pool
	info  worker.Info
	valid func() bool
	// calls is a semaphore for Start and Act calls in progress.
	calls     chan struct{}
	truncated worker.TruncatedReplies
}

func (c *client) start(ctx context.Context, s *worker.Start) (*worker.Report, error) {
	return c.callIfValid(ctx, &webcall.Call{Path: StartPath, In: s, TraceParent: s.TraceParent})
}

func (c *client) act(ctx context.Context, a *worker.Act) (*worker.Report, error) {
	return c.callIfValid(ctx, &webcall.Call{Path: ActPath, In: a})
}

// callIfValid sends a Start or Act unless the sender's ownership is no longer valid.
func (c *client) callIfValid(ctx context.Context, call *webcall.Call) (*worker.Report, error) {
	select {
	case c.calls <- struct{}{}:
		defer func() { <-c.calls }()
	case <-ctx.Done():
		return nil, errors.Join(worker.ErrNotSent, ctx.Err())
	}
	if !c.valid() {
		return nil, worker.ErrNotSent
	}
	out := &worker.Report{}
	call.Address, call.Out, call.Valid = c.info.Address, out, c.valid
	if err := c.pool.Do(ctx, call); err != nil {
		return nil, c.wrap(call.Path, err)
	}
	if err := out.Check(); err != nil {
		return nil, c.wrap(call.Path, err)
	}
	return out, nil
}

func (c *client) heartbeat(ctx context.Context, h *worker.Heartbeat) (*worker.HeartbeatReply, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		wait := time.Duration(h.WaitMillis) * time.Millisecond
		ctx, cancel = context.WithTimeout(ctx, wait+webcall.DefaultTimeout)
		defer cancel()
	}
	out := &worker.HeartbeatReply{}
	call := &webcall.Call{Address: c.info.Address, Path: HeartbeatPath, In: h, Out: out}
	if err := c.pool.Do(ctx, call); err != nil {
		return nil, c.wrap(HeartbeatPath, err)
	}
	if err := c.truncated.Check(out); err != nil {
		return nil, c.wrap(HeartbeatPath, err)
	}
	return out, nil
}

// wrap translates a transport error to an error of package worker.
func (c *client) wrap(path string, err error) error {
	switch {
	case errors.Is(err, webcall.ErrNotSent):
		err = errors.Join(worker.ErrNotSent, err)
	case webcall.StatusCode(err) == http.StatusConflict:
		err = errors.Join(worker.ErrRefused, err)
	}
	return fmt.Errorf("worker %s %s: %w", c.info.ID, path, err)
}
