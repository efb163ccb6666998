package webcall

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults.
const (
	// DefaultTimeout bounds a call whose context has no deadline.
	DefaultTimeout = 5 * time.Second
	// DefaultMaxReplyBytes bounds one reply.
	DefaultMaxReplyBytes = 4 << 20
	// DefaultMaxIdlePerHost bounds the idle connections to one address.
	DefaultMaxIdlePerHost = 16
	// DefaultMaxIdle bounds the idle connections to all addresses.
	DefaultMaxIdle = 512

	dialTimeout     = time.Second
	idleTimeout     = time.Minute
	readBufferBytes = 2 << 10
	maxReasonBytes  = 512
	// limitedKeep is how long an unused pool of a single callee is remembered.
	limitedKeep = 10 * time.Minute
	traceHeader = "Traceparent"
)

// ErrNotSent means that no byte of the call left this process.
var ErrNotSent = errors.New("not sent")

// StatusError is a reply other than 200: a definite answer of the callee.
type StatusError struct {
	Code   int
	Reason string
}

// Error gives the code and the reason.
func (s *StatusError) Error() string { return fmt.Sprintf("status %d: %s", s.Code, s.Reason) }

// StatusCode gives the code of the Status within err, or zero.
func StatusCode(err error) int {
	var s *StatusError
	if errors.As(err, &s) {
		return s.Code
	}
	return 0
}

// Pool holds the connections to all callees.
type Pool struct {
	opts      Options
	transport *http.Transport
	// used is when the pool last sent a call, in nanoseconds.
	used atomic.Int64

	mu      sync.Mutex
	limited map[limit]*Pool
}

// limit names a pool of a single callee.
type limit struct {
	address     string
	connections int
}

// New returns a pool that dials TCP.
func New(opts ...Option) *Pool {
	o := Options{
		Dial: dialTCP, Timeout: DefaultTimeout, MaxReplyBytes: DefaultMaxReplyBytes,
		MaxIdlePerHost: DefaultMaxIdlePerHost, MaxIdle: DefaultMaxIdle,
	}
	for _, f := range opts {
		f(&o)
	}
	return build(o)
}

func build(o Options) *Pool {
	p := &Pool{opts: o, limited: make(map[limit]*Pool)}
	p.transport = &http.Transport{
		DialContext:         p.dial,
		DisableCompression:  true,
		MaxIdleConns:        o.MaxIdle,
		MaxIdleConnsPerHost: o.MaxIdlePerHost,
		MaxConnsPerHost:     o.connections,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      readBufferBytes,
		Protocols:           new(http.Protocols),
	}
	p.transport.Protocols.SetHTTP1(true)
	return p
}

// Limited gives the pool of one callee, to which at most that many connections are open or opened at
// once.
//
// Failure: a callee is slow to accept, and each call that is given up leaves its dial behind.
// Symptom: more connections than the callee can hold. net/http counts the dials left behind too.
func (p *Pool) Limited(address string, connections int) *Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for key, l := range p.limited {
		if now.Sub(time.Unix(0, l.used.Load())) > limitedKeep {
			l.Close()
			delete(p.limited, key)
		}
	}
	key := limit{address, max(1, connections)}
	l, ok := p.limited[key]
	if !ok {
		o := p.opts
		o.connections = key.connections
		o.MaxIdlePerHost = min(o.MaxIdlePerHost, key.connections)
		l = build(o)
		l.used.Store(now.UnixNano())
		p.limited[key] = l
	}
	return l
}

// Close ends all idle connections.
func (p *Pool) Close() {
	p.transport.CloseIdleConnections()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.limited {
		l.Close()
	}
}

// Call is one request.
type Call struct {
	// Address is an IP number and port, with a path below it if the callee has one.
	Address string
	Path    string
	// In is sent as JSON by POST; nil makes the call a GET.
	In any
	// Out receives the reply's JSON.
	Out any
	// Valid, if set, is asked before every write to the connection; once it says no, nothing more
	// of the call leaves.
	Valid func() bool
	// TraceParent is the trace context that travels with the call.
	TraceParent string
}

// Do sends a call and waits for its reply. ErrNotSent and a Status are definite; any other error
// leaves open whether the call took effect.
func (p *Pool) Do(ctx context.Context, c *Call) error {
	p.used.Store(time.Now().UnixNano())
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.opts.Timeout)
		defer cancel()
	}
	s := &sending{valid: c.Valid}
	req, err := request(httptrace.WithClientTrace(ctx, s.trace()), c)
	if err != nil {
		return errors.Join(ErrNotSent, err)
	}
	resp, err := p.transport.RoundTrip(req)
	if err != nil {
		if s.giveUp() {
			return errors.Join(ErrNotSent, err)
		}
		return err
	}
	defer resp.Body.Close()
	return p.read(resp, c.Out)
}

func request(ctx context.Context, c *Call) (*http.Request, error) {
	method := http.MethodGet
	var body io.Reader
	if c.In != nil {
		raw, err := json.Marshal(c.In)
		if err != nil {
			return nil, err
		}
		method, body = http.MethodPost, bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+c.Path, body)
	if err != nil {
		return nil, err
	}
	if c.TraceParent != "" {
		req.Header.Set(traceHeader, c.TraceParent)
	}
	return req, nil
}

func (p *Pool) read(resp *http.Response, out any) error {
	if resp.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes))
		return &StatusError{Code: resp.StatusCode, Reason: strings.TrimSpace(string(reason))}
	}
	// The body is read to its end even if nobody wants it, or the connection could not be used again.
	raw, err := io.ReadAll(io.LimitReader(resp.Body, p.opts.MaxReplyBytes+1))
	if err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if int64(len(raw)) > p.opts.MaxReplyBytes {
		return fmt.Errorf("reply is longer than %d bytes", p.opts.MaxReplyBytes)
	}
	return json.Unmarshal(raw, out)
}
