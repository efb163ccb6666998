package gate

import (
	"encoding/json"
	"errors"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"turmericgap/connection"
	"turmericgap/finding"
	"turmericgap/job"
)

// HTTP headers of the API.
const (
	HeaderKey        = "Idempotency-Key"
	HeaderDeadline   = "Turmericgap-Deadline-Millis"
	HeaderRepeatable = "Turmericgap-Repeatable"
	HeaderZone       = "Turmericgap-Zone"
	HeaderSession    = "Turmericgap-Session"

	maxJobBytes   = 64 << 10
	reasonInvalid = "request is not valid"
)

// Body is the JSON response to a check, a session request or a failed job call.
type Body struct {
	Outcome job.Outcome `json:"outcome"`
	Reason  string      `json:"reason,omitempty"`
	Answer  *job.Answer `json:"answer,omitempty"`
	// RetryAfterMillis is the delay before the next try; it is omitted if no delay is known.
	RetryAfterMillis int64        `json:"retryAfterMillis,omitempty"`
	Attempts         int          `json:"attempts,omitempty"`
	Target           string       `json:"target,omitempty"`
	Findings         finding.List `json:"findings,omitempty"`
	// Token is the renewed session token, which any gate accepts.
	Token string `json:"token,omitempty"`
	// Move tells the caller to open a new connection and continue the session there with Token.
	Move bool `json:"move,omitempty"`
}

func (g *Gate) newHandler() http.Handler {
	app := iris.New().Configure(iris.WithoutStartupLog, iris.WithoutPathCorrection,
		iris.WithoutAutoFireStatusCode, iris.WithoutInterruptHandler)
	app.Logger().SetLevel("disable")
	v1 := app.Party("/v1", g.traceRequest)
	v1.Post("/jobs", g.postJob)
	v1.Get("/jobs/{id}", g.getJob)
	v1.Get("/jobs/{id}/wait", g.waitJob)
	v1.Delete("/jobs/{id}", g.deleteJob)
	v1.Post("/checks/{service}/{method}", g.postCheck)
	v1.Post("/sessions/{service}", g.postSession)
	v1.Post("/sessions/{service}/requests", g.postRequest)
	v1.Post("/sessions/{service}/stream", g.postStream)
	v1.Delete("/sessions/{service}", g.deleteSession)
	app.HandleMany("GET POST PUT PATCH DELETE", "/{path:path}", func(ctx iris.Context) {
		writeJSON(ctx, http.StatusNotFound, &Body{Outcome: job.NotRun, Reason: "no such path"})
	})
	if err := app.Build(); err != nil {
		// The routes are constants, so Build fails only because of a programming error.
		panic(err)
	}
	return app
}

// Serve handles HTTP connections of l until Close is called.
func (g *Gate) Serve(l net.Listener) error {
	limits := &g.opts.Limits
	budget := connection.NewBudget("callers", connection.Limits{Connections: limits.Connections, Bytes: limits.BufferedBytes}, g.opts.Metrics)
	requests := connection.RequestLimits{HeaderBytes: limits.HeaderBytes, HeaderTimeout: limits.ReadTimeout, IdleTimeout: limits.IdleTimeout}
	server := connection.NewServer(g.handler)
	g.background.Go(func() {
		<-g.stop
		_ = server.Close()
	})
	err := server.Serve(connection.Listen(l, budget, func() connection.RequestLimits { return requests }))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// traceRequest starts the server span of a request as a child of the caller's span.
func (g *Gate) traceRequest(ctx iris.Context) {
	r := ctx.Request()
	parent := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	in, span := otel.Tracer(tracerName).Start(parent, r.Method+" "+ctx.GetCurrentRoute().Path(),
		trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	ctx.ResetRequest(r.WithContext(in))
	if g.inProgress.isDraining() {
		// Closing the connection makes the load balancer open its next one to another gate.
		ctx.Header("Connection", "close")
	}
	ctx.Next()
}

// readBody reads the request body within limit and the read timeout, and adds a finding if that fails. If no memory is left
// for it, it responds to the caller and returns false.
func (g *Gate) readBody(ctx iris.Context, limit int64, l *finding.List) ([]byte, bool) {
	w := ctx.ResponseWriter().Naive()
	raw, err := connection.ReadBody(w, ctx.Request(), limit, time.Now().Add(g.opts.Limits.ReadTimeout))
	var tooLong *http.MaxBytesError
	switch {
	case errors.Is(err, connection.ErrExhausted):
		g.shedBody(ctx, limitExceeded("gate holds too many bodies", fullRetryAfter))
		return nil, false
	case errors.As(err, &tooLong):
		l.Add("body", "must be at most %d bytes", limit)
	case err != nil:
		l.Add("body", "was not received: %s", err)
	}
	return raw, true
}

// reserveBody reads the body of a check and reserves its memory until releaseBody. A body is not read if those of the checks
// in progress leave no memory for it. If the memory is exhausted it responds to the caller and returns false.
func (g *Gate) reserveBody(ctx iris.Context, l *finding.List) ([]byte, bool) {
	size := ctx.Request().ContentLength
	if size < 0 || size > g.opts.Limits.BodyBytes {
		size = g.opts.Limits.BodyBytes
	}
	r := g.inProgress.admitBody(size, g.opts.Limits.BufferedBytes)
	if r != nil {
		g.shedBody(ctx, r)
		return nil, false
	}
	raw, ok := g.readBody(ctx, g.opts.Limits.BodyBytes, l)
	if !ok {
		return nil, false
	}
	if r = g.inProgress.reserveBody(int64(len(raw)), g.opts.Limits.BufferedBytes); r != nil {
		g.shedBody(ctx, r)
	}
	return raw, r == nil
}

func (g *Gate) shedBody(ctx iris.Context, r *Result) {
	g.metrics.shed.Inc(1)
	reply(ctx, r)
}

func (g *Gate) postCheck(ctx iris.Context) {
	var l, inBody finding.List
	body, ok := g.reserveBody(ctx, &inBody)
	if !ok {
		return
	}
	defer g.inProgress.releaseBody(int64(len(body)))
	c := &Check{Service: ctx.Params().Get("service"), Method: ctx.Params().Get("method"), Body: body}
	g.readHeaders(ctx, c, &l)
	checkNames(c, &l)
	if l = append(l, inBody...); len(l) > 0 {
		replyInvalid(ctx, l)
		return
	}
	reply(ctx, g.Do(ctx.Request().Context(), c))
}

func checkNames(c *Check, l *finding.List) {
	if len(c.Service) > job.MaxNameBytes {
		l.Add("service", "must be at most %d bytes", job.MaxNameBytes)
	}
	if len(c.Method) > job.MaxNameBytes {
		l.Add("method", "must be at most %d bytes", job.MaxNameBytes)
	}
}

// readHeaders parses the idempotency key, the deadline, the repeatable flag and the zone of a
// check.
func (g *Gate) readHeaders(ctx iris.Context, c *Check, l *finding.List) {
	c.Key = ctx.GetHeader(HeaderKey)
	if len(c.Key) > job.MaxKeyBytes {
		l.Add(HeaderKey, "must be at most %d bytes", job.MaxKeyBytes)
	}
	if v := ctx.GetHeader(HeaderDeadline); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if limit := g.opts.Limits.MaxTimeout.Milliseconds(); err != nil || n < 1 || n > limit {
			l.Add(HeaderDeadline, "must be a whole number from 1 to %d", limit)
		}
		c.Deadline = time.Duration(n) * time.Millisecond
	}
	if v := ctx.GetHeader(HeaderRepeatable); v != "" {
		var err error
		if c.Repeatable, err = strconv.ParseBool(v); err != nil {
			l.Add(HeaderRepeatable, "must be true or false")
		}
	}
	if c.Zone = ctx.GetHeader(HeaderZone); len(c.Zone) > job.MaxNameBytes {
		l.Add(HeaderZone, "must be at most %d bytes", job.MaxNameBytes)
	}
}

func replyInvalid(ctx iris.Context, l finding.List) {
	writeJSON(ctx, http.StatusBadRequest, &Body{Outcome: job.NotRun, Reason: reasonInvalid, Findings: l})
}

func responseBody(r *Result) *Body {
	return &Body{
		Outcome: r.Outcome, Reason: r.Reason, Answer: r.Answer, Attempts: r.Attempts, Target: r.Target,
		RetryAfterMillis: r.RetryAfter.Milliseconds(),
	}
}

func httpStatus(r *Result) int {
	switch {
	case r.Outcome == job.Done:
		return http.StatusOK
	case r.Outcome == job.Unknown:
		return http.StatusGatewayTimeout
	case r.Gone:
		return http.StatusGone
	case r.Limited:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

func reply(ctx iris.Context, r *Result) {
	setRetryAfter(ctx, r.RetryAfter)
	writeJSON(ctx, httpStatus(r), responseBody(r))
}

// setRetryAfter sets the Retry-After header, which HTTP defines in whole seconds, rounded up.
func setRetryAfter(ctx iris.Context, d time.Duration) {
	if d > 0 {
		ctx.Header("Retry-After", strconv.Itoa(int(math.Ceil(d.Seconds()))))
	}
}

func writeJSON(ctx iris.Context, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		ctx.StatusCode(http.StatusInternalServerError)
		return
	}
	// Without a write deadline, a caller that does not read would hold the connection and its
	// memory forever.
	_ = http.NewResponseController(ctx.ResponseWriter().Naive()).SetWriteDeadline(time.Now().Add(DefaultReadTimeout))
	ctx.ContentType("application/json")
	ctx.StatusCode(status)
	_, _ = ctx.Write(raw)
}
