package gate

import (
	"context"
	"crypto/rand"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"turmericgap/budget"
	"turmericgap/gate/target"
	"turmericgap/job"
	"turmericgap/metric"
	"turmericgap/session"
	"turmericgap/share"
)

// Defaults.
const (
	DefaultZone          = "local"
	DefaultTimeout       = 5 * time.Second
	DefaultMaxTimeout    = 15 * time.Second
	DefaultQueue         = 1000
	DefaultRetries       = 2
	DefaultGrace         = 250 * time.Millisecond
	DefaultChecks        = 20000
	DefaultStreams       = 1000
	DefaultBufferedBytes = 64 << 20
	DefaultPipelined     = 16
	DefaultConnections   = 8192
	DefaultBodyBytes     = 256 << 10
	DefaultHeaderBytes   = 16 << 10
	DefaultReadTimeout   = 10 * time.Second
	DefaultIdleTimeout   = 90 * time.Second

	tracerName      = "turmericgap/gate"
	refreshInterval = 100 * time.Millisecond
	serveInterval   = 10 * time.Millisecond
	sessionKeyBytes = 32
	// clockDriftDivisor divides the TTL of a loan; the lender adds the quotient for clock drift.
	clockDriftDivisor = 20
)

// Gate is the caller-facing front end on one entry VM.
type Gate struct {
	opts     Options
	log      *zap.Logger
	metrics  gateMetrics
	budget   *budget.Budget
	handler  http.Handler
	sequence atomic.Uint64

	shares *share.Allocator
	tokens *session.Signer

	mu           sync.Mutex
	pools        map[string]*pool
	serviceZones map[string][]string
	// targetZones maps the ID of each listed target to its zone.
	targetZones   map[string]string
	sessionQueues map[string]*sessionQueue

	inProgress   inProgress
	wake         chan struct{}
	borrowNeeded chan struct{}
	tableChanged chan struct{}
	stop         chan struct{}
	stopOnce     sync.Once
	background   sync.WaitGroup
}

// New returns a running Gate; Close stops it.
func New(opts ...Option) *Gate {
	o := defaults()
	for _, f := range opts {
		f(&o)
	}
	g := &Gate{
		opts: o, log: o.Logger, metrics: newGateMetrics(o.Metrics), budget: budget.New(),
		pools: make(map[string]*pool), serviceZones: make(map[string][]string),
		sessionQueues: make(map[string]*sessionQueue), tokens: newSigner(o.Keys), shares: newAllocator(&o),
		wake: make(chan struct{}, 1), borrowNeeded: make(chan struct{}, 1),
		tableChanged: make(chan struct{}, 1), stop: make(chan struct{}),
	}
	g.inProgress.moveStreams = make(chan struct{})
	g.handler = g.newHandler()
	g.refreshTargets()
	g.background.Go(g.pollTargets)
	g.background.Go(g.serveLoop)
	if g.opts.Siblings.Borrow != nil {
		g.background.Go(g.loanLoop)
		g.background.Go(g.confirmLoop)
	}
	return g
}

// newAllocator returns the allocator of this gate's slot shares. A loan lasts two thirds of the
// longest deadline, so most checks fit into it. The removal grace period is long enough for the
// last requests and loans of a removed gate to end.
func newAllocator(o *Options) *share.Allocator {
	if o.Valid != nil {
		ttl := o.Limits.MaxTimeout * 2 / 3
		drift := ttl / clockDriftDivisor
		grace := max(o.Limits.MaxTimeout+o.Limits.Grace, ttl+drift)
		return share.New(o.ID, share.RemovalGrace(grace), share.LoanTTL(ttl, drift),
			share.Valid(o.Valid), share.MemberSince(o.MemberSince))
	}
	// A single gate of a zone has no peers to wait for.
	h := share.New(o.ID, share.RemovalGrace(0))
	h.SetTable(share.Table{Version: 1, Gates: []string{o.ID}}, time.Now())
	return h
}

// newSigner returns the signer of session tokens. If no keys are configured it generates one, which
// no other gate knows.
func newSigner(keys [][]byte) *session.Signer {
	if len(keys) == 0 {
		key := make([]byte, sessionKeyBytes)
		_, _ = rand.Read(key) // crypto/rand never fails.
		keys = [][]byte{key}
	}
	return session.New(keys...)
}

func defaults() Options {
	return Options{
		ID: "gate", Zone: DefaultZone, Logger: zap.NewNop(), Metrics: metric.New(),
		Targets: func() []target.Info { return nil },
		Dial:    noTarget,
		Peers:   func(string) []string { return nil },
		Rules:   func(*Check) Decision { return Decision{} },
		Limits: Limits{
			Timeout: DefaultTimeout, MaxTimeout: DefaultMaxTimeout, Queue: DefaultQueue,
			Retries: DefaultRetries, Grace: DefaultGrace, Checks: DefaultChecks,
			Streams: DefaultStreams, BufferedBytes: DefaultBufferedBytes, Pipelined: DefaultPipelined,
			SessionTTL:  session.DefaultTTL,
			Connections: DefaultConnections, BodyBytes: DefaultBodyBytes, HeaderBytes: DefaultHeaderBytes,
			ReadTimeout: DefaultReadTimeout, IdleTimeout: DefaultIdleTimeout,
		},
	}
}

func noTarget(target.Info, int) *target.Client {
	return &target.Client{Do: func(context.Context, *target.Request) (*target.Response, error) {
		return nil, target.ErrNotSent
	}}
}

// Handler returns the HTTP API.
func (g *Gate) Handler() http.Handler { return g.handler }

// Do runs a check and returns its final outcome.
func (g *Gate) Do(ctx context.Context, c *Check) *Result {
	return g.traceCheck(ctx, c, g.admitAndPerform)
}

func (g *Gate) traceCheck(ctx context.Context, c *Check, do func(context.Context, *Check) *Result) *Result {
	ctx, span := otel.Tracer(tracerName).Start(ctx, "check", trace.WithAttributes(
		attribute.String("service", c.Service), attribute.String("method", c.Method)))
	defer span.End()
	start := time.Now()
	r := do(ctx, c)
	span.SetAttributes(attribute.String("outcome", string(r.Outcome)), attribute.Int("attempts", r.Attempts))
	g.metrics.recordCheck(r, time.Since(start))
	return r
}

// admitAndPerform runs a check unless the gate is full or stopping.
func (g *Gate) admitAndPerform(ctx context.Context, c *Check) *Result {
	if r := g.inProgress.admitCheck(g.opts.Limits.Checks); r != nil {
		return r
	}
	defer g.inProgress.checkDone()
	return g.perform(ctx, c)
}

func (g *Gate) perform(ctx context.Context, c *Check) *Result {
	call, r := g.applyRules(c)
	if r != nil {
		return r
	}
	ctx, cancel := context.WithDeadline(ctx, call.deadline)
	defer cancel()
	if c.Target != "" {
		return g.runSession(ctx, call)
	}
	return g.route(ctx, call)
}

// call is the state of one check in this gate.
type call struct {
	check    Check
	deadline time.Time
	zone     string
	retries  int
	queue    int
	// attempts counts the requests sent to targets; tries also counts those that failed before
	// sending.
	attempts int
	tries    int
	// mayHaveRun reports that an attempt may have run; the outcome of the check is then never
	// NotRun.
	mayHaveRun bool
	avoid      string
}

// applyRules evaluates the rules for a check and applies the limits.
func (g *Gate) applyRules(c *Check) (*call, *Result) {
	d := g.opts.Rules(c)
	if d.RefusalReason != "" {
		return nil, notRun("refused by rule: "+d.RefusalReason, 0)
	}
	l := &g.opts.Limits
	cl := &call{check: *c, zone: c.Zone, retries: l.Retries, queue: l.Queue}
	// A session stays with its service, and a forwarded check keeps the decision of the first gate.
	if movable := c.Target == "" && !c.Forwarded; movable && d.Service != "" {
		cl.check.Service = d.Service
	}
	if c.Target == "" && d.Zone != "" {
		cl.zone = d.Zone
	}
	if d.Retries != 0 {
		cl.retries = max(0, d.Retries)
	}
	if d.Queue != 0 {
		cl.queue = max(0, d.Queue)
	}
	remaining := c.Deadline
	if remaining <= 0 {
		remaining = l.Timeout
	}
	remaining = min(remaining, l.MaxTimeout)
	if d.Timeout > 0 {
		remaining = min(remaining, d.Timeout)
	}
	cl.deadline = time.Now().Add(remaining)
	if cl.check.Key == "" {
		// All attempts share one key, so a target that receives a retry repeats its first answer.
		cl.check.Key = g.nextID("key")
	}
	return cl, nil
}

func (g *Gate) nextID(kind string) string {
	return g.opts.ID + "/" + kind + "/" + strconv.FormatUint(g.sequence.Add(1), 36)
}

func notRun(reason string, retryAfter time.Duration) *Result {
	return &Result{Outcome: job.NotRun, Reason: reason, RetryAfter: retryAfter}
}

// pollTargets refreshes the list of targets periodically.
func (g *Gate) pollTargets() {
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-t.C:
			g.refreshTargets()
		}
	}
}

// serveLoop retries waiters that can be served later without a new event: after a probe becomes
// due, a busy backoff ends or a loan arrives.
func (g *Gate) serveLoop() {
	for {
		select {
		case <-g.stop:
			return
		case <-g.wake:
		}
		for g.serveAllWaiters() {
			select {
			case <-g.stop:
				return
			case <-time.After(serveInterval):
			}
		}
	}
}

// Close stops the gate's background work without waiting for requests in progress.
func (g *Gate) Close() {
	g.stopOnce.Do(func() { close(g.stop) })
	g.background.Wait()
}
