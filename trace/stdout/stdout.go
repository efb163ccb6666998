// Package stdout exports spans as JSON lines to standard output, or to the file given as address.
package stdout

import (
	"context"
	"io"
	"os"

	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"turmericgap/trace"
)

// Name is the name of this exporter in the settings.
const Name = "stdout"

func init() { trace.Register(Name, newExporter) }

func newExporter(_ context.Context, address string) (sdktrace.SpanExporter, error) {
	var out io.Writer = os.Stdout
	if address != "" {
		f, err := os.OpenFile(address, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		out = f
	}
	return stdouttrace.New(stdouttrace.WithWriter(out))
}
