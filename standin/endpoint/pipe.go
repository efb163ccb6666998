package endpoint

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Pipe serves an HTTP handler over in-memory connections. Goroutines that wait on them do not block the fake
// clock of a synctest bubble, unlike those that wait on sockets.
type Pipe struct {
	conns     chan net.Conn
	closed    chan struct{}
	once      sync.Once
	server    *http.Server
	serveDone chan struct{}
}

// NewPipe starts a server for h.
func NewPipe(h http.Handler) *Pipe {
	p := &Pipe{
		conns: make(chan net.Conn), closed: make(chan struct{}), serveDone: make(chan struct{}),
		server: &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout},
	}
	go func() {
		defer close(p.serveDone)
		_ = p.server.Serve(listener{p})
	}()
	return p
}

// Dial opens a connection to the server and ignores the address.
func (p *Pipe) Dial(ctx context.Context, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case p.conns <- server:
		return client, nil
	case <-p.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Close closes all connections and rejects new ones.
func (p *Pipe) Close() {
	p.once.Do(func() { close(p.closed) })
	_ = p.server.Close()
	<-p.serveDone
}

// listener accepts the server ends of the connections.
type listener struct{ *Pipe }

func (l listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l listener) Close() error { return nil }

func (l listener) Addr() net.Addr { return &net.IPAddr{} }
