package target

import (
	"context"
	"net/http"

	"turmericgap/gate/target"
	"turmericgap/gate/target/web"
	"turmericgap/standin/endpoint"
)

// Paths that control the stand-in.
const (
	FaultPath   = "/fault"
	LeavingPath = "/leaving"
	StatePath   = "/state"
)

// LeavingRequest is a request to set whether the target is leaving.
type LeavingRequest struct {
	Leaving bool `json:"leaving"`
}

// State is the state of a target that tests inspect.
type State struct {
	Info       target.Info `json:"info"`
	InUse      int         `json:"inUse"`
	Most       int         `json:"most"`
	Ran        int64       `json:"ran"`
	Sessions   int         `json:"sessions"`
	Leaving    bool        `json:"leaving"`
	Fault      Fault       `json:"fault"`
	Violations []string    `json:"violations"`
}

// State returns the state that tests inspect.
func (t *Target) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return State{
		Info: t.opts.Info, InUse: t.inUse, Most: t.maxInUse, Ran: t.startCount, Sessions: len(t.sessions),
		Leaving: !t.leavingSince.IsZero(), Fault: t.fault, Violations: append([]string{}, t.violations...),
	}
}

// Handler returns an HTTP handler for the target and the requests that control it.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	endpoint.Post(mux, web.DoPath, target.ErrRefused, func(ctx context.Context, in *target.Request) (any, error) { return t.do(ctx, in) })
	endpoint.Post(mux, FaultPath, target.ErrRefused, func(_ context.Context, in *Fault) (any, error) {
		t.SetFault(*in)
		return t.State(), nil
	})
	endpoint.Post(mux, LeavingPath, target.ErrRefused, func(_ context.Context, in *LeavingRequest) (any, error) {
		t.SetLeaving(in.Leaving)
		return t.State(), nil
	})
	endpoint.Get(mux, StatePath, func() any { return t.State() })
	return mux
}
