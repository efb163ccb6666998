package webcall

import (
	"context"
	"net"
	"time"
)

// Options configure a Pool.
type Options struct {
	Dial             func(ctx context.Context, address string) (net.Conn, error)
	Timeout          time.Duration
	MaxResponseBytes int64
	MaxIdlePerHost   int
	MaxIdle          int

	maxConnections int
}

// Option configures a Pool.
type Option func(*Options)

// Dial sets how connections are opened.
func Dial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(o *Options) { o.Dial = dial }
}

// Timeout limits a call whose context has no deadline.
func Timeout(d time.Duration) Option { return func(o *Options) { o.Timeout = d } }

// MaxResponseBytes limits the size of a response.
func MaxResponseBytes(n int64) Option { return func(o *Options) { o.MaxResponseBytes = n } }

// MaxIdle limits the idle connections per address and in total.
func MaxIdle(perHost, all int) Option {
	return func(o *Options) { o.MaxIdlePerHost, o.MaxIdle = perHost, all }
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}
