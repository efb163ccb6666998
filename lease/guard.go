package lease

import (
	"errors"
	"net"
)

// ErrExpired means that nothing was written, because the lease that allows the write can no longer be trusted.
var ErrExpired = errors.New("lease expired before the write")

// guardedConn checks the lease before each write.
type guardedConn struct {
	net.Conn
	valid func() bool
}

// Guard returns conn with a Write that fails with ErrExpired, before its first byte, unless valid returns true.
// The check is as close to the send as a process can place it: a message that waited in a queue, or for a connection,
// while its process was paused is not sent. A pause after the check is not covered.
func Guard(conn net.Conn, valid func() bool) net.Conn { return &guardedConn{conn, valid} }

// Write writes p if the lease is valid.
func (g *guardedConn) Write(p []byte) (int, error) {
	if !g.valid() {
		return 0, ErrExpired
	}
	return g.Conn.Write(p)
}
