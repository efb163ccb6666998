package etcd

import (
	"context"
	"net"
	"time"
)

// Option configures a client.
type Option func(*client)

// Timeout limits the duration of a call; an earlier deadline of the context takes precedence.
func Timeout(d time.Duration) Option { return func(c *client) { c.timeout = d } }

// MaxConns limits the connections for calls. Each watch uses an additional connection.
func MaxConns(n int) Option { return func(c *client) { c.maxConns = n } }

// MaxResponseBytes limits the size of a response body and of a watch message.
func MaxResponseBytes(n int64) Option { return func(c *client) { c.maxBytes = n } }

// Dial sets the function that opens connections; the default uses TCP.
func Dial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *client) { c.dial = dial }
}
