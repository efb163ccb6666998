package connection

import (
	"context"
	"net"
	"net/http"
)

// NewServer returns an HTTP server for connections of a Listener.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{Handler: serveWithin(h), ConnContext: withConn} //nolint:gosec // a Conn has the limits
}

// connKey is the key of a request's Conn in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return ctx
}

// fromContext returns the connection of a request, or nil if it came over none of a Listener.
func fromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// serveWithin tells the connections when their requests begin and end.
func serveWithin(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := fromContext(r.Context())
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		c.beginRequest()
		aborted := true
		defer func() { c.endRequest(aborted || r.Close || w.Header().Get("Connection") == "close") }()
		if err := c.holder.Serve(); err != nil {
			panic(http.ErrAbortHandler)
		}
		closeUnlessRead(w, r)
		h.ServeHTTP(w, r)
		c.dropBody(w, r)
		aborted = false
	})
}

// Listener admits connections within a budget.
type Listener struct {
	net.Listener
	budget *Budget
	limits func() RequestLimits
}

// Listen returns a listener that admits the connections of another one within a budget.
func Listen(l net.Listener, b *Budget, limits func() RequestLimits) *Listener {
	return &Listener{Listener: l, budget: b, limits: limits}
}

// Accept returns the next connection, once the budget admits it.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(conn, l.budget, l.limits), nil
}
