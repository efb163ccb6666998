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
	shutdownWithin  = 2 * time.Second
)

// Post decodes the calls to path. An error that is refused becomes status 409; any other cuts the
// connection, as by a VM that is gone.
func Post[In any](mux *http.ServeMux, path string, refused error, do func(context.Context, *In) (any, error)) {
	mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) {
		in := new(In)
		if err := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxRequestBytes)).Decode(in); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := do(r.Context(), in)
		switch {
		case err == nil:
			write(rw, out)
		case errors.Is(err, refused):
			http.Error(rw, err.Error(), http.StatusConflict)
		default:
			panic(http.ErrAbortHandler)
		}
	})
}

// Get serves what do gives at path.
func Get(mux *http.ServeMux, path string, do func() any) {
	mux.HandleFunc("GET "+path, func(rw http.ResponseWriter, _ *http.Request) { write(rw, do()) })
}

func write(rw http.ResponseWriter, out any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(out)
}

// Serve serves a stand-in's program at address until it gets SIGTERM or SIGINT.
func Serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	select {
	case err := <-ended:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	stop, cancelStop := context.WithTimeout(context.Background(), shutdownWithin)
	defer cancelStop()
	if server.Shutdown(stop) != nil {
		return server.Close()
	}
	return nil
}
