package trace

import (
	"context"

	"go.opentelemetry.io/otel/propagation"
)

const parentKey = "traceparent"

// Parent gives the W3C trace parent of the span in ctx, for a message; empty without a span.
func Parent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[parentKey]
}

// WithParent gives ctx with the trace parent that a message brought.
func WithParent(ctx context.Context, parent string) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{parentKey: parent})
}
