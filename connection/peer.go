package connection

import (
	"cmp"
	"math"
	"net"

	"golang.org/x/sys/unix"
)

// peersDivisor divides the files of a process to get how many connections other processes of the cell may open to it.
const peersDivisor = 2

// PeerLimits returns the limits of connections that other processes of the cell open, for a process that may open so many
// files. Zero stands for the default.
func PeerLimits(files int) Limits {
	return Limits{Connections: max((cmp.Or(files, DefaultFiles)-fileReserve)/peersDivisor, 1), Bytes: math.MaxInt64}
}

// OpenFiles returns how many files the system lets this process open, or zero if that is not known.
func OpenFiles() int {
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil {
		return 0
	}
	return int(min(files.Cur, math.MaxInt32))
}

// PeerListener admits connections that carry messages both ways, such as those of rpc. At the limit it closes the one on
// which nothing has arrived for longest.
type PeerListener struct {
	net.Listener
	budget *Budget
}

// ListenPeers returns a listener that admits the connections of another one within a budget.
func ListenPeers(l net.Listener, b *Budget) *PeerListener {
	return &PeerListener{Listener: l, budget: b}
}

// Accept returns the next connection, once the budget admits it.
func (l *PeerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &peerConn{Conn: conn, holder: l.budget.Open(func() { conn.Close() })}, nil
}

type peerConn struct {
	net.Conn
	holder *Holder
}

// Read reads a part of a message.
func (c *peerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	switch {
	case n > 0:
		c.holder.Idle()
	case err != nil && c.holder.Evicted():
		c.holder.Close() // the connection is closed, whatever calls on it have not ended
	}
	return n, err
}

// Close closes the connection and returns what it holds.
func (c *peerConn) Close() error {
	err := c.Conn.Close()
	c.holder.Close()
	return err
}
