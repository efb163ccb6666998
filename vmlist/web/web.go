package web

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"

	"turmericgap/vmlist"
	"turmericgap/webcall"
)

// Path and query of the request.
const (
	ListPath = "/list"
	// AfterQuery holds the version that the reader has; the response is 304 if the list has not changed since.
	AfterQuery = "after"
)

// New returns a source of the list at address. It caches the last list, so that an unchanged list takes
// only an empty response.
func New(pool *webcall.Pool, address string) *vmlist.Source {
	r := &reader{pool: pool, address: address}
	return &vmlist.Source{Read: r.read}
}

type reader struct {
	pool    *webcall.Pool
	address string
	mu      sync.Mutex
	last    vmlist.List
}

func (r *reader) read(ctx context.Context) (vmlist.List, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out vmlist.List
	path := ListPath + "?" + AfterQuery + "=" + strconv.FormatInt(r.last.Version, 10)
	err := r.pool.Do(ctx, &webcall.Call{Address: r.address, Path: path, Out: &out})
	switch {
	case webcall.StatusCode(err) == http.StatusNotModified:
		return r.last, nil
	case err != nil:
		return vmlist.List{}, fmt.Errorf("VM list: %w", err)
	}
	r.last = out
	return out, nil
}
