package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"turmericgap/crash"
	"turmericgap/job"
	"turmericgap/presence"
	"turmericgap/workrecord"
)

type resources = job.Resources

// passPauseFactor times the duration of a pass is the pause before the next one. In a large cell with long queues a
// pass takes milliseconds, and each end of a task triggers one. Without the pause, passes would use all of the CPU and
// delay holds and orders.
const (
	passPauseFactor = 2
	// passBudget is how long a pass runs before it yields to pending events: a fifth of the slack of a check.
	passBudget = 20 * time.Millisecond
	// minPacedPass is the shortest pass that is followed by a pause. A shorter one costs less than a timer.
	minPacedPass = time.Millisecond
)

// isPassDue reports whether a pass may run now. If it is too early, it sets a timer that triggers the pass.
func (t *term) isPassDue(now time.Time) bool {
	if t.isWorkerListStale(now) {
		return false
	}
	left := t.nextPassAt.Sub(now)
	if left <= 0 {
		return true
	}
	if !t.passTimerSet {
		t.passTimerSet = true
		time.AfterFunc(left, func() { t.post(func() { t.passTimerSet = false }) })
	}
	return false
}

// runPassIfDue runs or continues a pass if its time has come, and records since when one is needed.
func (t *term) runPassIfDue(now time.Time) {
	if t.passNeededSince.IsZero() {
		t.passNeededSince = now
	}
	if t.isPassDue(now) {
		t.runPass(now)
	}
}

// passLatency returns how long a change waits until the end of the pass that takes it into account. This is the latency
// of the last pass if that ended recently, or the age of the oldest change not yet taken into account if that is
// longer.
func (t *term) passLatency(now time.Time) time.Duration {
	if t.isWorkerListStale(now) {
		return 0 // passes wait for the store, not for the owner
	}
	wait := time.Duration(0)
	if now.Sub(t.passEndedAt) < 2*tickInterval {
		wait = t.lastPassLatency
	}
	if !t.passNeededSince.IsZero() {
		wait = max(wait, now.Sub(t.passNeededSince))
	}
	if p := &t.pass; len(p.remaining) > 0 {
		wait = max(wait, now.Sub(p.since))
	}
	return wait
}

// runPass starts what can start, in order of urgency, and sends permit requests. It returns once it has used
// passBudget, and continues with the next call, so that the loop can send its decisions and handle events in between.
func (t *term) runPass(now time.Time) {
	t.passNeeded = false
	p := &t.pass
	p.part++
	if len(p.remaining) == 0 {
		t.beginPass(now)
	}
	for len(p.remaining) > 0 {
		s := p.remaining[0].stage
		p.remaining = p.remaining[1:]
		if _, waits := t.waitingStages[s]; waits {
			t.placeStage(s, now)
		}
		if t.reportExamined(); time.Since(now) > passBudget {
			break
		}
	}
	if len(p.remaining) == 0 {
		t.endPass()
	} else {
		t.passNeeded = true
	}
	t.scheduleNextPass(now, time.Since(now))
}

func (t *term) beginPass(now time.Time) {
	t.pass.begin(now)
	if !t.passNeededSince.IsZero() {
		t.pass.since = t.passNeededSince
		t.passNeededSince = time.Time{}
	}
	t.clearReservations()
	t.holdCaps(now)
	t.refreshRuleLimits()
	t.refreshPermitVMs()
	t.accounts.shares.Begin()
	t.pass.remaining = t.orderedStages(now)
}

func (t *term) endPass() {
	t.markAwaitedCapacity()
	t.pass.end()
	t.passEndedAt = time.Now()
	t.lastPassLatency = t.passEndedAt.Sub(t.pass.since)
	t.o.Metrics.Histogram("dispatch.passLooks").Update(int64(t.pass.examined))
}

// reportExamined reports the number of workers examined since the last call to OnExamined.
func (t *term) reportExamined() {
	p := &t.pass
	if t.o.OnExamined != nil {
		t.o.OnExamined(p.examined - p.examinedReported)
	}
	p.examinedReported = p.examined
}

// scheduleNextPass records the duration of a part of a pass, and sets when the next one may run.
func (t *term) scheduleNextPass(began time.Time, took time.Duration) {
	if took > minPacedPass {
		t.nextPassAt = began.Add((passPauseFactor + 1) * took)
	}
	t.pass.took += took
	t.o.Metrics.Histogram("dispatch.passMicros").Update(took.Microseconds())
}

// orderedStages returns the waiting stages in the order in which to try them.
func (t *term) orderedStages(now time.Time) []urgency {
	order := t.pass.order[:0]
	for s := range t.waitingStages {
		order = append(order, t.urgencyOf(s, now))
	}
	slices.SortFunc(order, urgency.compare)
	t.shareStarts(order)
	t.pass.order = order
	order = t.pass.limitExpired(order)
	t.pass.triedStages = len(order)
	return order
}

// placeStage starts as many tasks of a stage as possible.
func (t *term) placeStage(s *stage, now time.Time) {
	s.reservedCapacity = nil
	if s.waiting == 0 || s.entry.state.Final() {
		delete(t.waitingStages, s)
		return
	}
	if s.openRequests > 0 && len(s.setAside) > 0 {
		s.waitReason = gangWaitPermit
		return
	}
	if s.waitsForCap = !t.accountAllows(s, now); s.waitsForCap {
		t.releaseSetAside(s)
		return
	}
	// Release the capacity set aside only when the stage itself is tried. Otherwise more urgent stages would take it,
	// and the stage's permit requests would be useless as long as there are such stages.
	t.releaseSetAside(s)
	if s.needsPermit() && s.tickets == nil {
		s.waitReason = gangWaitService
		if t.canRequest(s, now) {
			t.sendFirstRequests(s, now)
		}
		if s.openRequests > 0 {
			s.waitReason = gangWaitPermit
		}
		return
	}
	if s.spec.Gang {
		t.placeGang(s, now)
	} else {
		t.placeTasks(s, now)
		t.preemptFor(s, now)
	}
	if s.waiting == 0 {
		delete(t.waitingStages, s)
		t.releaseSetAside(s)
		if s.spec.Gang {
			t.dropHold(s)
		}
	}
}

// placeTasks starts single tasks. It uses capacity claimed by gangs only after all other capacity.
func (t *term) placeTasks(s *stage, now time.Time) {
	waitingAlone := t.placeIsolated(s, now)
	if t.fitsNowhere(s) {
		return
	}
	nodes := t.sortedCandidates(s, now, func(n *node) bool { return t.tasksFitting(s, n, now) > 0 && s.permitted(n, now) })
	if len(nodes) > 0 {
		t.placeOn(s, nodes, now, t.tasksFittingUnclaimed)
	}
	if len(nodes) > 0 && s.waiting > 0 {
		t.placeOn(s, nodes, now, t.tasksFitting)
	}
	if s.waiting > waitingAlone && t.mayStart(s) {
		t.renewPermits(s, now)
	}
}

// placeOn starts single tasks on the nodes; fitting returns how many still fit on a node. The nodes need no sorting in
// between: a node that got a task has less capacity than before and stays the first choice until it is full.
func (t *term) placeOn(s *stage, nodes []*node, now time.Time, fitting func(*stage, *node, time.Time) int) {
	for i := range s.tasks {
		if s.tasks[i].phase != workrecord.Waiting || s.verdictOf(i) >= crash.Isolate {
			continue
		}
		if !t.mayStart(s) {
			return
		}
		for len(nodes) > 0 && fitting(s, nodes[0], now) == 0 {
			nodes = nodes[1:]
		}
		if len(nodes) == 0 {
			return
		}
		t.startRun(s, i, nodes[0], t.nextRunNumber(s.entry))
	}
}

// renewPermits requests new tickets for allowed workers with capacity, or permits for workers not yet named.
func (t *term) renewPermits(s *stage, now time.Time) {
	if !s.needsPermit() || !t.canRequest(s, now) {
		return
	}
	var names []string
	left := s.waiting
	for _, n := range t.nodesWithCapacity(s, now) {
		k := min(t.tasksFitting(s, n, now), left)
		if k == 0 {
			continue
		}
		names = append(names, n.id)
		s.setAsideCapacity(n, k)
		if left -= k; left == 0 {
			break
		}
	}
	if len(names) > 0 {
		t.sendPermitRequest(s, names, now)
		return
	}
	if t.hasUnnamedCapacity(s, now) {
		t.sendFirstRequests(s, now)
	}
}

// hasUnnamedCapacity reports whether a task fits on a worker that was not yet named in a permit request.
func (t *term) hasUnnamedCapacity(s *stage, now time.Time) bool {
	if t.fitsNowhere(s) {
		return false
	}
	need := s.taskResources()
	for i, n := range t.sortedNodes {
		if n.available().Count(need) == 0 || !t.usable(n, now) || !t.matches(s, n) {
			continue
		}
		if _, named := s.tickets[n.id]; !named {
			t.pass.examined += i
			return true
		}
	}
	t.pass.examined += len(t.sortedNodes)
	return false
}

func (t *term) nextRunNumber(e *entry) int64 {
	e.lastRun++
	return e.lastRun
}

// startRun decides a run. Its capacity is charged at once; its order is sent when the intent is durable.
func (t *term) startRun(s *stage, index int, n *node, number int64) {
	e, k := s.entry, &s.tasks[index]
	t.recordFirstStart(s.occurrence)
	r := &run{stage: s, index: index, number: number, node: n, need: s.taskResources(), Run: presence.Run{Born: n.born}, decidedAt: time.Now()}
	r.exclusive = s.verdictOf(index) >= crash.Isolate
	k.phase, k.run, k.number = workrecord.Started, r, number
	s.waiting--
	s.begun = true
	e.room.Take(workrecord.TaskBytes)
	e.activeRuns++
	n.charge(r)
	t.accounts.ledger.Charge(e.work.Account, s.spec.TaskResources)
	share := s.share()
	t.accounts.shares.Record(&share)
	t.ruleCapacity[e.effect.Rule]--
	if n.IsOnTrial() {
		n.trial, n.usablePart = r, 0
	}
	t.save(e, func() { t.launch(r) })
	t.log.Info("dispatch: start decided", zap.String("id", e.work.ID), zap.Int("occurrence", s.occurrence.number), zap.Int("step", s.index),
		zap.Int("task", index), zap.Int64("run", number), zap.String("worker", n.id), zap.Duration("waited", time.Since(s.readySince)),
		zap.Int64("freeMillicores", n.free.Millicores))
}
