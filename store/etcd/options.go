package etcd

import (
	"context"
	"net"
	"time"
)

// Option sets up a client.
type Option func(*client)

// Timeout bounds a call whose context has no earlier deadline.
func Timeout(d time.Duration) Option { return func(c *client) { c.timeout = d } }

// MaxConns bounds the connections for calls; each watch has one more of its own.
func MaxConns(n int) Option { return func(c *client) { c.maxConns = n } }

// MaxResponseBytes bounds the body of one answer.
func MaxResponseBytes(n int64) Option { return func(c *client) { c.maxBytes = n } }

// Dial sets how connections are opened; the default is TCP.
func Dial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *client) { c.dial = dial }
}
