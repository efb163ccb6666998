package etcd_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "turmericgap/standin/store"
	"turmericgap/store"
	"turmericgap/store/contract"
	"turmericgap/store/etcd"
	"turmericgap/store/memory"
)

func TestContract(t *testing.T) {
	contract.Run(t, func(t *testing.T) *store.Store {
		server := httptest.NewServer(standin.New(memory.New()))
		t.Cleanup(server.Close)
		s, err := store.Open(etcd.Name, server.URL)
		if err != nil {
			t.Fatal(err)
		}
		return s
	})
}

func write(ctx context.Context, s *store.Store) error {
	_, err := s.Txn(ctx, store.Txn{Then: []store.Op{{Key: "a", Value: []byte("value")}}})
	return err
}

// Guards against a write that is reported as not applied although it was applied.
// The client's error is compared with the keys of the stand-in, whose responses are replaced by a fault.
func TestOutcome(t *testing.T) {
	respond := func(status int, body string) func(http.Handler) http.Handler {
		return func(http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				fmt.Fprint(w, body)
			})
		}
	}
	afterApply := func(then func(w http.ResponseWriter)) func(http.Handler) http.Handler {
		return func(h http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				h.ServeHTTP(httptest.NewRecorder(), r)
				then(w)
			})
		}
	}
	var cancel context.CancelFunc
	cases := []struct {
		name     string
		wrap     func(http.Handler) http.Handler
		opts     []etcd.Option
		definite bool
	}{
		{"response cut", afterApply(func(http.ResponseWriter) { panic(http.ErrAbortHandler) }), nil, false},
		{"response truncated", afterApply(func(w http.ResponseWriter) { fmt.Fprint(w, `{"header":{"rev`) }), nil, false},
		{"response of another type", afterApply(func(w http.ResponseWriter) { fmt.Fprint(w, `{"header":7}`) }), nil, false},
		{"response too long", afterApply(func(w http.ResponseWriter) {
			fmt.Fprintf(w, `{"header":{"revision":"2"},"succeeded":true,"x":%q}`, strings.Repeat("x", 9000))
		}), []etcd.Option{etcd.MaxResponseBytes(4096)}, false},
		{"canceled before the response", afterApply(func(http.ResponseWriter) { cancel() }), nil, false},
		{"unavailable", respond(503, `{"code":14,"message":"no leader"}`), nil, false},
		{"empty response", respond(200, `{}`), nil, false},
		{"response of a proxy", respond(502, `<html>`), nil, false},
		{"invalid", respond(400, `{"code":3,"message":"too large"}`), nil, true},
		{"lease gone", respond(404, `{"code":5,"message":"lease not found"}`), nil, true},
		{"dial refused", nil, []etcd.Option{etcd.Dial(func(context.Context, string, string) (net.Conn, error) {
			return nil, errors.New("refused")
		})}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var ctx context.Context
			ctx, cancel = context.WithCancel(context.Background())
			defer cancel()
			service := memory.New()
			var handler http.Handler = standin.New(service)
			if c.wrap != nil {
				handler = c.wrap(handler)
			}
			server := httptest.NewServer(handler)
			defer server.Close()
			err := write(ctx, etcd.New(server.URL, c.opts...))
			is.True(err != nil)
			is.Equal(store.NotApplied(err), c.definite)
			if keys, _ := service.Size(); keys > 0 {
				is.True(!c.definite) // the write was applied
			}
		})
	}
}

// Guards against taking an empty response, for example from a proxy, for "the key is missing" or "the lease has
// expired".
func TestEmptyAnswers(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{}`) }))
	defer server.Close()
	s, ctx := etcd.New(server.URL), context.Background()
	_, err := s.Range(ctx, store.Range{Key: "a"})
	is.True(err != nil)
	_, err = s.KeepAlive(ctx, 7)
	is.True(err != nil && !errors.Is(err, store.ErrLeaseGone))
	_, err = s.Grant(ctx, time.Second)
	is.True(err != nil)
}

// Guards against an unknown outcome for a call that was never sent.
// The only allowed connection is held by a slow call, and a second call times out while it waits for it.
func TestNoConnectionLeft(t *testing.T) {
	is := is.New(t)
	service := memory.New()
	handler, release := standin.New(service), make(chan struct{})
	entered := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-release
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	s := etcd.New(server.URL, etcd.MaxConns(1))
	first := make(chan error, 1)
	go func() { first <- write(context.Background(), s) }()
	<-entered
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	is.True(errors.Is(write(ctx, s), store.ErrNotSent))
	close(release)
	is.NoErr(<-first)
}

// Guards against a stand-in whose faults cannot be set over HTTP, or whose lost responses undo the write.
func TestFaultPage(t *testing.T) {
	is := is.New(t)
	service := memory.New()
	server := httptest.NewServer(standin.New(service))
	defer server.Close()
	s := etcd.New(server.URL)
	set := func(body string) int {
		resp, err := http.Post(server.URL+"/fault", "application/json", strings.NewReader(body))
		is.NoErr(err)
		resp.Body.Close()
		return resp.StatusCode
	}
	is.Equal(set(`{"loseAnswers":1}`), http.StatusOK)
	err := write(context.Background(), s)
	is.True(err != nil && !store.NotApplied(err))
	keys, _ := service.Size()
	is.Equal(keys, 1)
	is.NoErr(write(context.Background(), s))
	is.Equal(set(`{"down":true}`), http.StatusOK)
	is.True(write(context.Background(), s) != nil)
	is.True(s.Watch(context.Background(), "a", 1, func(store.Batch) {}) != nil)
	is.Equal(set(`{}`), http.StatusOK)
	is.NoErr(write(context.Background(), s))
	is.Equal(set(`[`), http.StatusBadRequest)
}
