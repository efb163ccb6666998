// Package otlp exports spans by OTLP over HTTP to the collector at the given address.
package otlp

import (
	"context"

	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"turmericgap/trace"
)

// Name is the name of this exporter in the settings.
const Name = "otlp"

func init() { trace.Register(Name, newExporter) }

func newExporter(ctx context.Context, address string) (sdktrace.SpanExporter, error) {
	return otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(address), otlptracehttp.WithInsecure())
}
