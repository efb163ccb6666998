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
	turnInterval    = 10 * time.Millisecond
	sessionKeyBytes = 32
	// driftDivisor sets the clock drift allowance: a lender adds 1/driftDivisor of the TTL to a loan.
	driftDivisor = 20
)

// Gate faces the callers of one entry VM.
type Gate struct {
	opts    Options
	log     *zap.Logger
	meters  meters
	budget  *budget.Budget
	handler http.Handler
	serial  atomic.Uint64

	shares *share.Allocator
	tokens *session.Signer

	mu    sync.Mutex
	pools map[string]*pool
	zones map[string][]string
	// where gives the zone of each listed target.
	where map[string]string
	lanes map[string]*lane

	work    work
	kick    chan struct{}
	need    chan struct{}
	tables  chan struct{}
	stop    chan struct{}
	stopped sync.Once
	duties  sync.WaitGroup
}

// New returns a Gate that serves at once; Close ends it.
func New(opts ...Option) *Gate {
	o := defaults()
	for _, f := range opts {
		f(&o)
	}
	g := &Gate{
		opts: o, log: o.Logger, meters: newMeters(o.Metrics), budget: budget.New(),
		pools: make(map[string]*pool), zones: make(map[string][]string),
		lanes: make(map[string]*lane), tokens: newSigner(o.Keys), shares: newAllocator(&o),
		kick: make(chan struct{}, 1), need: make(chan struct{}, 1),
		tables: make(chan struct{}, 1), stop: make(chan struct{}),
	}
	g.work.moving = make(chan struct{})
	g.handler = g.newHandler()
	g.refresh()
	g.duties.Go(g.keepList)
	g.duties.Go(g.keepTurn)
	if g.opts.Siblings.Borrow != nil {
		g.duties.Go(g.keepLoans)
		g.duties.Go(g.keepConfirming)
	}
	return g
}

// newAllocator returns the allocator of this gate's shares. The TTL of a loan is two thirds of the longest deadline,
// which is enough for most checks. The removal grace period covers the last requests and the last loans of a removed
// gate, whichever end later.
func newAllocator(o *Options) *share.Allocator {
	if o.Valid != nil {
		ttl := o.Limits.MaxTimeout * 2 / 3
		drift := ttl / driftDivisor
		grace := max(o.Limits.MaxTimeout+o.Limits.Grace, ttl+drift)
		return share.New(o.ID, share.RemovalGrace(grace), share.LoanTTL(ttl, drift), share.Valid(o.Valid), share.MemberSince(o.MemberSince))
	}
	// A gate that is alone in its zone and has no predecessor needs no removal grace period.
	a := share.New(o.ID, share.RemovalGrace(0))
	a.SetTable(share.Table{Version: 1, Gates: []string{o.ID}}, time.Now())
	return a
}

// newSigner makes a key of its own where the settings give none; no other gate then knows it.
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
			Streams: DefaultStreams, BufferedBytes: DefaultBufferedBytes, Pipelined: DefaultPipelined, SessionTTL: session.DefaultTTL,
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

// Handler gives the HTTP API.
func (g *Gate) Handler() http.Handler { return g.handler }

// Do runs a check and gives its final state.
func (g *Gate) Do(ctx context.Context, c *Check) *Result {
	return g.traceCheck(ctx, c, g.admitted)
}

func (g *Gate) traceCheck(ctx context.Context, c *Check, do func(context.Context, *Check) *Result) *Result {
	ctx, span := otel.Tracer(tracerName).Start(ctx, "check", trace.WithAttributes(
		attribute.String("service", c.Service), attribute.String("method", c.Method)))
	defer span.End()
	start := time.Now()
	r := do(ctx, c)
	span.SetAttributes(attribute.String("outcome", string(r.Outcome)), attribute.Int("attempts", r.Attempts))
	g.meters.ended(r, time.Since(start))
	return r
}

// admitted performs a check unless the gate is full or stopping.
func (g *Gate) admitted(ctx context.Context, c *Check) *Result {
	if r := g.work.enter(g.opts.Limits.Checks); r != nil {
		return r
	}
	defer g.work.leave()
	return g.perform(ctx, c)
}

func (g *Gate) perform(ctx context.Context, c *Check) *Result {
	call, r := g.decide(c)
	if r != nil {
		return r
	}
	ctx, cancel := context.WithDeadline(ctx, call.deadline)
	defer cancel()
	if c.Target != "" {
		return g.doSession(ctx, call)
	}
	return g.route(ctx, call)
}

// call is one check on its way through this gate.
type call struct {
	check    Check
	deadline time.Time
	zone     string
	retries  int
	queue    int
	// attempts counts the requests that were sent, tries also those that came to nothing before.
	attempts int
	tries    int
	// mayRun says that an attempt may have run; the check is then never called notRun.
	mayRun bool
	avoid  string
}

// decide asks the rules and applies the limits.
func (g *Gate) decide(c *Check) (*call, *Result) {
	d := g.opts.Rules(c)
	if d.RefusalReason != "" {
		return nil, notRun("refused by rule: "+d.RefusalReason, 0)
	}
	l := &g.opts.Limits
	cl := &call{check: *c, zone: c.Zone, retries: l.Retries, queue: l.Queue}
	// A session stays where it is, and what another gate has decided is not decided anew.
	if free := c.Target == "" && !c.Forwarded; free && d.Service != "" {
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
	left := c.Deadline
	if left <= 0 {
		left = l.Timeout
	}
	left = min(left, l.MaxTimeout)
	if d.Timeout > 0 {
		left = min(left, d.Timeout)
	}
	cl.deadline = time.Now().Add(left)
	if cl.check.Key == "" {
		// All attempts of a check bear one key, so that a target that sees a retry gives its first answer.
		cl.check.Key = g.nextID("key")
	}
	return cl, nil
}

func (g *Gate) nextID(kind string) string {
	return g.opts.ID + "/" + kind + "/" + strconv.FormatUint(g.serial.Add(1), 36)
}

func notRun(reason string, retryAfter time.Duration) *Result {
	return &Result{Outcome: job.NotRun, Reason: reason, RetryAfter: retryAfter}
}

// keepList follows the list of targets.
func (g *Gate) keepList() {
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-t.C:
			g.refresh()
		}
	}
}

// keepTurn serves waiters whose turn comes with time alone: by a probe, a pause or a loan.
func (g *Gate) keepTurn() {
	for {
		select {
		case <-g.stop:
			return
		case <-g.kick:
		}
		for g.turn() {
			select {
			case <-g.stop:
				return
			case <-time.After(turnInterval):
			}
		}
	}
}

// Close ends the gate's duties; requests in progress are not waited for.
func (g *Gate) Close() {
	g.stopped.Do(func() { close(g.stop) })
	g.duties.Wait()
}
