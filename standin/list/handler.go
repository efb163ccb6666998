package list

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"turmericgap/standin/endpoint"
	"turmericgap/vmlist"
	"turmericgap/vmlist/web"
	"turmericgap/webcall"
)

// Paths that control the stand-in.
const (
	RegisterPath   = "/register"
	DeregisterPath = "/deregister"
	ReadmitPath    = "/readmit"
	LeavingPath    = "/leaving"
	LagPath        = "/lag"
	DownPath       = "/down"
)

// DefaultRegisterInterval is the interval at which a stand-in renews the registration of its VMs.
const DefaultRegisterInterval = 2 * time.Second

var errRefused = errors.New("the list of VMs refuses requests")

// IDs is a request that applies to the VMs with these ids.
type IDs struct {
	IDs []string `json:"ids"`
}

// LeavingRequest is a request to set whether VMs are leaving.
type LeavingRequest struct {
	IDs     []string `json:"ids"`
	Leaving bool     `json:"leaving"`
}

// LagRequest is a request to set the age of the returned state.
type LagRequest struct {
	LagMillis int64 `json:"lagMillis"`
}

// DownRequest is a request to make the list unreadable, or readable again.
type DownRequest struct {
	Down bool `json:"down"`
}

// Handler returns an HTTP handler for the list and the requests that control it.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	post(mux, RegisterPath, func(in *vmlist.List) { l.Register(*in) })
	post(mux, DeregisterPath, func(in *IDs) { l.Deregister(in.IDs...) })
	post(mux, ReadmitPath, func(in *IDs) { l.Readmit(in.IDs...) })
	post(mux, LeavingPath, func(in *LeavingRequest) { l.SetLeaving(in.Leaving, in.IDs...) })
	post(mux, LagPath, func(in *LagRequest) { l.SetLag(time.Duration(in.LagMillis) * time.Millisecond) })
	post(mux, DownPath, func(in *DownRequest) { l.SetDown(in.Down) })
	mux.HandleFunc("GET "+web.ListPath, l.serveList)
	return mux
}

func post[In any](mux *http.ServeMux, path string, handle func(*In)) {
	endpoint.Post(mux, path, errRefused, func(_ context.Context, in *In) (any, error) {
		handle(in)
		return struct{}{}, nil
	})
}

func (l *List) serveList(rw http.ResponseWriter, r *http.Request) {
	list, err := l.read(r.Context())
	if err != nil {
		panic(http.ErrAbortHandler) // Closes the connection, as an unavailable service would.
	}
	after, err := strconv.ParseInt(r.URL.Query().Get(web.AfterQuery), 10, 64)
	if err == nil && after == list.Version && after > 0 {
		rw.WriteHeader(http.StatusNotModified)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(list)
}

// SetLag sets the age of the returned state.
func (l *List) SetLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opts.Lag = d
}

// KeepRegistered registers VMs with the list at address at each interval until ctx ends. It does nothing if
// address is empty.
func KeepRegistered(ctx context.Context, address string, interval time.Duration, vms func() vmlist.List) {
	if address == "" {
		return
	}
	address = strings.TrimPrefix(address, "http://")
	pool := webcall.New()
	defer pool.Close()
	for ctx.Err() == nil {
		call := &webcall.Call{Address: address, Path: RegisterPath, In: vms()}
		_ = pool.Do(ctx, call) // The next iteration retries.
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}
