package balancer

import (
	"slices"
	"time"
)

// RecordOutcome learns from a request that worked on its target for the given time.
func (b *Balancer) RecordOutcome(id string, v Outcome, took time.Duration, now time.Time) {
	e, ok := b.byID[id]
	if !ok {
		return
	}
	probe := e.probing && e.ejected
	e.probing = false
	switch v {
	case Abandoned:
		return
	case Busy:
		e.busyUntil = now.Add(b.opts.BusyBackoff)
		return
	case Failed:
		e.failures++
		b.learn(e, took)
		if probe || e.failures >= b.opts.FailureThreshold {
			b.eject(e, now)
		}
	case Succeeded:
		b.good(e, probe, took, now)
	}
	b.judge(now)
}

func (b *Balancer) good(e *entry, probe bool, took time.Duration, now time.Time) {
	e.failures = 0
	if probe {
		if b.slow(took.Seconds()) {
			b.eject(e, now)
			return
		}
		e.ejected, e.since, e.latency, e.samples = false, now, 0, 0
	}
	b.learn(e, took)
	if e.samples >= minSamples && !e.ejected {
		e.ejections = 0
	}
}

func (b *Balancer) learn(e *entry, took time.Duration) {
	s := took.Seconds()
	if e.samples == 0 {
		e.latency = s
	} else {
		e.latency += smoothing * (s - e.latency)
	}
	e.samples++
}

// judge ejects targets that are far slower than their peers. Only the time that a target worked
// counts, never a wait in this gate nor a refusal for want of a slot: a queue is no illness.
func (b *Balancer) judge(now time.Time) {
	if now.Sub(b.judged) < judgeEvery {
		return
	}
	b.judged = now
	known := make([]float64, 0, len(b.list))
	for _, e := range b.list {
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
	for _, e := range b.list {
		if !e.ejected && e.samples >= minSamples && b.slow(e.latency) {
			b.eject(e, now)
		}
	}
}

func (b *Balancer) slow(latency float64) bool {
	return b.median > 0 && latency > b.opts.SlowFloor.Seconds() && latency > b.opts.SlowFactor*b.median
}

// eject takes a target out, but never more than half of them: when everything fails, the fault is
// elsewhere, and the rest would be overrun.
func (b *Balancer) eject(e *entry, now time.Time) {
	if !e.ejected {
		if 2*(b.EjectedCount()+1) > b.staying() {
			return
		}
		e.ejected = true
	}
	e.until = now.Add(b.ejection(e))
	e.ejections++
}

func (b *Balancer) staying() int {
	n := 0
	for _, e := range b.list {
		if !e.info.Leaving {
			n++
		}
	}
	return n
}

func (b *Balancer) ejection(e *entry) time.Duration {
	d := b.opts.BaseEjection
	for range e.ejections {
		if d *= 2; d >= b.opts.MaxEjection {
			return b.opts.MaxEjection
		}
	}
	return d
}
