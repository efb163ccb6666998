package gate

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"turmericgap/finding"
	"turmericgap/job"
	"turmericgap/rpc"
	"turmericgap/setting"
)

const (
	jobTimeout      = 10 * time.Second
	defaultWait     = 30 * time.Second
	maxWait         = 60 * time.Second
	statusTimeout   = 2 * time.Second
	noOwnerRetry    = time.Second
	paramTimeout    = "timeoutMillis"
	reasonNoAnswer  = "no answer from the job's owner"
	reasonNoService = "this gate serves no jobs"
)

func (g *Gate) postJob(ctx iris.Context) {
	var l finding.List
	s := &job.Submission{}
	raw := g.read(ctx, maxJobBytes, &l)
	if len(l) == 0 {
		check := func(found *finding.List) {
			if s.Key == "" {
				s.Key = ctx.GetHeader(HeaderKey)
			}
			*found = append(*found, s.Check()...)
		}
		if err := setting.Decode(raw, s, check); err != nil {
			l = findings(err)
		}
	}
	if len(l) > 0 {
		refuse(ctx, l)
		return
	}
	g.jobCall(ctx, func(in context.Context) (*job.Status, error) { return g.opts.Jobs.Submit(in, s) })
}

func (g *Gate) getJob(ctx iris.Context) {
	g.jobByID(ctx, g.opts.Jobs.Status)
}

func (g *Gate) deleteJob(ctx iris.Context) {
	g.jobByID(ctx, g.opts.Jobs.Cancel)
}

func (g *Gate) jobByID(ctx iris.Context, call func(context.Context, string) (*job.Status, error)) {
	g.jobCall(ctx, func(in context.Context) (*job.Status, error) { return call(in, ctx.Params().Get("id")) })
}

// jobCall runs one call to a job's owner and answers with its status or its fault.
func (g *Gate) jobCall(ctx iris.Context, call func(context.Context) (*job.Status, error)) {
	if !g.admit(ctx) {
		return
	}
	defer g.work.leave()
	in, cancel := context.WithTimeout(ctx.Request().Context(), jobTimeout)
	defer cancel()
	s, err := call(in)
	replyJob(ctx, s, err)
}

// admit counts a job call as work in progress, or answers that it was not run.
func (g *Gate) admit(ctx iris.Context) bool {
	if g.opts.Jobs.Submit == nil {
		reply(ctx, notRun(reasonNoService, 0))
		return false
	}
	if r := g.work.enter(g.opts.Limits.Checks); r != nil {
		reply(ctx, r)
		return false
	}
	return true
}

func (g *Gate) waitJob(ctx iris.Context) {
	wait := defaultWait
	if v := ctx.URLParam(paramTimeout); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 1 || n > maxWait.Milliseconds() {
			var l finding.List
			l.Add(paramTimeout, "must be a whole number from 1 to %d", maxWait.Milliseconds())
			refuse(ctx, l)
			return
		}
		wait = time.Duration(n) * time.Millisecond
	}
	if !g.admit(ctx) {
		return
	}
	defer g.work.leave()
	s, err := g.waitUntil(ctx.Request().Context(), ctx.Params().Get("id"), wait)
	replyJob(ctx, s, err)
}

// waitUntil gives the status of a job that is final, or as it is when the wait or this gate ends.
func (g *Gate) waitUntil(ctx context.Context, id string, wait time.Duration) (*job.Status, error) {
	in, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	go func() {
		select {
		case <-g.work.moving:
			cancel()
		case <-in.Done():
		}
	}()
	s, err := g.opts.Jobs.Wait(in, id)
	if err == nil || rpc.AsFault(err) != nil || in.Err() == nil || ctx.Err() != nil {
		return s, err
	}
	late, cancelLate := context.WithTimeout(ctx, statusTimeout)
	defer cancelLate()
	return g.opts.Jobs.Status(late, id)
}

func findings(err error) finding.List {
	var l finding.List
	if errors.As(err, &l) {
		for i := range l {
			if l[i].Path == "settings" {
				l[i].Path = "body"
			}
		}
		return l
	}
	l.Add("body", "%s", err)
	return l
}

func replyJob(ctx iris.Context, s *job.Status, err error) {
	switch {
	case err == nil && s != nil && (s.State == job.Final || ctx.Method() == http.MethodGet):
		write(ctx, http.StatusOK, s)
	case err == nil && s != nil:
		// Accepted, or asked to stop; the outcome comes later.
		write(ctx, http.StatusAccepted, s)
	default:
		replyFault(ctx, err)
	}
}

// replyFault answers with what the fault proves; any other error proves nothing.
func replyFault(ctx iris.Context, err error) {
	fault := rpc.AsFault(err)
	if fault == nil {
		write(ctx, http.StatusGatewayTimeout, &Body{Outcome: job.Unknown, Reason: reasonNoAnswer})
		return
	}
	body := &Body{Outcome: job.NotRun, Reason: fault.Reason, Findings: fault.Findings}
	switch fault.Code {
	case rpc.CodeInvalid:
		write(ctx, http.StatusBadRequest, body)
	case rpc.CodeConflict:
		write(ctx, http.StatusConflict, body)
	case rpc.CodeNotFound:
		write(ctx, http.StatusNotFound, body)
	case rpc.CodeRefused, rpc.CodeNotOwner, rpc.CodeMoved:
		if fault.Code == rpc.CodeRefused && fault.RetryAfter == 0 {
			// To try again is no use: a caller that is told when to come back would come for ever.
			write(ctx, http.StatusUnprocessableEntity, body)
			return
		}
		after := max(fault.RetryAfter, noOwnerRetry)
		body.RetryAfterMillis = after.Milliseconds()
		retryAfter(ctx, after)
		write(ctx, http.StatusServiceUnavailable, body)
	case rpc.CodeUnknown:
		body.Outcome = job.Unknown
		write(ctx, http.StatusGatewayTimeout, body)
	}
}
