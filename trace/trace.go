package trace

import (
	"context"
	"sort"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// None is the exporter that drops all spans; it is the default.
const None = "none"

// Exporter creates a span exporter for an address, whose format depends on the exporter.
type Exporter func(ctx context.Context, address string) (sdktrace.SpanExporter, error)

var exporters = map[string]Exporter{}

// Register adds an exporter under a name; plug-ins call it from init.
func Register(name string, e Exporter) { exporters[name] = e }

// Names returns the names of all registered exporters, None first.
func Names() []string {
	names := make([]string, 0, len(exporters)+1)
	for name := range exporters {
		names = append(names, name)
	}
	sort.Strings(names)
	return append([]string{None}, names...)
}

// Start installs the named exporter for the process and returns a function that flushes and stops it.
func Start(ctx context.Context, program, name, address string) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if name == "" || name == None {
		return func(context.Context) error { return nil }, nil
	}
	build, ok := exporters[name]
	if !ok {
		return nil, eris.Errorf("trace exporter %q is not known; known are %v", name, Names())
	}
	exporter, err := build(ctx, address)
	if err != nil {
		return nil, eris.Wrap(err, "create trace exporter")
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", program))))
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}
