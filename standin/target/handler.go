package target

import (
	"context"
	"net/http"

	"turmericgap/gate/target"
	"turmericgap/gate/target/web"
	"turmericgap/standin/endpoint"
)

// Paths of the stand-in itself.
const (
	FaultPath   = "/fault"
	LeavingPath = "/leaving"
	StatePath   = "/state"
)

// LeavingRequest announces that a target leaves.
type LeavingRequest struct {
	Leaving bool `json:"leaving"`
}

// State is what tests may read of a target.
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

// State gives what tests may read.
func (t *Target) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return State{
		Info: t.opts.Info, InUse: t.inUse, Most: t.most, Ran: t.ran, Sessions: len(t.sessions),
		Leaving: !t.leavingSince.IsZero(), Fault: t.fault, Violations: append([]string{}, t.violations...),
	}
}

// Handler serves the target over HTTP.
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
