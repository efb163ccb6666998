package rpc

import (
	"context"
	"net"
	"time"
)

// dialTimeout is many times the round trip between zones, so a peer that has not answered by then is down.
const dialTimeout = 500 * time.Millisecond

// Option configures a Client.
type Option func(*Client)

// Dial sets how connections are opened; the default is TCP.
func Dial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.dial = dial }
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}
