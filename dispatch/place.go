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
	// passMost is how long a pass goes on before what has come meanwhile is heard: a fifth of what a check has to spare.
	passMost = 20 * time.Millisecond
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

// placeIfDue makes a pass, or goes on with one, if its time has come; something has changed that asks for one.
func (t *term) placeIfDue(now time.Time) {
	if t.dirtySince.IsZero() {
		t.dirtySince = now
	}
	if t.placeDue(now) {
		t.place(now)
	}
}

// passWait is how long what changes waits for the end of the pass that takes it in: as long as for the one that has
// just ended, or as it has waited by now.
func (t *term) passWait(now time.Time) time.Duration {
	wait := time.Duration(0)
	if now.Sub(t.passEnded) < 2*tickEvery {
		wait = t.passDelay
	}
	if !t.dirtySince.IsZero() {
		wait = max(wait, now.Sub(t.dirtySince))
	}
	if p := &t.pass; len(p.rest) > 0 {
		wait = max(wait, now.Sub(p.since))
	}
	return wait
}

// place starts what can start, in the order of urgency, and puts questions to the policy service. It stops when it has
// taken passMost, and goes on there the next time: what was decided is sent, and what has come is heard, before that.
func (t *term) place(now time.Time) {
	t.dirty = false
	p := &t.pass
	p.moment++
	if len(p.rest) == 0 {
		t.beginPass(now)
	}
	for len(p.rest) > 0 {
		s := p.rest[0].s
		p.rest = p.rest[1:]
		if _, waits := t.stages[s]; waits {
			t.placeStage(s, now)
		}
		if t.spend(); time.Since(now) > passMost {
			break
		}
	}
	if len(p.rest) == 0 {
		t.endPass()
	} else {
		t.dirty = true
	}
	t.paced(now, time.Since(now))
}

func (t *term) beginPass(now time.Time) {
	t.pass.begin(now)
	if !t.dirtySince.IsZero() {
		t.pass.since = t.dirtySince
		t.dirtySince = time.Time{}
	}
	t.clearReservations()
	t.readLimits()
	t.readAskers()
	t.pass.rest = t.ordered(now)
}

func (t *term) endPass() {
	t.wantRoom()
	t.pass.end()
	t.passEnded = time.Now()
	t.passDelay = t.passEnded.Sub(t.pass.since)
	t.o.Metrics.Histogram("dispatch.passLooks").Update(int64(t.pass.looks))
}

// spend tells of the workers that were looked at since it last did.
func (t *term) spend() {
	p := &t.pass
	if t.o.OnExamined != nil {
		t.o.OnExamined(p.looks - p.spent)
	}
	p.spent = p.looks
}

// paced notes what a part of a pass took, and how long the next one waits for that.
func (t *term) paced(began time.Time, took time.Duration) {
	if took > placeLong {
		t.nextPass = began.Add((placeRest + 1) * took)
	}
	t.pass.took += took
	t.o.Metrics.Histogram("dispatch.passMicros").Update(took.Microseconds())
}

// ordered gives the stages that wait in the order in which they are tried.
func (t *term) ordered(now time.Time) []urgency {
	order := t.pass.order[:0]
	for s := range t.stages {
		order = append(order, t.urgencyOf(s, now))
	}
	slices.SortFunc(order, urgency.compare)
	t.shareTurns(order)
	t.pass.order = order
	order = t.pass.someLost(order)
	t.pass.tried = len(order)
	return order
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
	if t.noRoom(s) {
		return
	}
	nodes := t.sorted(s, now, func(n *node) bool { return t.roomFor(s, n, now) > 0 && s.permitted(n, now) })
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
	if t.noRoom(s) {
		return false
	}
	need := s.charge()
	for i, n := range t.roll {
		if fits(n.room(), need) == 0 || !t.usable(n, now) || !t.suits(s, n) {
			continue
		}
		if _, known := s.answers[n.id]; !known {
			t.pass.looks += i
			return true
		}
	}
	t.pass.looks += len(t.roll)
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
		n.trial, n.judgedIn = r, 0
	}
	t.save(e, func() { t.launch(r) })
	t.log.Info("dispatch: start decided", zap.String("id", e.work.ID), zap.Int("occurrence", s.occ.number), zap.Int("step", s.index),
		zap.Int("task", index), zap.Int64("run", number), zap.String("worker", n.id), zap.Duration("waited", time.Since(s.since)),
		zap.Int64("freeMillicores", n.free.Millicores))
}
