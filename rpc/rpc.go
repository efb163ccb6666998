package rpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	netrpc "net/rpc"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	oteltrace "go.opentelemetry.io/otel/trace"

	"turmericgap/finding"
	"turmericgap/trace"
)

// Defaults.
const (
	// DefaultTimeout limits a call whose context has no deadline.
	DefaultTimeout = 5 * time.Second
	// MaxMessageBytes limits the size of a message in either direction.
	MaxMessageBytes = 4 << 20
	tracerName      = "turmericgap/rpc"
)

// Code classifies a fault by what its caller may conclude.
type Code string

// The codes of faults. Each is a definite answer from the server, unlike a lost reply.
const (
	// CodeRefused means that nothing was done and nothing will be.
	CodeRefused Code = "refused"
	// CodeInvalid means that the request is invalid, as Findings says, and nothing was done.
	CodeInvalid Code = "invalid"
	// CodeConflict means that another change came first and nothing was done.
	CodeConflict Code = "conflict"
	// CodeNotFound means that the requested object does not exist.
	CodeNotFound Code = "notFound"
	// CodeDenied means that the caller is not known; nothing was done.
	CodeDenied Code = "denied"
	// CodeNotOwner means that another process owns the object; nothing was done here.
	CodeNotOwner Code = "notOwner"
	// CodeMoved means that the request belongs to the zone in Fault.Zone; nothing was started here.
	CodeMoved Code = "moved"
	// CodeBusy means that the callee has more to do than it can; nothing was done, and no earlier try of the same request
	// will be.
	CodeBusy Code = "busy"
	// CodeUnknown means that the request may have taken effect.
	CodeUnknown Code = "unknown"
)

// Fault is a typed error returned by the server.
type Fault struct {
	Code     Code         `msgpack:"c"`
	Reason   string       `msgpack:"r"`
	Findings finding.List `msgpack:"f,omitempty"`
	// RetryAfter is how long the caller should wait before a retry; zero means that a retry is useless.
	RetryAfter time.Duration `msgpack:"a,omitempty"`
	// Zone is set with CodeMoved.
	Zone string `msgpack:"z,omitempty"`
}

// Error implements error.
func (f *Fault) Error() string { return string(f.Code) + ": " + f.Reason }

// Refused returns a fault with CodeRefused.
func Refused(retryAfter time.Duration, format string, args ...any) *Fault {
	return &Fault{Code: CodeRefused, Reason: fmt.Sprintf(format, args...), RetryAfter: retryAfter}
}

// AsFault returns the fault in err, or nil if it has none. An error of Call without a fault leaves the outcome
// unknown, except for ErrNotSent.
func AsFault(err error) *Fault {
	var f *Fault
	if errors.As(err, &f) {
		return f
	}
	return nil
}

// ErrNotSent means that no byte of the call left this process.
var ErrNotSent = errors.New("not sent")

// Envelope is a request with the deadline and trace that net/rpc does not carry.
type Envelope[Req any] struct {
	// TimeLeft is the time from the sending of the request until the caller's deadline.
	TimeLeft    time.Duration `msgpack:"l"`
	TraceParent string        `msgpack:"t,omitempty"`
	Body        Req           `msgpack:"b"`
}

// Reply is a response or a fault.
type Reply[Resp any] struct {
	Fault *Fault `msgpack:"f,omitempty"`
	Body  Resp   `msgpack:"b"`
}

// endpoint is the receiver registered with net/rpc; its only method is Call.
type endpoint[Req, Resp any] struct {
	name   string
	handle func(context.Context, *Req) (*Resp, error)
}

// Call runs the handler with the deadline and the trace of the envelope.
func (e *endpoint[Req, Resp]) Call(in *Envelope[Req], out *Reply[Resp]) error {
	ctx, cancel := context.WithTimeout(trace.WithParent(context.Background(), in.TraceParent), in.TimeLeft)
	defer cancel()
	ctx, span := otel.Tracer(tracerName).Start(ctx, "serve "+e.name, oteltrace.WithSpanKind(oteltrace.SpanKindServer))
	defer span.End()
	body, err := e.handle(ctx, &in.Body)
	if err == nil {
		out.Body = *body
		return nil
	}
	span.SetStatus(codes.Error, err.Error())
	if out.Fault = AsFault(err); out.Fault == nil {
		// With an untyped error it is unknown what was done.
		out.Fault = &Fault{Code: CodeUnknown, Reason: err.Error()}
	}
	return nil
}

// Server serves typed calls.
type Server struct {
	inner  *netrpc.Server
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	wg     sync.WaitGroup
}

// NewServer returns a server without handlers.
func NewServer() *Server {
	return &Server{inner: netrpc.NewServer(), conns: make(map[net.Conn]struct{})}
}

// Handle registers a handler under name. It panics if the name is taken, which is a programming error.
func Handle[Req, Resp any](s *Server, name string, handle func(context.Context, *Req) (*Resp, error)) {
	if err := s.inner.RegisterName(name, &endpoint[Req, Resp]{name: name, handle: handle}); err != nil {
		panic(err)
	}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		s.wg.Go(func() { s.ServeConn(conn) })
	}
}

// ServeConn serves one connection until it ends.
func (s *Server) ServeConn(conn net.Conn) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		conn.Close()
		return
	}
	s.conns[conn] = struct{}{}
	s.mu.Unlock()
	s.inner.ServeCodec(newServerCodec(conn))
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// Close closes all connections; calls in progress get no response.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Call sends one request to the server and waits for a response, a fault or the deadline.
// After an error that is neither a Fault nor ErrNotSent, the request may have taken effect.
func Call[Req, Resp any](ctx context.Context, c *Client, name string, req *Req) (*Resp, error) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	ctx, span := otel.Tracer(tracerName).Start(ctx, "call "+name,
		oteltrace.WithSpanKind(oteltrace.SpanKindClient), oteltrace.WithAttributes(attribute.String("peer", c.address)))
	defer span.End()
	conn, err := c.get(ctx)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		return nil, errors.Join(ErrNotSent, err)
	}
	deadline, _ := ctx.Deadline()
	sent := time.Now()
	in := &Envelope[Req]{TimeLeft: time.Until(deadline), TraceParent: trace.Parent(ctx), Body: *req}
	out := &Reply[Resp]{}
	select {
	case done := <-conn.Go(name+".Call", in, out, make(chan *netrpc.Call, 1)).Done:
		err = done.Error
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		if !isCallerDone(err) || conn.silentSince(sent) {
			c.drop(conn)
		}
		span.SetStatus(codes.Error, err.Error())
		return nil, fmt.Errorf("%s to %s: %w", name, c.address, err)
	}
	conn.lastResponse.Store(time.Now().UnixNano())
	if out.Fault != nil {
		span.SetStatus(codes.Error, out.Fault.Reason)
		return nil, out.Fault
	}
	return &out.Body, nil
}

// isCallerDone reports whether a call ended because its caller stopped waiting, not because the
// connection failed.
func isCallerDone(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// silentAfter is how long a call must have waited, with no response on its connection, before the connection
// is dropped. It is many times the round trip between zones.
const silentAfter = 250 * time.Millisecond

// silentSince reports whether no response arrived on the connection since a call was sent on it. After a
// network partition a connection may stay open and silent for good. Without this check every later call
// on it would time out, although a new connection would work.
func (c *connection) silentSince(sent time.Time) bool {
	return time.Since(sent) > silentAfter && c.lastResponse.Load() < sent.UnixNano()
}

func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, DefaultTimeout)
}
