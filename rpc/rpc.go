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
	// DefaultTimeout bounds a call whose context has no deadline.
	DefaultTimeout = 5 * time.Second
	// MaxMessageBytes bounds one message in either direction.
	MaxMessageBytes = 4 << 20
	tracerName      = "turmericgap/rpc"
)

// Code classes a fault by what its caller may conclude.
type Code string

// The codes of faults; every one of them is a definite answer of the callee.
const (
	// CodeRefused means that nothing was done, nor will be.
	CodeRefused Code = "refused"
	// CodeInvalid means that the request has findings and nothing was done.
	CodeInvalid Code = "invalid"
	// CodeConflict means that another change came first and nothing was done.
	CodeConflict Code = "conflict"
	// CodeNotFound means that the named thing is not there.
	CodeNotFound Code = "notFound"
	// CodeNotOwner means that another process owns the thing; nothing was done here.
	CodeNotOwner Code = "notOwner"
	// CodeMoved means that the request belongs to the zone in Fault.Zone; nothing was started here.
	CodeMoved Code = "moved"
	// CodeUnknown means that the request may have taken effect.
	CodeUnknown Code = "unknown"
)

// Fault is a callee's typed error.
type Fault struct {
	Code     Code         `msgpack:"c"`
	Reason   string       `msgpack:"r"`
	Findings finding.List `msgpack:"f,omitempty"`
	// RetryAfter is when a caller may try again; zero means that trying again is no use.
	RetryAfter time.Duration `msgpack:"a,omitempty"`
	// Zone is set with CodeMoved.
	Zone string `msgpack:"z,omitempty"`
}

// Error gives the code and the reason.
func (f *Fault) Error() string { return string(f.Code) + ": " + f.Reason }

// Refused builds a fault with CodeRefused.
func Refused(retryAfter time.Duration, format string, args ...any) *Fault {
	return &Fault{Code: CodeRefused, Reason: fmt.Sprintf(format, args...), RetryAfter: retryAfter}
}

// AsFault gives the fault within err, or nil where the outcome of the call is not known.
func AsFault(err error) *Fault {
	var f *Fault
	if errors.As(err, &f) {
		return f
	}
	return nil
}

// ErrNotSent marks a call of which no byte left this process.
var ErrNotSent = errors.New("not sent")

// Envelope is a request with what net/rpc does not carry.
type Envelope[Req any] struct {
	// TimeLeft is the time until the caller's deadline, measured when the request was sent.
	TimeLeft    time.Duration `msgpack:"l"`
	TraceParent string        `msgpack:"t,omitempty"`
	Body        Req           `msgpack:"b"`
}

// Reply is an answer or a fault.
type Reply[Resp any] struct {
	Fault *Fault `msgpack:"f,omitempty"`
	Body  Resp   `msgpack:"b"`
}

// endpoint is the receiver that net/rpc calls; its one method is Call.
type endpoint[Req, Resp any] struct {
	name string
	do   func(context.Context, *Req) (*Resp, error)
}

// Call runs the handler within the deadline and the trace of the envelope.
func (e *endpoint[Req, Resp]) Call(in *Envelope[Req], out *Reply[Resp]) error {
	ctx, cancel := context.WithTimeout(trace.WithParent(context.Background(), in.TraceParent), in.TimeLeft)
	defer cancel()
	ctx, span := otel.Tracer(tracerName).Start(ctx, "serve "+e.name, oteltrace.WithSpanKind(oteltrace.SpanKindServer))
	defer span.End()
	body, err := e.do(ctx, &in.Body)
	if err == nil {
		out.Body = *body
		return nil
	}
	span.SetStatus(codes.Error, err.Error())
	if out.Fault = AsFault(err); out.Fault == nil {
		// An untyped error tells nothing of what was done.
		out.Fault = &Fault{Code: CodeUnknown, Reason: err.Error()}
	}
	return nil
}

// Server serves typed calls.
type Server struct {
	inner *netrpc.Server
	mu    sync.Mutex
	conns map[net.Conn]struct{}
	ended bool
	wg    sync.WaitGroup
}

// NewServer returns a server without handlers.
func NewServer() *Server {
	return &Server{inner: netrpc.NewServer(), conns: make(map[net.Conn]struct{})}
}

// Handle registers do under name; it panics when the name is taken, which is a fault of the program.
func Handle[Req, Resp any](s *Server, name string, do func(context.Context, *Req) (*Resp, error)) {
	if err := s.inner.RegisterName(name, &endpoint[Req, Resp]{name: name, do: do}); err != nil {
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
	if s.ended {
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

// Close cuts all connections; calls in progress lose their answers.
func (s *Server) Close() {
	s.mu.Lock()
	s.ended = true
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Call sends one request to the callee and waits for its answer, its fault or the deadline.
// An error that is neither a Fault nor ErrNotSent leaves open whether the request took effect.
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
		if !inTime(err) || conn.silentSince(sent) {
			c.drop(conn)
		}
		span.SetStatus(codes.Error, err.Error())
		return nil, fmt.Errorf("%s to %s: %w", name, c.address, err)
	}
	conn.heard.Store(time.Now().UnixNano())
	if out.Fault != nil {
		span.SetStatus(codes.Error, out.Fault.Reason)
		return nil, out.Fault
	}
	return &out.Body, nil
}

// inTime reports whether a call ended because its caller no longer waits, not because the connection
// has failed.
func inTime(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// silentAfter is how long a connection must have been silent beside a call without an answer to be
// given up. It is many times the way between zones.
const silentAfter = 250 * time.Millisecond

// silentSince reports whether nothing came over the connection since a call was sent on it. After a cut
// a connection may stay open and silent for good: without this every later call over it would wait in
// vain, though a new connection would work.
func (l *link) silentSince(sent time.Time) bool {
	return time.Since(sent) > silentAfter && l.heard.Load() < sent.UnixNano()
}

func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, DefaultTimeout)
}
