// Package metric names the process's metrics and serves them in the text format of common scrapers.
package metric
