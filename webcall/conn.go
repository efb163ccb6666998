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
	errNotValid = errors.New("the sender may no longer send")
	errGivenUp  = errors.New("the call was given up")
)

// sending is one call on its way out.
type sending struct {
	valid   func() bool
	mu      sync.Mutex
	wrote   bool
	givenUp bool
}

// trace binds the call to the connection that the transport picks for it.
func (s *sending) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) {
		if c, ok := got.Conn.(*conn); ok {
			c.sending.Store(s)
		}
	}}
}

// mayWrite is asked directly before each write.
func (s *sending) mayWrite() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.givenUp {
		return errGivenUp
	}
	if s.valid != nil && !s.valid() {
		return errNotValid
	}
	s.wrote = true
	return nil
}

// giveUp ends the call and reports whether no byte of it has left.
//
// Failure: the caller's deadline passes while the transport's writer is about to write.
// Symptom: "not sent" is said of a call whose bytes leave a moment later.
// After giveUp no write of the call begins, so that its verdict stays true.
func (s *sending) giveUp() (notSent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.givenUp = true
	return !s.wrote
}

// conn asks the call that it carries before each write. It carries one call at a time.
type conn struct {
	net.Conn
	sending atomic.Pointer[sending]
}

// Write sends p, unless the call may no longer be sent.
//
// Failure: the process is paused between the caller's check and the send, and its lease lapses.
// Symptom: a start of a replaced owner reaches a worker that does not guard.
// The check stands in the goroutine that makes the system call, after all waits for a connection.
func (c *conn) Write(p []byte) (int, error) {
	if s := c.sending.Load(); s != nil {
		if err := s.mayWrite(); err != nil {
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
