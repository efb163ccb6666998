package webcall

import (
	"context"
	"net"
	"time"
)

// Options are what a Pool is made of.
type Options struct {
	Dial           func(ctx context.Context, address string) (net.Conn, error)
	Timeout        time.Duration
	MaxReplyBytes  int64
	MaxIdlePerHost int
	MaxIdle        int

	connections int
}

// Option sets up a Pool.
type Option func(*Options)

// Dial sets how connections are opened.
func Dial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(o *Options) { o.Dial = dial }
}

// Timeout bounds a call whose context has no deadline.
func Timeout(d time.Duration) Option { return func(o *Options) { o.Timeout = d } }

// MaxReplyBytes bounds one reply.
func MaxReplyBytes(n int64) Option { return func(o *Options) { o.MaxReplyBytes = n } }

// MaxIdle bounds the idle connections to one address and to all.
func MaxIdle(perHost, all int) Option {
	return func(o *Options) { o.MaxIdlePerHost, o.MaxIdle = perHost, all }
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}
