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

// DefaultCalls is how many calls may be on their way to one worker at once, the heartbeat aside.
const DefaultCalls = 4

// New returns the dialler of workers; all its clients share one pool of connections.
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
	// calls holds one token for each Start or Act in progress.
	calls chan struct{}
	cuts  worker.TruncatedReplies
}

func (c *client) start(ctx context.Context, s *worker.Start) (*worker.Report, error) {
	return c.guarded(ctx, &webcall.Call{Path: StartPath, In: s, TraceParent: s.TraceParent})
}

func (c *client) act(ctx context.Context, a *worker.Act) (*worker.Report, error) {
	return c.guarded(ctx, &webcall.Call{Path: ActPath, In: a})
}

func (c *client) guarded(ctx context.Context, call *webcall.Call) (*worker.Report, error) {
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
	if err := c.cuts.Check(out); err != nil {
		return nil, c.wrap(HeartbeatPath, err)
	}
	return out, nil
}

// wrap gives a transport's error its meaning for workers.
func (c *client) wrap(path string, err error) error {
	switch {
	case errors.Is(err, webcall.ErrNotSent):
		err = errors.Join(worker.ErrNotSent, err)
	case webcall.StatusCode(err) == http.StatusConflict:
		err = errors.Join(worker.ErrRefused, err)
	}
	return fmt.Errorf("worker %s %s: %w", c.info.ID, path, err)
}
