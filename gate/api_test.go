package gate

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"turmericgap/finding"
	"turmericgap/gate/target"
	"turmericgap/job"
	"turmericgap/rpc"
	"turmericgap/session"
	"turmericgap/standin/golden"
)

// jobOwner simulates the owner of jobs; the job's key or ID selects the reply.
func jobOwner(_ context.Context, id string) (*job.Status, error) {
	switch id {
	case "invalid":
		var l finding.List
		l.Add("each", "fits no worker")
		return nil, &rpc.Fault{Code: rpc.CodeInvalid, Reason: "job can never run", Findings: l}
	case "conflict":
		return nil, &rpc.Fault{Code: rpc.CodeConflict, Reason: "key has another job"}
	case "refused":
		return nil, rpc.Refused(1500*time.Millisecond, "store is down")
	case "absent":
		return nil, &rpc.Fault{Code: rpc.CodeNotFound, Reason: "no such job"}
	case "lost":
		return nil, errors.New("connection cut")
	case "doubt":
		return nil, &rpc.Fault{Code: rpc.CodeUnknown, Reason: "commit in doubt"}
	case "final":
		return &job.Status{ID: id, State: job.Final, Outcome: job.Done, Zone: "z1"}, nil
	}
	return &job.Status{ID: id, State: job.Queued, Zone: "z1"}, nil
}

func jobClient() JobClient {
	return JobClient{
		Submit: func(ctx context.Context, s *job.Submission) (*job.Status, error) { return jobOwner(ctx, s.Key) },
		Status: jobOwner, Cancel: jobOwner,
		Wait: func(ctx context.Context, id string) (*job.Status, error) {
			if id == "slow" {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return jobOwner(ctx, id)
		},
	}
}

func submission(key string) string {
	return `{"key":"` + key + `","team":"kochi","class":"roster","kind":"batch","tasks":1,"each":{"millicores":1,"memoryMB":1}}`
}

func TestAPI(t *testing.T) {
	cases := []struct{ name, method, path, headers, body string }{
		{"check", "POST", "/v1/checks/desk/seat", "", "7"},
		{"check of no service", "POST", "/v1/checks/other/seat", "", ""},
		{
			"check with findings", "POST", "/v1/checks/desk/" + strings.Repeat("m", 65),
			"Turmericgap-Deadline-Millis: soon\nTurmericgap-Repeatable: perhaps\nIdempotency-Key: " + strings.Repeat("k", 129),
			strings.Repeat("b", 33),
		},
		{"check refused by rule", "POST", "/v1/checks/desk/refuse", "", ""},
		{"check without answer", "POST", "/v1/checks/desk/lost", "", ""},
		{"no time left", "POST", "/v1/checks/desk/hurry", "", ""},
		{"job", "POST", "/v1/jobs", "", submission("new")},
		{"job by header key", "POST", "/v1/jobs", "Idempotency-Key: final", submission("")},
		{"job with findings", "POST", "/v1/jobs", "", `{"kind":"other","tasks":0,"extra":1}`},
		{"job not JSON", "POST", "/v1/jobs", "", `{"key":`},
		{"job of wrong type", "POST", "/v1/jobs", "", `{"tasks":"three"}`},
		{"job invalid", "POST", "/v1/jobs", "", submission("invalid")},
		{"job conflict", "POST", "/v1/jobs", "", submission("conflict")},
		{"job refused", "POST", "/v1/jobs", "", submission("refused")},
		{"job lost", "POST", "/v1/jobs", "", submission("lost")},
		{"job in doubt", "POST", "/v1/jobs", "", submission("doubt")},
		{"status", "GET", "/v1/jobs/final", "", ""},
		{"status absent", "GET", "/v1/jobs/absent", "", ""},
		{"wait", "GET", "/v1/jobs/final/wait?timeoutMillis=100", "", ""},
		{"wait too short", "GET", "/v1/jobs/slow/wait?timeoutMillis=100", "", ""},
		{"wait badly", "GET", "/v1/jobs/slow/wait?timeoutMillis=x", "", ""},
		{"cancel", "DELETE", "/v1/jobs/final", "", ""},
		{"session without token", "POST", "/v1/sessions/desk/requests", "", ""},
		{"session of another service", "POST", "/v1/sessions/other/requests", "Turmericgap-Session: TOKEN", ""},
		{"session without method", "POST", "/v1/sessions/desk/requests", "Turmericgap-Session: TOKEN", ""},
		{"unknown path", "GET", "/v1/nothing", "", ""},
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(1, func(ctx context.Context, _ string, r *target.Request) (*target.Response, error) {
			if r.Method == "lost" {
				return connectionLost(ctx, r)
			}
			return answer(r, string(r.Body)), nil
		})
		g := f.newGate(JobOwner(jobClient()), SessionKeys(sessionKey), Limit(func(l *Limits) { l.BodyBytes = 32 }),
			Rules(func(c *Check) Decision {
				switch c.Method {
				case "refuse":
					return Decision{RefusalReason: "closed on Sundays"}
				case "hurry":
					return Decision{Timeout: time.Microsecond}
				}
				return Decision{}
			}))
		defer g.Close()
		token, _ := g.issueToken(&session.Session{ID: "s", Service: "desk", Target: "ta", Zone: "z1"})
		var got bytes.Buffer
		for _, c := range cases {
			r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			for _, line := range strings.Split(c.headers, "\n") {
				if name, value, ok := strings.Cut(line, ": "); ok {
					r.Header.Set(name, strings.ReplaceAll(value, "TOKEN", token))
				}
			}
			w := httptest.NewRecorder()
			g.Handler().ServeHTTP(w, r)
			var indented bytes.Buffer
			if json.Indent(&indented, w.Body.Bytes(), "", "  ") != nil {
				indented = *w.Body
			}
			fmt.Fprintf(&got, "## %s\n%d Retry-After=%s\n%s\n\n", c.name, w.Code, w.Header().Get("Retry-After"), &indented)
		}
		golden.Equal(t, "testdata/api.golden", got.Bytes())
	})
}

// Guards against hops of a check that are missing in the caller's trace: every hop must add a span
// to the trace of the traceparent header.
func TestTrace(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	before := otel.GetTracerProvider()
	otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans)))
	defer otel.SetTracerProvider(before)
	is := is.New(t)
	parent := ""
	f := newFakeTargets(1, func(_ context.Context, _ string, r *target.Request) (*target.Response, error) {
		parent = r.Parent
		return answer(r, ""), nil
	})
	near := f.newGate()
	defer near.Close()
	far := f.newGate(Zone("z2"), Peers(func(string) []string { return []string{"10.0.0.1:1"} },
		func(ctx context.Context, _ string, c *Check) (*Result, error) { return near.HandleForwarded(ctx, c) }))
	defer far.Close()
	r := httptest.NewRequest(http.MethodPost, "/v1/checks/desk/seat", nil)
	r.Header.Set("traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	far.Handler().ServeHTTP(httptest.NewRecorder(), r)
	var names []string
	for _, s := range spans.GetSpans() {
		names = append(names, s.Name)
		is.Equal(s.SpanContext.TraceID().String(), "0af7651916cd43dd8448eb211c80319c")
	}
	is.Equal(names, []string{"attempt", "check", "forward", "check", "POST /v1/checks/{service}/{method}"})
	is.True(strings.HasPrefix(parent, "00-0af7651916cd43dd8448eb211c80319c-"))
}

// Guards against running out of memory under large bodies: when the body budget is exhausted, a
// request must be rejected before its body is read.
func TestBufferedBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeTargets(1, func(ctx context.Context, id string, r *target.Request) (*target.Response, error) {
			time.Sleep(time.Second)
			return echo(ctx, id, r)
		})
		g := f.newGate(Limit(func(l *Limits) { l.BufferedBytes = 10 }))
		defer g.Close()
		codes := make(chan int, 3)
		for range 3 {
			w := httptest.NewRecorder()
			go func() {
				g.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/checks/desk/seat", strings.NewReader("12345")))
				codes <- w.Code
			}()
			synctest.Wait()
		}
		is.Equal([]int{<-codes, <-codes, <-codes}, []int{429, 200, 200})
		is.Equal(g.inProgress.bodyBytes, int64(0))
	})
}

// Guards against bodies and headers that crash the gate or get a reply without an outcome.
func FuzzAPI(f *testing.F) {
	fakes := newFakeTargets(1, echo)
	g := fakes.newGate(JobOwner(jobClient()), SessionKeys(sessionKey))
	f.Cleanup(g.Close)
	token, _ := g.issueToken(&session.Session{ID: "s", Service: "desk", Target: "ta", Zone: "z1"})
	f.Add("/v1/jobs", submission("a"), "5", "true", "")
	f.Add("/v1/checks/desk/seat", "x", "-1", "no", "k")
	f.Add("/v1/sessions/desk/stream", `{"method":"add"}`, "", "", "")
	f.Add("/v1/sessions/desk/requests?method=a", "", "", "", "")
	f.Fuzz(func(t *testing.T, path, body, deadline, repeatable, key string) {
		r, err := http.NewRequest(http.MethodPost, "http://gate", strings.NewReader(body))
		if err != nil || !strings.HasPrefix(path, "/v1/") {
			return
		}
		r.URL.Path, r.URL.RawQuery, _ = strings.Cut(path, "?")
		for name, value := range map[string]string{HeaderDeadline: deadline, HeaderRepeatable: repeatable, HeaderKey: key, HeaderSession: token} {
			r.Header[name] = []string{value}
		}
		w := httptest.NewRecorder()
		g.Handler().ServeHTTP(w, r)
		if w.Code >= 500 && w.Code != 503 && w.Code != 504 {
			t.Fatalf("status %d: %s", w.Code, w.Body)
		}
	})
}
