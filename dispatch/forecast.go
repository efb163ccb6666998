package dispatch

import (
	"time"

	"turmericgap/admission"
	"turmericgap/feature"
	"turmericgap/logger"
	"turmericgap/rpc"
)

func (t *term) usesGate() bool {
	return t.features.Decide(feature.Admission, t.o.Pressure, feature.Settings, time.Now())
}

// gateInterval is how often the gate sees the waiting work. Collecting thousands of steps takes a millisecond.
const gateInterval = 250 * time.Millisecond

// observeForGate passes the workers and the waiting work to the gate. Steps that a rule keeps waiting take no capacity
// from others and are left out.
func (t *term) observeForGate(now time.Time) {
	if now.Sub(t.gateObservedAt) < gateInterval || !t.usesGate() || t.isWorkerListStale(now) {
		return
	}
	t.gateObservedAt = now
	t.waitingWorks = t.waitingWorks[:0]
	for s := range t.waitingStages {
		if t.ruleAllows(s.entry, 1) {
			t.waitingWorks = append(t.waitingWorks, t.waitingWork(s, now))
		}
	}
	t.gate.Observe(now, t.eachWorker, t.waitingWorks)
}

func (t *term) waitingWork(s *stage, now time.Time) admission.Work {
	e, remaining := s.entry, s.minRemaining()
	return admission.Work{
		Pool: e.queue.Pool, Queue: e.work.Queue.Name, Account: e.work.Account, Weight: e.weight, Surplus: e.surplus,
		Held: s.waitsForCap, Service: s.spec.Service, Priority: e.priority(), Class: t.sizes.Class(e.work.Queue.Name, e.size),
		CoreSeconds: s.taskResources().Cores() * s.spec.Estimate.Seconds() * float64(s.waiting),
		SortTime:    time.Unix(0, t.urgencyOf(s, now).sortTime),
		LateFrom:    s.occurrence.deadline(e).Add(-remaining), WorthlessFrom: s.occurrence.expiry(e).Add(-remaining),
	}
}

// submission describes a work of one occurrence that arrives.
func (t *term) submission(e *entry, now time.Time) *admission.Submission {
	o := &occurrence{}
	first := &stage{entry: e, occurrence: o, spec: &e.work.Steps[0]}
	s := &admission.Submission{
		Work: t.waitingWork(first, now), ID: e.work.ID, Accepted: e.work.Accepted, Chain: e.longestChain(),
		Deadline: o.deadline(e), Expiry: o.expiry(e),
	}
	s.CoreSeconds, s.Surplus = e.size, t.exceedsRate(e.work)
	if p := e.queue.Permit; p != nil {
		s.Permit = p.Base
	}
	if a := t.accountOf(e.work.Account); a != nil {
		s.Cap = a.Cap.Cores() * (1 + t.o.CapOverrun)
	}
	return s
}

// refusalByForecast returns the answer to a new work that could only end worthless, or nil.
func (t *term) refusalByForecast(e *entry) *rpc.Fault {
	if _, failing := t.o.StoreFailing(); failing || !t.usesGate() || admission.Exempt(e.work) {
		return nil
	}
	now := time.Now()
	d := t.gate.Decide(now, t.submission(e, now))
	if d.Admitted {
		return nil
	}
	t.log.Info("dispatch: refused by forecast", logger.Fields(d.LogFields())...)
	t.o.Metrics.Counter("dispatch.refusedByForecast." + string(d.Reason)).Inc(1)
	t.o.Metrics.Histogram("dispatch.retryAfterSeconds").Update(int64(d.RetryAfter / time.Second))
	return &rpc.Fault{Code: rpc.CodeBusy, Reason: d.String(), RetryAfter: d.RetryAfter}
}
