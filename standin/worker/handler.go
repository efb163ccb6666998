package worker

import (
	"context"
	"net/http"
	"time"

	"turmericgap/job"
	"turmericgap/standin/endpoint"
	"turmericgap/worker"
	"turmericgap/worker/web"
)

// Paths that control the stand-in.
const (
	FaultPath   = "/fault"
	RestartPath = "/restart"
	StatePath   = "/state"
)

// State is the state of a worker that tests inspect.
type State struct {
	Info       worker.Info       `json:"info"`
	Boot       string            `json:"boot"`
	Used       job.Resources     `json:"used"`
	Starts     int64             `json:"starts"`
	Running    int               `json:"running"`
	Kept       int               `json:"kept"`
	Forgotten  int               `json:"forgotten"`
	Fault      Fault             `json:"fault"`
	Violations []string          `json:"violations"`
	Attempts   map[string]string `json:"attempts"`
}

// State returns the state that tests inspect.
func (w *Worker) State() State {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := State{
		Info: w.opts.Info, Boot: w.boot, Used: w.used, Starts: w.starts, Kept: len(w.attempts), Forgotten: len(w.forgotten.states),
		Fault: w.fault, Violations: append([]string{}, w.violations...), Attempts: make(map[string]string),
	}
	for id, a := range w.attempts {
		s.Attempts[id] = string(a.state)
		if a.state == worker.Running {
			s.Running++
		}
	}
	return s
}

// Handler returns an HTTP handler for the worker and the requests that control it.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	endpoint.Post(mux, web.StartPath, worker.ErrRefused, func(ctx context.Context, in *worker.Start) (any, error) {
		return call(ctx, w, func() (*worker.Report, error) { return w.doStart(in, time.Now()) })
	})
	endpoint.Post(mux, web.ActPath, worker.ErrRefused, func(ctx context.Context, in *worker.Act) (any, error) {
		return call(ctx, w, func() (*worker.Report, error) { return w.doAct(in, time.Now()) })
	})
	endpoint.Post(mux, web.HeartbeatPath, worker.ErrRefused, func(ctx context.Context, in *worker.Heartbeat) (any, error) {
		return w.heartbeat(ctx, in)
	})
	endpoint.Post(mux, FaultPath, worker.ErrRefused, func(_ context.Context, in *Fault) (any, error) {
		w.SetFault(*in)
		return w.State(), nil
	})
	endpoint.Post(mux, RestartPath, worker.ErrRefused, func(context.Context, *struct{}) (any, error) {
		w.Restart()
		return w.State(), nil
	})
	endpoint.Get(mux, StatePath, func() any { return w.State() })
	return mux
}
