package connection

import (
	"net"
	"sync"
	"time"
)

// Timeouts end connections that stand still.
type Timeouts struct {
	// Header limits the time from the first byte of a request to the end of its headers, and from the opening of a
	// connection to the first byte.
	Header time.Duration
	// Idle limits the time between two requests, and the time in which a caller has to take a part of an answer.
	Idle time.Duration
}

// Conn is a connection of a caller. It ends reads and writes that stand still, as the timeouts that apply at that time say.
type Conn struct {
	net.Conn
	holder   *Holder
	timeouts func() Timeouts

	mu sync.Mutex
	// since is when the connection was opened, ended its last request or received the first byte of its next one.
	since time.Time
	// head follows the headers of the request being received.
	head head
	// first is true until the first request has been received.
	first bool
	// readUntil and writeUntil are the deadlines that the server has set, armedUntil is the one in force for reads.
	readUntil, writeUntil, armedUntil time.Time
}

func newConn(inner net.Conn, b *Budget, timeouts func() Timeouts) *Conn {
	c := &Conn{Conn: inner, timeouts: timeouts, since: time.Now(), first: true}
	c.holder = b.Open(func() { inner.Close() })
	return c
}

// Read reads a part of a request.
func (c *Conn) Read(p []byte) (int, error) {
	c.armRead()
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received(p[:n])
	}
	return n, err
}

// armRead sets the deadline of the next read: that of the server, or that of the headers if it comes first.
func (c *Conn) armRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arm(earlier(c.readUntil, c.headUntil()))
}

// headUntil returns until when the headers may arrive; zero if the connection receives none.
func (c *Conn) headUntil() time.Time {
	t := c.timeouts()
	switch {
	case c.head.ended:
		return time.Time{}
	case c.head.started || c.first:
		return c.since.Add(t.Header)
	default:
		return c.since.Add(t.Idle)
	}
}

func (c *Conn) arm(until time.Time) {
	if until.Equal(c.armedUntil) {
		return
	}
	c.armedUntil = until
	_ = c.Conn.SetReadDeadline(until) // fails if the connection is closed, and so does the read
}

// received follows the headers.
func (c *Conn) received(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.head.started && !c.head.ended {
		c.since = time.Now()
		c.holder.Receiving()
	}
	c.head.add(p)
}

// beginRequest records that the headers of a request have been parsed.
func (c *Conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.ended, c.first = true, false
	c.arm(c.readUntil)
}

// endRequest records that a request has been answered.
func (c *Conn) endRequest() {
	c.mu.Lock()
	c.head, c.since = head{}, time.Now()
	c.mu.Unlock()
	c.holder.Idle()
}

// SetReadDeadline sets the deadline of the server.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readUntil, c.armedUntil = t, t
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline of the server.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeUntil = t
	return c.Conn.SetWriteDeadline(t)
}

// Write writes a part of an answer.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	until := earlier(c.writeUntil, time.Now().Add(c.timeouts().Idle))
	c.mu.Unlock()
	if err := c.Conn.SetWriteDeadline(until); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// CloseWrite closes the sending side, so that the caller can read the last answer although it has sent more than was read.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and returns what it holds.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.holder.Close()
	return err
}

// earlier returns the earlier of two times; zero stands for never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
