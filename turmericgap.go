package turmericgap

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"turmericgap/connection"
	"turmericgap/logger"
	"turmericgap/metric"
	"turmericgap/trace"
)

// Defaults.
const (
	DefaultName            = "turmericgap"
	DefaultShutdownTimeout = 30 * time.Second
)

// Limits of the operators' port.
const (
	opsConnections = 32
	opsMemoryBytes = 4 << 20
	opsBodyBytes   = 64 << 10
	opsHeaderBytes = 16 << 10
	opsReadTimeout = 5 * time.Second
)

// Page handles a request on the operators' port.
type Page = http.HandlerFunc

// Service is the runtime of one program of the cell.
type Service struct {
	opts     Options
	stopping atomic.Bool
	ops      *http.Server
}

// New returns a Service. Without options it only logs and waits for a signal to stop.
func New(opts ...Option) *Service {
	o := Options{Name: DefaultName, ShutdownTimeout: DefaultShutdownTimeout, Pages: map[string]Page{}}
	for _, f := range opts {
		f(&o)
	}
	if o.Logger == nil {
		o.Logger = logger.New(o.Name)
	}
	if o.Metrics == nil {
		o.Metrics = metric.New()
	}
	return &Service{opts: o}
}

// Init applies further options before Run.
func (s *Service) Init(opts ...Option) {
	for _, f := range opts {
		f(&s.opts)
	}
}

// Logger returns the service's root logger.
func (s *Service) Logger() *zap.Logger { return s.opts.Logger }

// Metrics returns the service's metrics.
func (s *Service) Metrics() *metric.Registry { return s.opts.Metrics }

// Run starts the service and returns after its graceful shutdown on SIGTERM or SIGINT.
func (s *Service) Run() error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(stop)
	flush, err := trace.Start(context.Background(), s.opts.Name, s.opts.TraceExporter, s.opts.TraceAddress)
	if err != nil {
		return err
	}
	if err := s.serveOps(); err != nil {
		return err
	}
	for _, f := range s.opts.Start {
		if err := f(); err != nil {
			return err
		}
	}
	s.opts.Logger.Info("service: started")
	sig := <-stop
	s.opts.Logger.Info("service: shutting down", zap.String("signal", sig.String()))
	s.shutdown(flush)
	return nil
}

func (s *Service) shutdown(flush func(context.Context) error) {
	s.stopping.Store(true)
	deadline := time.Now().Add(s.opts.ShutdownTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for _, f := range s.opts.Stop {
		f(deadline)
	}
	if err := flush(ctx); err != nil {
		s.opts.Logger.Warn("service: spans were lost", zap.Error(err))
	}
	if s.ops != nil {
		_ = s.ops.Close()
	}
	s.opts.Logger.Info("service: stopped")
	_ = s.opts.Logger.Sync()
}

func (s *Service) serveOps() error {
	if s.opts.OpsAddress == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", s.opts.Metrics)
	mux.Handle("/log/level", logger.Level)
	mux.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/ready", s.serveReady)
	for path, page := range s.opts.Pages {
		mux.HandleFunc(path, page)
	}
	l, err := net.Listen("tcp", s.opts.OpsAddress)
	if err != nil {
		return eris.Wrap(err, "operators' port")
	}
	budget := connection.NewBudget("operators", connection.Limits{Connections: opsConnections, Bytes: opsMemoryBytes}, s.opts.Metrics)
	limits := connection.RequestLimits{
		HeaderBytes: opsHeaderBytes, HeaderTimeout: opsReadTimeout, BodyTimeout: opsReadTimeout, IdleTimeout: opsReadTimeout,
	}
	s.ops = connection.NewServer(http.MaxBytesHandler(mux, opsBodyBytes))
	go func() {
		if err := s.ops.Serve(connection.Listen(l, budget, func() connection.RequestLimits { return limits })); err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.opts.Logger.Error("service: operators' port failed", zap.Error(err))
		}
	}()
	return nil
}

func (s *Service) serveReady(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	if s.opts.Ready != nil {
		if err := s.opts.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	w.WriteHeader(http.StatusOK)
}
