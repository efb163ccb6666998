package endpoint

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Pipe serves a handler over connections in memory, which let a paused clock advance.
type Pipe struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	server *http.Server
	ended  chan struct{}
}

// NewPipe starts to serve h.
func NewPipe(h http.Handler) *Pipe {
	p := &Pipe{
		conns: make(chan net.Conn), closed: make(chan struct{}), ended: make(chan struct{}),
		server: &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout},
	}
	go func() {
		defer close(p.ended)
		_ = p.server.Serve(listener{p})
	}()
	return p
}

// Dial opens a connection, whatever the address.
func (p *Pipe) Dial(ctx context.Context, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.conns <- far:
		return near, nil
	case <-p.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Close cuts all connections and refuses new ones.
func (p *Pipe) Close() {
	p.once.Do(func() { close(p.closed) })
	_ = p.server.Close()
	<-p.ended
}

// listener accepts the far ends of the pipe's connections.
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
