package dispatch

import (
	"context"
	"time"

	"turmericgap/heartbeat"
)

// scheduleHold sends the next hold to a worker that has answered, when its news will be of use.
func (t *term) scheduleHold(n *node) {
	now := time.Now()
	select {
	case <-n.wake: // meant for a pause that was over
	default:
	}
	t.sendNextHold(n, holdWait, heartbeat.PollDelay(now, t.isRoomWanted(n), n.heartbeatRuns()))
}

// heartbeatRuns tells what the worker's runs mean to those who wait.
func (n *node) heartbeatRuns() []heartbeat.Run {
	list := make([]heartbeat.Run, 0, len(n.runs))
	for _, r := range n.runs {
		if r.ended || r.stage.spec.Service {
			continue
		}
		last := r.stopping || r.isLastOfStage()
		list = append(list, heartbeat.Run{ExpectedEnd: r.likelyEnd(), Awaited: last})
	}
	return list
}

// likelyEnd is when a run is expected to end: as it got on when it was last seen, else by its estimate, which may
// be twice too long.
func (r *run) likelyEnd() time.Time {
	if r.sentAt.IsZero() || r.stopping {
		return time.Time{}
	}
	if end, ok := r.endByProgress(); ok {
		return end
	}
	return r.sentAt.Add(r.stage.spec.Estimate / 2)
}

// isLastOfStage reports whether its caller or the next step waits for a run: it is the one of its stage that is expected
// to end isLastOfStage. One end stands for all members of a gang, so that the first of them is asked.
func (r *run) isLastOfStage() bool {
	s := r.stage
	if s.waiting > 0 {
		return false
	}
	if s.spec.Gang {
		return r.index == 0
	}
	ends := r.likelyEnd()
	for i := range s.tasks {
		o := s.tasks[i].run
		if o == nil || o == r || o.ended {
			continue
		}
		if other := o.likelyEnd(); other.After(ends) || other.Equal(ends) && i > r.index {
			return false
		}
	}
	return true
}

// waitPause waits before a hold is sent, until the waitPause is over or the worker's news is wanted at once; false
// means that ctx has ended.
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

// markWantedRoom notes on which workers the end of a task would give room that work waits for, and ends the pauses
// of those on which it has just come to.
func (t *term) markWantedRoom() {
	left := len(t.sortedNodes)
	for s := range t.waitingStages {
		if left == 0 {
			return
		}
		if s.waiting > 0 && s.openRequests == 0 && !s.entry.state.Final() {
			left -= t.markWantedBy(s)
		}
	}
}

// markWantedBy marks the workers that a stage waits for: those on which room is kept for it, else all that it
// may run on. It gives how many were not marked before.
func (t *term) markWantedBy(s *stage) int {
	marked := 0
	if len(s.reservedRoom) > 0 {
		for _, k := range s.reservedRoom {
			marked += t.markWanted(k.node)
		}
		return marked
	}
	for _, n := range t.allowedNodes(s) {
		marked += t.markWanted(n)
	}
	return marked
}

// markWanted marks a worker, and gives 1 if it was not marked in this pass before.
func (t *term) markWanted(n *node) int {
	if n.roomWantedPass == t.pass.number {
		return 0
	}
	if n.roomWantedPass != t.pass.number-1 {
		n.wakeHold()
	}
	n.roomWantedPass = t.pass.number
	return 1
}

// isRoomWanted reports whether work waits for room on a worker since the latest pass.
func (t *term) isRoomWanted(n *node) bool { return n.roomWantedPass == t.pass.number }

// wakeHold ends the pause of a worker.
func (n *node) wakeHold() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}
