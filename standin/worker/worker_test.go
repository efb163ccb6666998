package worker

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/webcall"
	"turmericgap/worker"
	"turmericgap/worker/web"
)

var info = worker.Info{ID: "w", Has: job.Resources{Millicores: 4000, MemoryMB: 4000, Accelerators: 1}}

func TestSmoke(t *testing.T) {
	is := is.New(t)
	w := New(info)
	server := httptest.NewServer(w.Handler())
	defer server.Close()
	c := web.New(webcall.New())(worker.Info{ID: "w", Address: strings.TrimPrefix(server.URL, "http://")}, func() bool { return true })
	r, err := c.Start(context.Background(), &worker.Start{Attempt: "a/0/1", Class: "roster", Each: job.Resources{Millicores: 1000, MemoryMB: 1}})
	is.NoErr(err)
	is.Equal(r.State, worker.Running)
	h, err := c.Heartbeat(context.Background(), &worker.Heartbeat{})
	is.NoErr(err)
	is.True(h.Whole)
	for h.Reports[0].State == worker.Running {
		n, err := c.Heartbeat(context.Background(), &worker.Heartbeat{Cursor: h.Cursor, WaitMillis: 1000})
		is.NoErr(err)
		h = n
	}
	is.Equal(string(h.Reports[0].Answer.Body), "roster done attempt a/0/1")
	w.Close()
}

func TestLeaseLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := New(info)
		_, err := w.Start(t.Context(), &worker.Start{Attempt: "a/0/1", Service: true, LeaseMillis: 1500})
		is.NoErr(err)
		h, err := w.Heartbeat(t.Context(), &worker.Heartbeat{})
		is.NoErr(err)
		h, err = w.Heartbeat(t.Context(), &worker.Heartbeat{Cursor: h.Cursor, WaitMillis: 5000})
		is.NoErr(err)
		is.Equal(h.Reports[0].State, worker.Running) // Its usage became known.
		h, err = w.Heartbeat(t.Context(), &worker.Heartbeat{Cursor: h.Cursor, WaitMillis: 5000})
		is.NoErr(err)
		is.Equal(h.Reports[0].State, worker.Stopped)
		w.Close()
	})
}
