package dispatch

import (
	"time"

	"turmericgap/evacuation"
	"turmericgap/feature"
	"turmericgap/worker"
)

// evacuateLeaving stops runs on workers that have announced when they leave, as far as their tasks end earlier elsewhere.
func (t *term) evacuateLeaving(now time.Time) {
	for _, n := range t.sortedNodes {
		if n.announced.Announced() && n.listed && t.features.Decide(feature.Notice, true, feature.Observed, now) {
			t.evacuate(n, now)
		}
	}
}

// evacuate decides for the runs on a worker, and again with each tick until it is gone.
func (t *term) evacuate(n *node, now time.Time) {
	notice := evacuation.Notice{TimeLeft: n.announced.TimeLeft(n.clock, n.clockAt, now), Bounds: t.o.Evacuation}
	var runs []*run
	var inputs []evacuation.Run
	for _, r := range n.runs {
		if g := r.stage.gang; !r.stopping && (g == nil || g.number == r.number && !g.aborted && !g.done) {
			runs, inputs = append(runs, r), append(inputs, r.evacuationInput(now))
		}
	}
	for i, d := range evacuation.Decide(&notice, inputs) {
		r, g := runs[i], runs[i].stage.gang
		if r.evacuation.Decide(&notice, &inputs[i], d); d.Action != evacuation.Move || g != nil && g.aborted {
			continue
		}
		if g == nil {
			t.halt(r)
			n.wakeHold()
			continue
		}
		t.abortGang(r.stage)
		for k := range r.stage.tasks {
			if o := r.stage.tasks[k].run; o != nil {
				o.evacuation.Decide(&notice, &inputs[i], d)
				o.node.wakeHold()
			}
		}
	}
}

// evacuationInput returns what the decision on a run depends on.
func (r *run) evacuationInput(now time.Time) evacuation.Run {
	s := r.stage
	in := r.evacuation.Input(s.spec.Estimate, now)
	in.Step, in.Tasks, in.Gang, in.Sent, in.Saves = s, len(s.tasks), s.spec.Gang, !r.sentAt.IsZero(), s.spec.Checkpoints
	in.Service, in.Unavailable, in.MaxUnavailable = s.spec.Service, unavailableBeside(r), s.spec.MaxUnavailable
	in.Useful = !now.Add(s.minRemaining()).After(s.occurrence.expiry(s.entry))
	return in
}

// countEvacuated counts the outcome of a run on a leaving worker, and the core-milliseconds that were lost.
func (t *term) countEvacuated(r *run, how worker.RunOutcome, checkpoint string) {
	if r.evacuation.End(how, r.stage.gang != nil && r.stage.gang.done, checkpoint) {
		t.o.Metrics.Counter("dispatch.evacuated." + string(r.evacuation.Outcome)).Inc(1)
		t.o.Metrics.Histogram("dispatch.evacuated.coreMillisLost").Update(r.evacuation.LostWork.Milliseconds() * r.need.Millicores / 1000)
	}
}
