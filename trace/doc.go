// Package trace sets up tracing, with one span for each hop of a request, and the exporter chosen in the
// settings.
package trace
