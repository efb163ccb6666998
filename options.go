package turmericgap

import (
	"time"

	"go.uber.org/zap"

	"turmericgap/metric"
)

// Options are what a Service is made of.
type Options struct {
	Name            string
	Logger          *zap.Logger
	Metrics         *metric.Registry
	OpsAddress      string
	TraceExporter   string
	TraceAddress    string
	ShutdownTimeout time.Duration
	Start           []func() error
	Stop            []func(deadline time.Time)
	Ready           func() error
	Pages           map[string]Page
}

// Option sets up a Service.
type Option func(*Options)

// Name sets the program's name in logs and traces.
func Name(name string) Option { return func(o *Options) { o.Name = name } }

// Logger sets the root logger; the default writes to standard error.
func Logger(l *zap.Logger) Option { return func(o *Options) { o.Logger = l } }

// OpsAddress sets the operators' port; empty serves none.
func OpsAddress(address string) Option { return func(o *Options) { o.OpsAddress = address } }

// Trace chooses the span exporter and its address.
func Trace(exporter, address string) Option {
	return func(o *Options) { o.TraceExporter, o.TraceAddress = exporter, address }
}

// ShutdownTimeout bounds a graceful shutdown.
func ShutdownTimeout(d time.Duration) Option { return func(o *Options) { o.ShutdownTimeout = d } }

// Start adds a function that is run when the service starts; the first error ends the service.
func Start(f func() error) Option { return func(o *Options) { o.Start = append(o.Start, f) } }

// Stop adds a function that is run at shutdown, in the order added, each until the deadline.
func Stop(f func(deadline time.Time)) Option {
	return func(o *Options) { o.Stop = append(o.Stop, f) }
}

// Ready sets the check behind the readiness page; nil means ready.
func Ready(f func() error) Option { return func(o *Options) { o.Ready = f } }

// AddPage serves a page on the operators' port.
func AddPage(path string, p Page) Option { return func(o *Options) { o.Pages[path] = p } }
