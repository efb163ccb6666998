package web

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"turmericgap/gate/target"
	"turmericgap/webcall"
)

// DoPath is the path below a target's address.
const DoPath = "/do"

// New returns the dialler of targets.
func New(pool *webcall.Pool) target.Dial {
	return func(info target.Info, connections int) *target.Client {
		connections = max(1, connections)
		c := &client{
			pool: pool.Limited(info.Address, connections), info: info, connections: make(chan struct{}, connections),
		}
		return &target.Client{Do: c.do}
	}
}

type client struct {
	pool *webcall.Pool
	info target.Info
	// connections holds one token for each request in progress; a request that waits for one has
	// surely not been sent.
	connections chan struct{}
}

func (c *client) do(ctx context.Context, r *target.Request) (*target.Response, error) {
	select {
	case c.connections <- struct{}{}:
		defer func() { <-c.connections }()
	case <-ctx.Done():
		return nil, errors.Join(target.ErrNotSent, ctx.Err())
	}
	out := &target.Response{}
	call := &webcall.Call{Address: c.info.Address, Path: DoPath, In: r, Out: out, TraceParent: r.Parent}
	if err := c.pool.Do(ctx, call); err != nil {
		return nil, c.wrap(err)
	}
	if err := out.Check(r.ID); err != nil {
		return nil, c.wrap(err)
	}
	return out, nil
}

// wrap gives a transport's error its meaning for targets.
func (c *client) wrap(err error) error {
	switch {
	case errors.Is(err, webcall.ErrNotSent):
		err = errors.Join(target.ErrNotSent, err)
	case webcall.StatusCode(err) == http.StatusConflict:
		err = errors.Join(target.ErrRefused, err)
	}
	return fmt.Errorf("target %s: %w", c.info.ID, err)
}
