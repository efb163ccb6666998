// Package trace sets up tracing and exports the spans with the exporter chosen in the settings. Each hop of a
// request has one span.
package trace
