package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	maxRequestBytes = 4 << 20
	maxHeaderBytes  = 16 << 10
	headerTimeout   = 5 * time.Second
	shutdownTimeout = 2 * time.Second
)

// Post registers a handler for POST requests with a JSON body. An error that wraps conflict is answered with
// status 409. Any other error aborts the connection, as the failure of the VM would.
func Post[In any](mux *http.ServeMux, path string, conflict error, handle func(context.Context, *In) (any, error)) {
	mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) {
		in := new(In)
		if err := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxRequestBytes)).Decode(in); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := handle(r.Context(), in)
		switch {
		case err == nil:
			write(rw, out)
		case errors.Is(err, conflict):
			http.Error(rw, err.Error(), http.StatusConflict)
		default:
			panic(http.ErrAbortHandler)
		}
	})
}

// Get registers a handler for GET requests that responds with the result of handle as JSON.
func Get(mux *http.ServeMux, path string, handle func() any) {
	mux.HandleFunc("GET "+path, func(rw http.ResponseWriter, _ *http.Request) { write(rw, handle()) })
}

func write(rw http.ResponseWriter, out any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(out)
}

// Serve serves h at address until the process receives SIGTERM or SIGINT, then shuts down gracefully.
func Serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(l) }()
	select {
	case err := <-serveErr:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancelShutdown()
	if server.Shutdown(shutdownCtx) != nil {
		return server.Close()
	}
	return nil
}
