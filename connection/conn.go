package connection

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// RequestLimits are the limits of single requests.
type RequestLimits struct {
	// HeaderBytes limits the headers of a request on the wire; some bytes more are accepted.
	HeaderBytes int
	// HeaderTimeout limits the time from the first byte of a request to the end of its headers, and from the opening of a
	// connection to the first byte.
	HeaderTimeout time.Duration
	// BodyTimeout limits the time in which a handler that does not use ReadBody has to read the body of a request; zero
	// means that it may take any time.
	BodyTimeout time.Duration
	// IdleTimeout limits the time between two requests, and the time in which a caller has to take a part of an answer.
	IdleTimeout time.Duration
}

const (
	// headerSlack is how many bytes of headers are accepted beyond the limit.
	headerSlack = 4 << 10
	// progressBytes is how much of a request a connection must receive not to count as standing still.
	progressBytes = 4 << 10
	// rejectTimeout and rejectBytes limit what is read and dropped so that a caller can read why its request is rejected.
	rejectTimeout = 500 * time.Millisecond
	rejectBytes   = 256 << 10
)

// headersTooLarge is the answer to a request whose headers are too large.
const headersTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

var errHeadersTooLarge = errors.New("the headers of the request are too large")

// Conn is a connection of a caller. It ends reads and writes that stand still, as the limits that apply at that time say.
type Conn struct {
	net.Conn
	holder *Holder
	limits func() RequestLimits

	mu sync.Mutex
	// since is when the connection was opened, ended its last request or received the first byte of its next one.
	since time.Time
	// head follows the headers of the request being received.
	head head
	// headHeld is the memory taken for it, and progress the bytes of it that the connection had received when it last
	// counted as making progress.
	headHeld int64
	progress int
	// tail counts the lines read last behind the headers: they may belong to the next request.
	tail head
	// first is true until the first request has been received.
	first bool
	// readUntil and writeUntil are the deadlines that the server has set, armedUntil is the one in force for reads.
	readUntil, writeUntil, armedUntil time.Time
}

func newConn(inner net.Conn, b *Budget, limits func() RequestLimits) *Conn {
	c := &Conn{Conn: inner, limits: limits, since: time.Now(), first: true}
	c.holder = b.Open(func() { inner.Close() })
	return c
}

// Read reads a part of a request.
func (c *Conn) Read(p []byte) (int, error) {
	c.armRead()
	n, err := c.Conn.Read(p)
	if n > 0 {
		if rejected := c.received(p[:n]); rejected != nil {
			// The server answers any other kind of error, as if the request was malformed.
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: rejected}
		}
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
	l := c.limits()
	switch {
	case c.head.ended:
		return time.Time{}
	case c.head.started || c.first:
		return c.since.Add(l.HeaderTimeout)
	default:
		return c.since.Add(l.IdleTimeout)
	}
}

func (c *Conn) arm(until time.Time) {
	if until.Equal(c.armedUntil) {
		return
	}
	c.armedUntil = until
	_ = c.Conn.SetReadDeadline(until) // fails if the connection is closed, and so does the read
}

// received follows the headers and takes the memory that they need once they are parsed.
func (c *Conn) received(p []byte) error {
	c.mu.Lock()
	receiving, first := !c.head.ended, !c.head.started
	if receiving && first {
		c.since = time.Now()
	}
	c.tail = head{}
	c.tail.countLines(p[c.head.add(p):])
	need := c.head.parsedBytes() - c.headHeld
	tooLarge := c.head.bytes > c.limits().HeaderBytes+headerSlack
	progress := c.head.bytes - c.progress
	if progress >= progressBytes {
		c.progress = c.head.bytes
	}
	c.mu.Unlock()
	switch {
	case !receiving:
		return nil
	case tooLarge:
		c.reject()
		return errHeadersTooLarge
	case first || progress >= progressBytes:
		c.holder.Receiving()
	}
	if need <= 0 {
		return nil
	}
	if err := c.holder.Grow(need); err != nil {
		return err
	}
	c.headHeld += need
	return nil
}

// reject answers a request whose headers are too large.
func (c *Conn) reject() {
	if _, err := c.Write([]byte(headersTooLarge)); err != nil || c.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(rejectTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, rejectBytes)) // ends at the deadline at the latest
}

// beginRequest records that the headers of a request have been parsed.
func (c *Conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.ended, c.first = true, false
	if d := c.limits().BodyTimeout; d > 0 {
		c.readUntil = time.Now().Add(d)
	}
	c.arm(c.readUntil)
}

// endRequest records that a request has been answered, and whether the connection is closed then.
func (c *Conn) endRequest(closing bool) {
	c.mu.Lock()
	c.since = time.Now()
	if closing {
		// The server would read the rest of the body first.
		c.readUntil = c.since
		c.arm(c.since)
	} else {
		c.head, c.readUntil = c.tail, time.Time{}
	}
	c.tail, c.headHeld, c.progress = head{}, 0, 0
	c.mu.Unlock()
	if closing {
		c.holder.Receiving() // the server holds the request until it has closed the connection
	} else {
		c.holder.Idle()
	}
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
	until := earlier(c.writeUntil, time.Now().Add(c.limits().IdleTimeout))
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
