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

// Names of the call.
const (
	ListPath = "/list"
	// AfterQuery names the version that the reader has; the answer is 304 when it is the newest.
	AfterQuery = "after"
)

// New returns the source of the list at address; it keeps the last reading, so that a list that did
// not change costs an empty answer.
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
