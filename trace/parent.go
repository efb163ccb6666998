package trace

import (
	"context"

	"go.opentelemetry.io/otel/propagation"
)

const parentKey = "traceparent"

// Parent returns the W3C trace parent of the span in ctx, to be sent in a message. It is empty if ctx has no
// span.
func Parent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[parentKey]
}

// WithParent returns ctx with the trace parent received in a message.
func WithParent(ctx context.Context, parent string) context.Context {
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{parentKey: parent})
}
