package cell

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"turmericgap/gate"
	"turmericgap/gate/target"
	"turmericgap/job"
	"turmericgap/member"
	"turmericgap/route"
	"turmericgap/rpc"
	"turmericgap/scheduler"
	"turmericgap/standin/golden"
	standintarget "turmericgap/standin/target"
	standin "turmericgap/standin/worker"
	"turmericgap/store"
	"turmericgap/store/memory"
	"turmericgap/worker"
)

// A check and a job must produce one span for each hop, each as a child of the span that caused it, and all
// below the caller's span. The golden file holds their names and parents.
func TestTrace(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans))
	before := otel.GetTracerProvider()
	otel.SetTracerProvider(provider)
	defer otel.SetTracerProvider(before)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, stop := newTracedGate(t)
		defer stop()
		time.Sleep(30 * time.Second) // A new gate first waits out the removal grace period of earlier gates.
		check := request(g, http.MethodPost, "/v1/checks/course-desk/booking", "seat", "0af7651916cd43dd8448eb211c80319c")
		is.Equal(check.Code, http.StatusOK)
		spec := `{"key":"k","team":"t","class":"roster","kind":"batch","tasks":1,"repeatable":true,"each":{"millicores":1000,"memoryMB":1000,"accelerators":0}}`
		is.True(request(g, http.MethodPost, "/v1/jobs", spec, "1af7651916cd43dd8448eb211c80319c").Code < 300)
		time.Sleep(5 * time.Second)
	})
	var out strings.Builder
	for _, trace := range []string{"0af7651916cd43dd8448eb211c80319c", "1af7651916cd43dd8448eb211c80319c"} {
		printTree(&out, spans.GetSpans(), trace, "b7ad6b7169203331", 0)
	}
	golden.Equal(t, "testdata/trace.golden", []byte(out.String()))
}

func request(g *gate.Gate, method, path, body, trace string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("traceparent", "00-"+trace+"-b7ad6b7169203331-01")
	r.Header.Set(gate.HeaderRepeatable, "true")
	w := httptest.NewRecorder()
	g.Handler().ServeHTTP(w, r)
	return w
}

// newTracedGate returns a gate with a scheduler connected by rpc over a pipe, one target and one worker.
func newTracedGate(t *testing.T) (g *gate.Gate, stop func()) {
	kv := memory.New()
	res, err := kv.Store().Txn(context.Background(), store.Txn{Then: []store.Op{{Key: member.EpochKey(zone), Value: []byte("1")}}})
	if err != nil {
		t.Fatal(err)
	}
	w := standin.New(worker.Info{ID: "w", Zone: zone, Has: job.Resources{Millicores: 4000, MemoryMB: 4000}})
	s := scheduler.New(scheduler.Zone(zone), scheduler.Store(kv.Store()),
		scheduler.Owns(func() (int64, int64, bool) { return 1, res.Revision, true }),
		scheduler.Workers(func() []worker.Info { return []worker.Info{w.Info()} }),
		scheduler.Dial(func(worker.Info, func() bool) *worker.Client { return w.Client() }))
	server := rpc.NewServer()
	s.Register(server)
	pool := rpc.NewPool(rpc.Dial(func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go server.ServeConn(far)
		return near, nil
	}))
	c := &route.Client{Zones: []string{zone}, Pool: pool, Owner: func(string) (string, bool) { return "10.0.0.1:1", true }}
	deskTarget := standintarget.New(target.Info{ID: "desk", Zone: zone, Service: "course-desk", Slots: 8, Connections: 64})
	g = gate.New(gate.Zone(zone), gate.JobOwner(gate.JobClient{Submit: c.Submit, Status: c.Status, Wait: c.Wait}),
		gate.Targets(func() []target.Info { return []target.Info{deskTarget.Info()} }),
		gate.Dial(func(target.Info, int) *target.Client { return deskTarget.Client() }))
	return g, func() {
		g.Close()
		s.Kill()
		pool.Close()
		server.Close()
		w.Close()
	}
}

// printTree prints the spans of a trace below a parent, sorted by name.
func printTree(out *strings.Builder, all tracetest.SpanStubs, trace, parent string, depth int) {
	var children tracetest.SpanStubs
	for _, s := range all {
		if s.SpanContext.TraceID().String() == trace && s.Parent.SpanID().String() == parent {
			children = append(children, s)
		}
	}
	slices.SortFunc(children, func(a, b tracetest.SpanStub) int { return strings.Compare(a.Name, b.Name) })
	for _, s := range children {
		fmt.Fprintf(out, "%s%s (%s)\n", strings.Repeat("  ", depth), s.Name, s.SpanKind)
		printTree(out, all, trace, s.SpanContext.SpanID().String(), depth+1)
	}
}
