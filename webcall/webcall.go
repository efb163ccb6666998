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
	// DefaultTimeout limits a call whose context has no deadline.
	DefaultTimeout = 5 * time.Second
	// DefaultMaxResponseBytes limits the size of a response.
	DefaultMaxResponseBytes = 4 << 20
	// DefaultMaxIdlePerHost limits the idle connections to one address.
	DefaultMaxIdlePerHost = 16
	// DefaultMaxIdle limits the idle connections to all addresses.
	DefaultMaxIdle = 512

	dialTimeout     = time.Second
	idleTimeout     = time.Minute
	readBufferBytes = 2 << 10
	maxReasonBytes  = 512
	// limitedTTL is how long an unused pool of a single address is kept.
	limitedTTL  = 10 * time.Minute
	traceHeader = "Traceparent"
)

// ErrNotSent means that no byte of the call left this process.
var ErrNotSent = errors.New("not sent")

// StatusError is a response with a status other than 200. It is a definite answer from the server.
type StatusError struct {
	Code   int
	Reason string
}

// Error implements error.
func (s *StatusError) Error() string { return fmt.Sprintf("status %d: %s", s.Code, s.Reason) }

// StatusCode returns the code of the StatusError in err, or zero.
func StatusCode(err error) int {
	var s *StatusError
	if errors.As(err, &s) {
		return s.Code
	}
	return 0
}

// Pool holds the connections to all addresses.
type Pool struct {
	opts      Options
	transport *http.Transport
	// lastUsed is when the pool last sent a call, in nanoseconds.
	lastUsed atomic.Int64

	mu      sync.Mutex
	limited map[limitedKey]*Pool
}

// limitedKey identifies a pool of a single address.
type limitedKey struct {
	address        string
	maxConnections int
}

// New returns a pool that dials TCP.
func New(opts ...Option) *Pool {
	o := Options{
		Dial: dialTCP, Timeout: DefaultTimeout, MaxResponseBytes: DefaultMaxResponseBytes,
		MaxIdlePerHost: DefaultMaxIdlePerHost, MaxIdle: DefaultMaxIdle,
	}
	for _, f := range opts {
		f(&o)
	}
	return newPool(o)
}

func newPool(o Options) *Pool {
	p := &Pool{opts: o, limited: make(map[limitedKey]*Pool)}
	p.transport = &http.Transport{
		DialContext:         p.dial,
		DisableCompression:  true,
		MaxIdleConns:        o.MaxIdle,
		MaxIdleConnsPerHost: o.MaxIdlePerHost,
		MaxConnsPerHost:     o.maxConnections,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      readBufferBytes,
		Protocols:           new(http.Protocols),
	}
	p.transport.Protocols.SetHTTP1(true)
	return p
}

// Limited returns the pool of one address with at most that many connections open or being opened.
//
// When a server is slow to accept, each abandoned call leaves its dial in progress, which could open
// more connections than the server can hold. net/http counts these dials towards the limit.
func (p *Pool) Limited(address string, connections int) *Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for key, l := range p.limited {
		if now.Sub(time.Unix(0, l.lastUsed.Load())) > limitedTTL {
			l.Close()
			delete(p.limited, key)
		}
	}
	key := limitedKey{address, max(1, connections)}
	l, ok := p.limited[key]
	if !ok {
		o := p.opts
		o.maxConnections = key.maxConnections
		o.MaxIdlePerHost = min(o.MaxIdlePerHost, key.maxConnections)
		l = newPool(o)
		l.lastUsed.Store(now.UnixNano())
		p.limited[key] = l
	}
	return l
}

// Close closes all idle connections.
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
	// Address is an IP address and port, followed by a base path if the server has one.
	Address string
	Path    string
	// In is sent as JSON by POST; if nil, the call is a GET.
	In any
	// Out receives the decoded JSON response.
	Out any
	// Valid, if set, is called before every write to the connection. Once it returns false, nothing
	// more of the call is sent.
	Valid func() bool
	// TraceParent is the W3C trace parent sent with the call.
	TraceParent string
}

// Do sends a call and waits for its response. After an error other than ErrNotSent or a StatusError, the
// call may have taken effect.
func (p *Pool) Do(ctx context.Context, c *Call) error {
	p.lastUsed.Store(time.Now().UnixNano())
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.opts.Timeout)
		defer cancel()
	}
	s := &outgoing{valid: c.Valid}
	req, err := newRequest(httptrace.WithClientTrace(ctx, s.trace()), c)
	if err != nil {
		return errors.Join(ErrNotSent, err)
	}
	resp, err := p.transport.RoundTrip(req)
	if err != nil {
		if s.abandon() {
			return errors.Join(ErrNotSent, err)
		}
		return err
	}
	defer resp.Body.Close()
	return p.readReply(resp, c.Out)
}

func newRequest(ctx context.Context, c *Call) (*http.Request, error) {
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

func (p *Pool) readReply(resp *http.Response, out any) error {
	if resp.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes))
		return &StatusError{Code: resp.StatusCode, Reason: strings.TrimSpace(string(reason))}
	}
	// The body is read to its end even without Out, since the connection could not be reused otherwise.
	raw, err := io.ReadAll(io.LimitReader(resp.Body, p.opts.MaxResponseBytes+1))
	if err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if int64(len(raw)) > p.opts.MaxResponseBytes {
		return fmt.Errorf("response is longer than %d bytes", p.opts.MaxResponseBytes)
	}
	return json.Unmarshal(raw, out)
}
