package dispatch

import (
	"context"
	"time"

	"turmericgap/heartbeat"
)

// scheduleHold schedules the next hold to a worker that has answered, as late as the stages that wait for its answer
// allow.
func (t *term) scheduleHold(n *node) {
	now := time.Now()
	select {
	case <-n.wake: // left over from an earlier pause
	default:
	}
	t.sendNextHold(n, holdWait, heartbeat.PollDelay(now, t.isCapacityAwaited(n), n.heartbeatRuns()))
}

// heartbeatRuns returns the properties of the worker's runs on which the poll delay depends.
func (n *node) heartbeatRuns() []heartbeat.Run {
	list := make([]heartbeat.Run, 0, len(n.runs))
	for _, r := range n.runs {
		if r.ended || r.stage.spec.Service {
			continue
		}
		awaited := r.stopping || r.isLastOfStage()
		list = append(list, heartbeat.Run{ExpectedEnd: r.likelyEnd(), Awaited: awaited})
	}
	return list
}

// likelyEnd returns when a run is expected to end, for the poll delay: extrapolated from its last reported progress, or
// after half of its estimate, which may be twice too long.
func (r *run) likelyEnd() time.Time {
	if r.sentAt.IsZero() || r.stopping {
		return time.Time{}
	}
	if end, ok := r.endByProgress(); ok {
		return end
	}
	return r.sentAt.Add(r.stage.spec.Estimate / 2)
}

// isLastOfStage reports whether the caller or the next step waits for this run: it is expected to end last of its
// stage. The members of a gang end together, so that its first member stands for all.
func (r *run) isLastOfStage() bool {
	s := r.stage
	if s.waiting > 0 {
		return false
	}
	if s.spec.Gang {
		return r.index == 0
	}
	end := r.likelyEnd()
	for i := range s.tasks {
		o := s.tasks[i].run
		if o == nil || o == r || o.ended {
			continue
		}
		if otherEnd := o.likelyEnd(); otherEnd.After(end) || otherEnd.Equal(end) && i > r.index {
			return false
		}
	}
	return true
}

// waitPause waits before a hold is sent, until the pause is over or wakeHold is called. It returns false if ctx has
// ended.
func (n *node) waitPause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-n.wake:
	}
	return true
}

// markAwaitedCapacity marks the workers whose capacity waiting stages need, and ends the pauses of workers that were
// not marked in the previous pass.
func (t *term) markAwaitedCapacity() {
	unmarked := len(t.sortedNodes)
	for s := range t.waitingStages {
		if unmarked == 0 {
			return
		}
		if s.waiting > 0 && s.openRequests == 0 && !s.entry.state.Final() {
			unmarked -= t.markAwaitedBy(s)
		}
	}
}

// markAwaitedBy marks the workers that a stage waits for: those with a reservation for it, or all that it may run on if
// it has none. It returns the number of newly marked workers.
func (t *term) markAwaitedBy(s *stage) int {
	marked := 0
	if len(s.reservedCapacity) > 0 {
		for _, k := range s.reservedCapacity {
			marked += t.markAwaited(k.node)
		}
		return marked
	}
	for _, n := range t.allowedNodes(s) {
		marked += t.markAwaited(n)
	}
	return marked
}

// markAwaited marks a worker, and returns 1 if it was not marked in this pass before.
func (t *term) markAwaited(n *node) int {
	if n.capacityAwaitedPass == t.pass.number {
		return 0
	}
	if n.capacityAwaitedPass != t.pass.number-1 {
		n.wakeHold()
	}
	n.capacityAwaitedPass = t.pass.number
	return 1
}

// isCapacityAwaited reports whether a stage has been waiting for capacity on the worker since the latest pass.
func (t *term) isCapacityAwaited(n *node) bool { return n.capacityAwaitedPass == t.pass.number }

// wakeHold ends the pause before the worker's next hold.
func (n *node) wakeHold() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}
