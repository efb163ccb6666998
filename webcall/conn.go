package webcall

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

var (
	errNotValid  = errors.New("the sender is no longer allowed to send")
	errAbandoned = errors.New("the call was abandoned")
)

// outgoing is the send state of one call.
type outgoing struct {
	valid     func() bool
	mu        sync.Mutex
	wrote     bool
	abandoned bool
}

// trace attaches the call to the connection that the transport selects for it.
func (s *outgoing) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) {
		if c, ok := got.Conn.(*conn); ok {
			c.call.Store(s)
		}
	}}
}

// beforeWrite is called right before each write and returns an error if the write must not happen.
func (s *outgoing) beforeWrite() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.abandoned {
		return errAbandoned
	}
	if s.valid != nil && !s.valid() {
		return errNotValid
	}
	s.wrote = true
	return nil
}

// abandon ends the call and reports whether no byte of it was sent.
//
// The caller's deadline may pass while the transport is about to write. No write of the call starts
// after abandon, so a call reported as not sent cannot leave a moment later.
func (s *outgoing) abandon() (notSent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned = true
	return !s.wrote
}

// conn checks before each write that its current call may still be sent. It carries one call at a time.
type conn struct {
	net.Conn
	call atomic.Pointer[outgoing]
}

// Write sends p, unless the call may no longer be sent.
//
// If the process is paused between the caller's check and the send, its lease may expire, and a start
// from a replaced owner could reach a worker that does not check epochs. The check therefore runs in
// the goroutine that makes the system call, after all waits for a connection.
func (c *conn) Write(p []byte) (int, error) {
	if s := c.call.Load(); s != nil {
		if err := s.beforeWrite(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

func (p *Pool) dial(ctx context.Context, _, address string) (net.Conn, error) {
	inner, err := p.opts.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: inner}, nil
}
