package gate

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"
	"go.uber.org/zap"

	"turmericgap/balancer"
	"turmericgap/finding"
	"turmericgap/gate/target"
	"turmericgap/job"
	"turmericgap/session"
)

const (
	// CloseMethod is the method that informs a target of the end of a session.
	CloseMethod = "sessionClose"

	// streamLineExtra is the size limit of a stream line without its body.
	streamLineExtra = 4 << 10
	reasonMove      = "gate is stopping; go on with the token at another one"
)

// OpenedSession is the response to a request that opens a session.
type OpenedSession struct {
	Token   string    `json:"token"`
	Session string    `json:"session"`
	Target  string    `json:"target"`
	Zone    string    `json:"zone"`
	Expires time.Time `json:"expires"`
}

// StreamRequest is one line of a stream, which holds one request.
type StreamRequest struct {
	Method         string `json:"method"`
	Key            string `json:"key,omitempty"`
	Body           []byte `json:"body,omitempty"`
	DeadlineMillis int64  `json:"deadlineMillis,omitempty"`
	Repeatable     bool   `json:"repeatable,omitempty"`
}

func (g *Gate) postSession(ctx iris.Context) {
	var l finding.List
	c := &Check{Service: ctx.Params().Get("service")}
	g.readHeaders(ctx, c, &l)
	checkNames(c, &l)
	if len(l) > 0 {
		replyInvalid(ctx, l)
		return
	}
	if r := g.inProgress.admitCheck(g.opts.Limits.Checks); r != nil {
		reply(ctx, r)
		return
	}
	defer g.inProgress.checkDone()
	cl, r := g.applyRules(c)
	if r != nil {
		reply(ctx, r)
		return
	}
	info, ok := g.placeSession(cl)
	if !ok {
		reply(ctx, notRun("no usable target", noTargetRetry))
		return
	}
	s := &session.Session{ID: rand.Text(), Service: info.Service, Target: info.ID, Zone: info.Zone}
	token, err := g.issueToken(s)
	if err != nil {
		g.log.Error("gate: signing a session token failed", zap.Error(err))
		reply(ctx, notRun("token not made", noTargetRetry))
		return
	}
	writeJSON(ctx, http.StatusCreated, &OpenedSession{token, s.ID, s.Target, s.Zone, s.Expires})
}

func (g *Gate) issueToken(s *session.Session) (string, error) {
	s.Expires = time.Now().Add(g.opts.Limits.SessionTTL).UTC().Truncate(time.Second)
	return g.tokens.Sign(s)
}

// placeSession chooses the target of a new session in the first zone that has a usable one.
func (g *Gate) placeSession(cl *call) (target.Info, bool) {
	zones := g.zoneOrder(cl)
	targets := g.opts.Targets()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, zone := range zones {
		if p := g.pools[cl.check.Service]; zone == g.opts.Zone && p != nil {
			c, ok := p.balancer.Pick(&balancer.Constraints{PlacementOnly: true}, now)
			if ok {
				p.balancer.Undo(c)
				return c.Info, true
			}
			continue
		}
		start := int(g.sequence.Add(1) % uint64(max(1, len(targets))))
		for i := range targets {
			info := targets[(start+i)%len(targets)]
			if info.Service == cl.check.Service && info.Zone == zone && !info.Leaving && zone != g.opts.Zone {
				return info, true
			}
		}
	}
	return target.Info{}, false
}

// verifySession verifies the session token of a request and returns the session and its check. If
// the token is not accepted it responds to the caller and returns false.
func (g *Gate) verifySession(ctx iris.Context) (*session.Session, *Check, bool) {
	s, err := g.tokens.Verify(ctx.GetHeader(HeaderSession), time.Now())
	if errors.Is(err, session.ErrExpired) {
		writeJSON(ctx, http.StatusGone, &Body{Outcome: job.NotRun, Reason: err.Error()})
		return nil, nil, false
	}
	var l finding.List
	c := &Check{}
	g.readHeaders(ctx, c, &l)
	if err != nil {
		l.Add(HeaderSession, "%s", err)
	} else if s.Service != ctx.Params().Get("service") {
		l.Add(HeaderSession, "is for service %q", s.Service)
	}
	if len(l) > 0 {
		replyInvalid(ctx, l)
		return nil, nil, false
	}
	bindToSession(c, s)
	return s, c, true
}

func bindToSession(c *Check, s *session.Session) {
	c.Service, c.Session, c.Target, c.Zone = s.Service, s.ID, s.Target, s.Zone
}

func (g *Gate) postRequest(ctx iris.Context) {
	s, c, ok := g.verifySession(ctx)
	if !ok {
		return
	}
	var l, inBody finding.List
	if c.Body, ok = g.reserveBody(ctx, &inBody); !ok {
		return
	}
	defer g.inProgress.releaseBody(int64(len(c.Body)))
	c.Method = ctx.URLParam("method")
	checkNames(c, &l)
	if c.Method == "" {
		l.Add("method", "must not be empty")
	}
	if l = append(l, inBody...); len(l) > 0 {
		replyInvalid(ctx, l)
		return
	}
	r := g.Do(ctx.Request().Context(), c)
	body := responseBody(r)
	body.Token = g.renewToken(s)
	setRetryAfter(ctx, r.RetryAfter)
	writeJSON(ctx, httpStatus(r), body)
}

// renewToken returns a new token if less than half of the lifetime of the old one is left.
func (g *Gate) renewToken(s *session.Session) string {
	if time.Until(s.Expires) > g.opts.Limits.SessionTTL/2 {
		return ""
	}
	next := *s
	token, err := g.issueToken(&next)
	if err != nil {
		return ""
	}
	*s = next
	return token
}

func (g *Gate) deleteSession(ctx iris.Context) {
	_, c, ok := g.verifySession(ctx)
	if !ok {
		return
	}
	c.Method = CloseMethod
	r := g.Do(ctx.Request().Context(), c)
	if r.Gone {
		// The session ended together with its target.
		r = &Result{Outcome: job.Done, Reason: r.Reason}
	}
	reply(ctx, r)
}

// postStream handles a stream: the requests of one session, one per line, each answered by one line
// in the same order.
func (g *Gate) postStream(ctx iris.Context) {
	s, first, ok := g.verifySession(ctx)
	if !ok {
		return
	}
	if r := g.inProgress.admitStream(&g.opts.Limits); r != nil {
		reply(ctx, r)
		return
	}
	defer g.inProgress.streamDone()
	out := ctx.ResponseWriter()
	control := http.NewResponseController(out.Naive())
	// Answers are written while requests are read.
	_ = control.EnableFullDuplex()
	// The write deadline of an earlier response on this connection may have passed.
	_ = control.SetWriteDeadline(time.Now().Add(g.opts.Limits.ReadTimeout))
	ctx.ContentType("application/x-ndjson")
	// Data that the caller sends after the last answer must not be parsed as another HTTP request.
	ctx.Header("Connection", "close")
	ctx.StatusCode(http.StatusOK)
	out.Flush()
	st := &stream{gate: g, session: s, template: *first, flusher: out, encoder: json.NewEncoder(out), control: control}
	st.serve(ctx.Request())
}
