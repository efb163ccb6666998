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
	// CloseMethod is the method that tells a target that a session has ended.
	CloseMethod = "sessionClose"

	// streamLineExtra is what a line of a stream may hold besides its body.
	streamLineExtra = 4 << 10
	reasonMove      = "gate is stopping; go on with the token at another one"
)

// OpenedSession is the answer to the opening of a session.
type OpenedSession struct {
	Token   string    `json:"token"`
	Session string    `json:"session"`
	Target  string    `json:"target"`
	Zone    string    `json:"zone"`
	Expires time.Time `json:"expires"`
}

// StreamRequest is one request of a stream.
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
		refuse(ctx, l)
		return
	}
	if r := g.work.enter(g.opts.Limits.Checks); r != nil {
		reply(ctx, r)
		return
	}
	defer g.work.leave()
	cl, r := g.decide(c)
	if r != nil {
		reply(ctx, r)
		return
	}
	info, ok := g.place(cl)
	if !ok {
		reply(ctx, notRun("no usable target", noTargetRetry))
		return
	}
	s := &session.Session{ID: rand.Text(), Service: info.Service, Target: info.ID, Zone: info.Zone}
	token, err := g.token(s)
	if err != nil {
		g.log.Error("gate: token not made", zap.Error(err))
		reply(ctx, notRun("token not made", noTargetRetry))
		return
	}
	write(ctx, http.StatusCreated, &OpenedSession{token, s.ID, s.Target, s.Zone, s.Expires})
}

func (g *Gate) token(s *session.Session) (string, error) {
	s.Expires = time.Now().Add(g.opts.Limits.SessionTTL).UTC().Truncate(time.Second)
	return g.tokens.Sign(s)
}

// place chooses the target of a new session: here if one is usable, else in the next zone.
func (g *Gate) place(cl *call) (target.Info, bool) {
	zones := g.order(cl)
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
		start := int(g.serial.Add(1) % uint64(max(1, len(targets))))
		for i := range targets {
			info := targets[(start+i)%len(targets)]
			if info.Service == cl.check.Service && info.Zone == zone && !info.Leaving && zone != g.opts.Zone {
				return info, true
			}
		}
	}
	return target.Info{}, false
}

// open checks the token of a request and gives the check that it stands for.
func (g *Gate) open(ctx iris.Context) (*session.Session, *Check, bool) {
	s, err := g.tokens.Verify(ctx.GetHeader(HeaderSession), time.Now())
	if errors.Is(err, session.ErrExpired) {
		write(ctx, http.StatusGone, &Body{Outcome: job.NotRun, Reason: err.Error()})
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
		refuse(ctx, l)
		return nil, nil, false
	}
	bind(c, s)
	return s, c, true
}

func bind(c *Check, s *session.Session) {
	c.Service, c.Session, c.Target, c.Zone = s.Service, s.ID, s.Target, s.Zone
}

func (g *Gate) postRequest(ctx iris.Context) {
	s, c, ok := g.open(ctx)
	if !ok {
		return
	}
	size, ok := g.hold(ctx)
	if !ok {
		return
	}
	defer g.work.drop(size)
	var l finding.List
	c.Method = ctx.URLParam("method")
	checkNames(c, &l)
	if c.Method == "" {
		l.Add("method", "must not be empty")
	}
	c.Body = g.read(ctx, g.opts.Limits.BodyBytes, &l)
	if len(l) > 0 {
		refuse(ctx, l)
		return
	}
	r := g.Do(ctx.Request().Context(), c)
	body := bodyOf(r)
	body.Token = g.renewed(s)
	retryAfter(ctx, r.RetryAfter)
	write(ctx, statusOf(r), body)
}

// renewed gives a new token when more than half of the old one's life is over.
func (g *Gate) renewed(s *session.Session) string {
	if time.Until(s.Expires) > g.opts.Limits.SessionTTL/2 {
		return ""
	}
	next := *s
	token, err := g.token(&next)
	if err != nil {
		return ""
	}
	*s = next
	return token
}

func (g *Gate) deleteSession(ctx iris.Context) {
	_, c, ok := g.open(ctx)
	if !ok {
		return
	}
	c.Method = CloseMethod
	r := g.Do(ctx.Request().Context(), c)
	if r.Gone {
		// With its target the session has ended too.
		r = &Result{Outcome: job.Done, Reason: r.Reason}
	}
	reply(ctx, r)
}

// postStream serves the requests of a session, one a line, in order, and answers each with a line.
func (g *Gate) postStream(ctx iris.Context) {
	s, first, ok := g.open(ctx)
	if !ok {
		return
	}
	if r := g.work.enterStream(&g.opts.Limits); r != nil {
		reply(ctx, r)
		return
	}
	defer g.work.leaveStream()
	out := ctx.ResponseWriter()
	control := http.NewResponseController(out.Naive())
	// Answers go out while requests come in.
	_ = control.EnableFullDuplex()
	// The deadline of an earlier answer on this connection may have passed.
	_ = control.SetWriteDeadline(time.Now().Add(g.opts.Limits.ReadTimeout))
	ctx.ContentType("application/x-ndjson")
	// What the caller has sent after the last answer must not be taken for another request.
	ctx.Header("Connection", "close")
	ctx.StatusCode(http.StatusOK)
	out.Flush()
	st := &stream{gate: g, session: s, template: *first, out: out, encoder: json.NewEncoder(out), control: control}
	st.serve(ctx.Request())
}
