package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"turmericgap/job"
)

type resources = job.Resources

// placeRest times what a pass took is the pause before the next one. In a large cell whose queues are
// long a pass takes milliseconds and each end of a task asks for one: without the pause passes take all
// of the processor, and holds and orders come late.
const (
	placeRest = 2
	// placeLong is how long a pass must take for that; shorter ones cost less than a timer and its wake.
	placeLong = time.Millisecond
)

// placeDue says whether a pass may be made now, and sees to it that one is made when its time has come.
func (t *term) placeDue(now time.Time) bool {
	left := t.nextPass.Sub(now)
	if left <= 0 {
		return true
	}
	if !t.passWaits {
		t.passWaits = true
		time.AfterFunc(left, func() { t.post(func() { t.passWaits = false }) })
	}
	return false
}

// place starts what can start, in the order of urgency, and puts questions to the policy service.
func (t *term) place(now time.Time) {
	t.dirty = false
	t.looks = 0
	defer func() {
		if t.o.Spend != nil {
			t.o.Spend(t.looks)
		}
		took := time.Since(now)
		if took > placeLong {
			t.nextPass = now.Add((placeRest + 1) * took)
		}
		t.o.Metrics.Histogram("dispatch.passMicros").Update(took.Microseconds())
	}()
	t.clearReservations()
	t.readLimits()
	t.readAskers()
	order := make([]urgency, 0, len(t.stages))
	for s := range t.stages {
		order = append(order, t.urgencyOf(s, now))
	}
	slices.SortFunc(order, urgency.compare)
	t.shareTurns(order)
	for i := range order {
		t.placeStage(order[i].s, now)
	}
	t.wantRoom()
}

// placeStage starts what it can of one stage.
func (t *term) placeStage(s *stage, now time.Time) {
	s.reservedOn = nil
	if s.waiting == 0 || s.e.state.Final() {
		delete(t.stages, s)
		return
	}
	if s.asking > 0 && len(s.kept) > 0 {
		s.waits = gangWaitsForAnswer
		return
	}
	// Room that was kept for the stage is free for nobody before its own turn: what is more urgent would
	// take it, and the stage ask in vain for as long as there is such work.
	t.letGo(s)
	if s.needsPermit() && s.answers == nil {
		s.waits = gangWaitsForService
		if t.mayAsk(s, now) {
			t.firstQuestion(s, now)
		}
		if s.asking > 0 {
			s.waits = gangWaitsForAnswer
		}
		return
	}
	if s.spec.Gang {
		t.placeGang(s, now)
	} else {
		t.placeTasks(s, now)
	}
	if s.waiting == 0 {
		delete(t.stages, s)
		t.letGo(s)
	}
}

// placeTasks starts single tasks wherever there is room: beside what gangs have claimed as long as that does,
// then there as well.
func (t *term) placeTasks(s *stage, now time.Time) {
	nodes := t.sorted(s, now, func(n *node) bool { return s.permitted(n, now) && t.roomFor(s, n, now) > 0 })
	if len(nodes) > 0 {
		t.placeOn(s, nodes, now, t.roomBeside)
	}
	if len(nodes) > 0 && s.waiting > 0 {
		t.placeOn(s, nodes, now, t.roomFor)
	}
	if s.waiting > 0 && t.mayRun(s.e, 1) {
		t.renew(s, now)
	}
}

// placeOn starts single tasks on workers with such room. The order of choice is made once: the worker that
// got a task has less room than before and stays the first choice until it is full.
func (t *term) placeOn(s *stage, nodes []*node, now time.Time, room func(*stage, *node, time.Time) int) {
	for i := range s.tasks {
		if s.tasks[i].phase != phaseWaiting {
			continue
		}
		if !t.mayRun(s.e, 1) {
			return
		}
		for len(nodes) > 0 && room(s, nodes[0], now) == 0 {
			nodes = nodes[1:]
		}
		if len(nodes) == 0 {
			return
		}
		t.start(s, i, nodes[0], t.nextRun(s.e))
	}
}

// renew asks for new tickets of allowed workers with room, or for workers that were not named yet.
func (t *term) renew(s *stage, now time.Time) {
	if !s.needsPermit() || !t.mayAsk(s, now) {
		return
	}
	var names []string
	left := s.waiting
	for _, n := range t.withRoom(s, now) {
		k := min(t.roomFor(s, n, now), left)
		if k == 0 {
			continue
		}
		names = append(names, n.id)
		s.keep(n, k)
		if left -= k; left == 0 {
			break
		}
	}
	if len(names) > 0 {
		t.question(s, names, now)
		return
	}
	if t.unasked(s, now) {
		t.firstQuestion(s, now)
	}
}

// unasked reports whether a worker that was not named has room.
func (t *term) unasked(s *stage, now time.Time) bool {
	need := s.charge()
	for _, n := range t.nodes {
		t.looks++
		if _, known := s.answers[n.id]; !known && n.usable(now) && t.suits(s, n) && fits(n.room(), need) > 0 {
			return true
		}
	}
	return false
}

func (t *term) nextRun(e *entry) int64 {
	e.runs++
	return e.runs
}

// start decides a run: its capacity is charged at once, its order sent when the intent is durable.
func (t *term) start(s *stage, index int, n *node, number int64) {
	e, k := s.e, &s.tasks[index]
	t.begin(s.occ)
	r := &run{s: s, index: index, number: number, n: n, need: s.charge(), decided: time.Now()}
	k.phase, k.run, k.number = phaseStarted, r, number
	s.waiting--
	e.held++
	n.take(r)
	t.underRule[e.effect.Rule]--
	if n.onTrial() {
		n.trial = r
	}
	t.save(e, func() { t.launch(r) })
	t.log.Info("dispatch: start decided", zap.String("id", e.work.ID), zap.Int("occurrence", s.occ.number), zap.Int("step", s.index),
		zap.Int("task", index), zap.Int64("run", number), zap.String("worker", n.id), zap.Duration("waited", time.Since(s.since)),
		zap.Int64("freeMillicores", n.free.Millicores))
}
