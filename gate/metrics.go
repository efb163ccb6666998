package gate

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"turmericgap/job"
	"turmericgap/metric"
)

type gateMetrics struct {
	done, notRun, unknown               metrics.Counter
	attempts, retries, noBudget         metrics.Counter
	shed, dropped, forwarded, cancelled metrics.Counter
	borrowed, lent                      metrics.Counter
	waiting, ejected, streams           metrics.Gauge
	waitMicros, checkMicros             metrics.Histogram
}

func newGateMetrics(r *metric.Registry) gateMetrics {
	return gateMetrics{
		done: r.Counter("gate.checks.done"), notRun: r.Counter("gate.checks.notRun"),
		unknown: r.Counter("gate.checks.unknown"), attempts: r.Counter("gate.attempts"),
		retries: r.Counter("gate.retries"), noBudget: r.Counter("gate.retries.denied"),
		shed: r.Counter("gate.shed"), dropped: r.Counter("gate.answers.dropped"),
		forwarded: r.Counter("gate.forwarded"), cancelled: r.Counter("gate.cancelled"),
		borrowed: r.Counter("gate.slots.borrowed"), lent: r.Counter("gate.slots.lent"),
		waiting: r.Gauge("gate.waiting"), ejected: r.Gauge("gate.targets.ejected"),
		streams: r.Gauge("gate.streams"), waitMicros: r.Histogram("gate.wait.micros"),
		checkMicros: r.Histogram("gate.check.micros"),
	}
}

func (m *gateMetrics) recordCheck(r *Result, elapsed time.Duration) {
	switch r.Outcome {
	case job.Done:
		m.done.Inc(1)
	case job.NotRun:
		m.notRun.Inc(1)
	case job.Unknown:
		m.unknown.Inc(1)
	}
	if r.Limited {
		m.shed.Inc(1)
	}
	m.checkMicros.Update(elapsed.Microseconds())
}
