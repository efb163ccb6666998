package lease

import (
	"errors"
	"net"
)

// ErrExpired means that nothing was written, as the lease that allows it cannot be trusted any more.
var ErrExpired = errors.New("lease lapsed before the write")

// guarded asks before each write.
type guarded struct {
	net.Conn
	valid func() bool
}

// Guard returns conn with a Write that fails with ErrLapsed, before its first byte, unless valid.
// It stands as close to the send as a process can check: a message that waited in a queue, or for a
// connection, while its process was paused does not leave. A pause after the check is not covered.
func Guard(conn net.Conn, valid func() bool) net.Conn { return &guarded{conn, valid} }

// Write writes p while the lease is valid.
func (g *guarded) Write(p []byte) (int, error) {
	if !g.valid() {
		return 0, ErrExpired
	}
	return g.Conn.Write(p)
}
