// Package metric registers the process's metrics and serves them in the Prometheus text format.
package metric
