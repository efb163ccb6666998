package metric

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Prefix is prepended to the name of every exported metric.
const Prefix = "turmericgap_"

// Registry holds the metrics of one process.
type Registry struct{ inner metrics.Registry }

// New returns an empty registry.
func New() *Registry { return &Registry{inner: metrics.NewRegistry()} }

// Counter returns the counter with this name and creates it if needed.
func (r *Registry) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, r.inner)
}

// Gauge returns the gauge with this name and creates it if needed.
func (r *Registry) Gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, r.inner)
}

// Histogram returns the histogram with this name and creates it if needed.
func (r *Registry) Histogram(name string) metrics.Histogram {
	build := func() metrics.Histogram { return metrics.NewHistogram(metrics.NewUniformSample(sampleSize)) }
	return r.inner.GetOrRegister(name, build).(metrics.Histogram)
}

// Counters returns the values of all counters by name.
func (r *Registry) Counters() map[string]int64 {
	out := make(map[string]int64)
	r.inner.Each(func(name string, m any) {
		if c, ok := m.(metrics.Counter); ok {
			out[name] = c.Count()
		}
	})
	return out
}

const sampleSize = 512

var quantiles = []float64{0.5, 0.99}

// Write writes all metrics to w, sorted by name.
func (r *Registry) Write(w io.Writer) {
	var lines []string
	r.inner.Each(func(name string, m any) {
		id := Prefix + strings.NewReplacer(".", "_", "-", "_").Replace(name)
		switch v := m.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s_total %d", strings.TrimSuffix(id, "_total"), v.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", id, v.Value()))
		case metrics.Histogram:
			s := v.Snapshot()
			for i, q := range s.Percentiles(quantiles) {
				lines = append(lines, fmt.Sprintf("%s{quantile=\"%g\"} %g", id, quantiles[i], q))
			}
			lines = append(lines, fmt.Sprintf("%s_count %d", id, s.Count()), fmt.Sprintf("%s_max %d", id, s.Max()))
		}
	})
	sort.Strings(lines)
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
}

// ServeHTTP serves the metrics to a scraper.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	r.Write(w)
}
