package dispatch

import (
	"context"
	"time"

	"turmericgap/heartbeat"
)

// ask sends the next hold to a worker that has answered, when its news will be of use.
func (t *term) ask(n *node) {
	now := time.Now()
	select {
	case <-n.hurry: // meant for a pause that was over
	default:
	}
	t.next(n, holdWait, heartbeat.PollDelay(now, t.roomWanted(n), n.heartbeats()))
}

// heartbeats tells what the worker's runs mean to those who wait.
func (n *node) heartbeats() []heartbeat.Run {
	list := make([]heartbeat.Run, 0, len(n.runs))
	for _, r := range n.runs {
		if r.ended || r.s.spec.Service {
			continue
		}
		last := r.stopping || r.last()
		list = append(list, heartbeat.Run{ExpectedEnd: r.endsAt(), Awaited: last})
	}
	return list
}

// endsAt is when a run is expected to end: as it got on when it was last seen, else by its estimate, which may
// be twice too long.
func (r *run) endsAt() time.Time {
	if r.begun.IsZero() || r.stopping {
		return time.Time{}
	}
	if end, ok := r.endByPercent(); ok {
		return end
	}
	return r.begun.Add(r.s.spec.Estimate / 2)
}

// last reports whether its caller or the next step waits for a run: it is the one of its stage that is expected
// to end last. One end stands for all members of a gang, so that the first of them is asked.
func (r *run) last() bool {
	s := r.s
	if s.waiting > 0 {
		return false
	}
	if s.spec.Gang {
		return r.index == 0
	}
	ends := r.endsAt()
	for i := range s.tasks {
		o := s.tasks[i].run
		if o == nil || o == r || o.ended {
			continue
		}
		if other := o.endsAt(); other.After(ends) || other.Equal(ends) && i > r.index {
			return false
		}
	}
	return true
}

// pause waits before a hold is sent, until the pause is over or the worker's news is wanted at once; false
// means that ctx has ended.
func (n *node) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-n.hurry:
	}
	return true
}

// wantRoom notes on which workers the end of a task would give room that work waits for, and ends the pauses
// of those on which it has just come to.
func (t *term) wantRoom() {
	left := len(t.roll)
	for s := range t.stages {
		if left == 0 {
			return
		}
		if s.waiting > 0 && s.asking == 0 && !s.e.state.Final() {
			left -= t.wantRoomFor(s)
		}
	}
}

// wantRoomFor marks the workers that a stage waits for: those on which room is kept for it, else all that it
// may run on. It gives how many were not marked before.
func (t *term) wantRoomFor(s *stage) int {
	marked := 0
	if len(s.reservedOn) > 0 {
		for _, k := range s.reservedOn {
			marked += t.want(k.n)
		}
		return marked
	}
	for _, n := range t.candidates(s) {
		marked += t.want(n)
	}
	return marked
}

// want marks a worker, and gives 1 if it was not marked in this pass before.
func (t *term) want(n *node) int {
	if n.wantedIn == t.pass.number {
		return 0
	}
	if n.wantedIn != t.pass.number-1 {
		n.hurryUp()
	}
	n.wantedIn = t.pass.number
	return 1
}

// roomWanted reports whether work waits for room on a worker since the latest pass.
func (t *term) roomWanted(n *node) bool { return n.wantedIn == t.pass.number }

// hurryUp ends the pause of a worker.
func (n *node) hurryUp() {
	select {
	case n.hurry <- struct{}{}:
	default:
	}
}
