package balancer

import (
	"slices"
	"time"
)

// RecordOutcome updates the state of a target after a request that took the given time at the
// target.
func (b *Balancer) RecordOutcome(id string, outcome Outcome, elapsed time.Duration, now time.Time) {
	e, ok := b.byID[id]
	if !ok {
		return
	}
	probe := e.probing && e.ejected
	e.probing = false
	switch outcome {
	case Abandoned:
		return
	case Busy:
		e.busyUntil = now.Add(b.opts.BusyBackoff)
		return
	case Failed:
		e.failures++
		b.recordLatency(e, elapsed)
		if probe || e.failures >= b.opts.FailureThreshold {
			b.eject(e, now)
		}
	case Succeeded:
		b.recordSuccess(e, probe, elapsed, now)
	}
	b.ejectSlow(now)
}

func (b *Balancer) recordSuccess(e *targetState, probe bool, elapsed time.Duration, now time.Time) {
	e.failures = 0
	if probe {
		if b.isSlow(elapsed.Seconds()) {
			b.eject(e, now)
			return
		}
		e.ejected, e.warmupStart, e.latency, e.samples = false, now, 0, 0
	}
	b.recordLatency(e, elapsed)
	if e.samples >= minSamples && !e.ejected {
		e.ejections = 0
	}
}

func (b *Balancer) recordLatency(e *targetState, elapsed time.Duration) {
	s := elapsed.Seconds()
	if e.samples == 0 {
		e.latency = s
	} else {
		e.latency += latencySmoothing * (s - e.latency)
	}
	e.samples++
}

// ejectSlow ejects targets that are much slower than their peers. Latency includes only the time at
// the target, not the wait in the gate or busy rejections, because a queue does not mean a fault.
func (b *Balancer) ejectSlow(now time.Time) {
	if now.Sub(b.lastSlowCheck) < slowCheckInterval {
		return
	}
	b.lastSlowCheck = now
	known := make([]float64, 0, len(b.targets))
	for _, e := range b.targets {
		if !e.ejected && e.samples >= minSamples {
			known = append(known, e.latency)
		}
	}
	b.median = 0
	if len(known) < 3 {
		return
	}
	slices.Sort(known)
	b.median = known[(len(known)-1)/2]
	for _, e := range b.targets {
		if !e.ejected && e.samples >= minSamples && b.isSlow(e.latency) {
			b.eject(e, now)
		}
	}
}

func (b *Balancer) isSlow(latency float64) bool {
	return b.median > 0 && latency > b.opts.SlowFloor.Seconds() && latency > b.opts.SlowFactor*b.median
}

// eject ejects a target unless more than half of the targets would then be ejected. If all targets
// fail the cause lies elsewhere, and the remaining ones would be overloaded.
func (b *Balancer) eject(e *targetState, now time.Time) {
	if !e.ejected {
		if 2*(b.EjectedCount()+1) > b.notLeavingCount() {
			return
		}
		e.ejected = true
	}
	e.ejectedUntil = now.Add(b.ejectionTime(e))
	e.ejections++
}

func (b *Balancer) notLeavingCount() int {
	n := 0
	for _, e := range b.targets {
		if !e.info.Leaving {
			n++
		}
	}
	return n
}

func (b *Balancer) ejectionTime(e *targetState) time.Duration {
	d := b.opts.BaseEjection
	for range e.ejections {
		if d *= 2; d >= b.opts.MaxEjection {
			return b.opts.MaxEjection
		}
	}
	return d
}
