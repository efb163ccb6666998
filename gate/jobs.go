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
	raw, ok := g.readBody(ctx, maxJobBytes, &l)
	if !ok {
		return
	}
	if len(l) == 0 {
		check := func(found *finding.List) {
			if s.Key == "" {
				s.Key = ctx.GetHeader(HeaderKey)
			}
			*found = append(*found, s.Check()...)
		}
		if err := setting.Decode(raw, s, check); err != nil {
			l = findingsOf(err)
		}
	}
	if len(l) > 0 {
		replyInvalid(ctx, l)
		return
	}
	g.callOwner(ctx, func(in context.Context) (*job.Status, error) { return g.opts.Jobs.Submit(in, s) })
}

func (g *Gate) getJob(ctx iris.Context) {
	g.jobByID(ctx, g.opts.Jobs.Status)
}

func (g *Gate) deleteJob(ctx iris.Context) {
	g.jobByID(ctx, g.opts.Jobs.Cancel)
}

func (g *Gate) jobByID(ctx iris.Context, call func(context.Context, string) (*job.Status, error)) {
	g.callOwner(ctx, func(in context.Context) (*job.Status, error) { return call(in, ctx.Params().Get("id")) })
}

// callOwner calls the owner of a job and responds with the job's status or the fault.
func (g *Gate) callOwner(ctx iris.Context, call func(context.Context) (*job.Status, error)) {
	if !g.admitJobCall(ctx) {
		return
	}
	defer g.inProgress.checkDone()
	in, cancel := context.WithTimeout(ctx.Request().Context(), jobTimeout)
	defer cancel()
	s, err := call(in)
	replyJob(ctx, s, err)
}

// admitJobCall admits a job call as a request in progress, or responds that it was not run.
func (g *Gate) admitJobCall(ctx iris.Context) bool {
	if g.opts.Jobs.Submit == nil {
		reply(ctx, notRun(reasonNoService, 0))
		return false
	}
	if r := g.inProgress.admitCheck(g.opts.Limits.Checks); r != nil {
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
			replyInvalid(ctx, l)
			return
		}
		wait = time.Duration(n) * time.Millisecond
	}
	if !g.admitJobCall(ctx) {
		return
	}
	defer g.inProgress.checkDone()
	s, err := g.waitForJob(ctx.Request().Context(), ctx.Params().Get("id"), wait)
	replyJob(ctx, s, err)
}

// waitForJob returns the status of a job once it is final, or its current status when the wait
// times out or the gate stops.
func (g *Gate) waitForJob(ctx context.Context, id string, wait time.Duration) (*job.Status, error) {
	in, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	go func() {
		select {
		case <-g.inProgress.moveStreams:
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

func findingsOf(err error) finding.List {
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
		writeJSON(ctx, http.StatusOK, s)
	case err == nil && s != nil:
		// The job was accepted or is being canceled; its outcome is not known yet.
		writeJSON(ctx, http.StatusAccepted, s)
	default:
		replyFault(ctx, err)
	}
}

// replyFault maps an rpc fault to an HTTP response. Any other error means that the outcome is unknown.
func replyFault(ctx iris.Context, err error) {
	fault := rpc.AsFault(err)
	if fault == nil {
		writeJSON(ctx, http.StatusGatewayTimeout, &Body{Outcome: job.Unknown, Reason: reasonNoAnswer})
		return
	}
	body := &Body{Outcome: job.NotRun, Reason: fault.Reason, Findings: fault.Findings}
	switch fault.Code {
	case rpc.CodeInvalid:
		writeJSON(ctx, http.StatusBadRequest, body)
	case rpc.CodeDenied:
		writeJSON(ctx, http.StatusUnauthorized, body)
	case rpc.CodeConflict:
		writeJSON(ctx, http.StatusConflict, body)
	case rpc.CodeNotFound:
		writeJSON(ctx, http.StatusNotFound, body)
	case rpc.CodeRefused, rpc.CodeBusy, rpc.CodeNotOwner, rpc.CodeMoved:
		if fault.Code == rpc.CodeRefused && fault.RetryAfter == 0 {
			// The refusal is permanent. With a Retry-After the caller would retry forever.
			writeJSON(ctx, http.StatusUnprocessableEntity, body)
			return
		}
		after := max(fault.RetryAfter, noOwnerRetry)
		body.RetryAfterMillis = after.Milliseconds()
		setRetryAfter(ctx, after)
		writeJSON(ctx, http.StatusServiceUnavailable, body)
	case rpc.CodeUnknown:
		body.Outcome = job.Unknown
		writeJSON(ctx, http.StatusGatewayTimeout, body)
	}
}
