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

// Paths of the stand-in itself.
const (
	RegisterPath   = "/register"
	DeregisterPath = "/deregister"
	ReadmitPath    = "/readmit"
	LeavingPath    = "/leaving"
	LagPath        = "/lag"
	DownPath       = "/down"
)

// DefaultRegisterInterval is how often a stand-in registers its VMs again.
const DefaultRegisterInterval = 2 * time.Second

var errRefused = errors.New("refused")

// IDs names VMs.
type IDs struct {
	IDs []string `json:"ids"`
}

// LeavingRequest marks VMs as leaving or not.
type LeavingRequest struct {
	IDs     []string `json:"ids"`
	Leaving bool     `json:"leaving"`
}

// LagRequest sets how old the shown state is.
type LagRequest struct {
	LagMillis int64 `json:"lagMillis"`
}

// DownRequest makes the list unreadable.
type DownRequest struct {
	Down bool `json:"down"`
}

// Handler serves the list over HTTP.
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

func post[In any](mux *http.ServeMux, path string, do func(*In)) {
	endpoint.Post(mux, path, errRefused, func(_ context.Context, in *In) (any, error) {
		do(in)
		return struct{}{}, nil
	})
}

func (l *List) serveList(rw http.ResponseWriter, r *http.Request) {
	list, err := l.read(r.Context())
	if err != nil {
		panic(http.ErrAbortHandler) // The connection is cut, as by a service that is gone.
	}
	after, err := strconv.ParseInt(r.URL.Query().Get(web.AfterQuery), 10, 64)
	if err == nil && after == list.Version && after > 0 {
		rw.WriteHeader(http.StatusNotModified)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(list)
}

// SetLag sets how old the shown state is.
func (l *List) SetLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opts.Lag = d
}

// KeepRegistered registers VMs at the list behind address again and again until ctx ends. An empty
// address registers nothing.
func KeepRegistered(ctx context.Context, address string, every time.Duration, vms func() vmlist.List) {
	if address == "" {
		return
	}
	address = strings.TrimPrefix(address, "http://")
	pool := webcall.New()
	defer pool.Close()
	for ctx.Err() == nil {
		call := &webcall.Call{Address: address, Path: RegisterPath, In: vms()}
		_ = pool.Do(ctx, call) // The next round tries again.
		select {
		case <-ctx.Done():
		case <-time.After(every):
		}
	}
}
