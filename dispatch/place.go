package dispatch

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"turmericgap/job"
)

type resources = job.Resources

// fits counts how many times need goes into has.
func fits(has, need resources) int {
	n := math.MaxInt32
	for _, part := range [][2]int64{
		{has.Millicores, need.Millicores}, {has.MemoryMB, need.MemoryMB}, {has.Accelerators, need.Accelerators},
	} {
		switch {
		case part[0] < 0:
			return 0
		case part[1] > 0:
			n = min(n, int(part[0]/part[1]))
		}
	}
	return n
}

// charge is what one task holds.
func (s *stage) charge() resources {
	need := s.spec.Each
	if s.spec.Filler {
		need.Millicores = 0
	}
	return need
}

// urgency orders stages: lower goes first.
type urgency struct {
	s *stage
	// hope is 0 where the goal can still be met, 1 where the work will be late, 2 where it is worth
	// nothing any more.
	hope int
	goal time.Time
}

// urgencyOf tells what a stage can still earn if it started now.
func urgencyOf(s *stage, now time.Time) urgency {
	e := s.e
	u := urgency{s: s, goal: e.goal}
	left := now.Add(s.spec.Estimate / 2)
	switch {
	case left.After(e.lost):
		u.hope = 2
	case left.After(e.goal):
		u.hope = 1
	}
	return u
}

func (u urgency) compare(o urgency) int {
	if c := cmp.Compare(u.hope, o.hope); c != 0 {
		return c
	}
	if c := cmp.Compare(u.s.e.queue.Priority, o.s.e.queue.Priority); c != 0 {
		return c
	}
	if c := u.goal.Compare(o.goal); c != 0 {
		return c
	}
	return strings.Compare(u.s.e.work.ID, o.s.e.work.ID)
}

// place starts what can start, in the order of urgency, and puts questions to the policy service.
func (t *term) place(now time.Time) {
	t.dirty = false
	t.clearReservations()
	t.readAskers()
	order := make([]urgency, 0, len(t.stages))
	for s := range t.stages {
		order = append(order, urgencyOf(s, now))
	}
	slices.SortFunc(order, urgency.compare)
	for i := range order {
		t.placeStage(order[i].s, now)
	}
}

// placeStage starts what it can of one stage.
func (t *term) placeStage(s *stage, now time.Time) {
	if s.waiting == 0 || s.e.state.Final() {
		delete(t.stages, s)
		return
	}
	if s.asking {
		if s.spec.Gang && s.gang == nil && len(s.kept) == 0 && s.answers != nil {
			t.reserve(s, t.sorted(s, now), now)
		}
		return
	}
	if s.needsPermit() && s.answers == nil {
		if t.mayAsk(s, now) {
			t.firstQuestion(s, now)
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

// placeTasks starts single tasks wherever there is room.
func (t *term) placeTasks(s *stage, now time.Time) {
	for i := range s.tasks {
		if s.waiting == 0 {
			return
		}
		if s.tasks[i].phase != phaseWaiting {
			continue
		}
		n := t.best(s, now, true)
		if n == nil {
			t.renew(s, now)
			return
		}
		t.start(s, i, n, t.nextRun(s.e))
	}
}

// renew asks for new tickets of allowed workers with room, or for workers that were not named yet.
func (t *term) renew(s *stage, now time.Time) {
	if !s.needsPermit() || !t.mayAsk(s, now) {
		return
	}
	var names []string
	left := s.waiting
	for _, n := range t.sorted(s, now) {
		k := min(t.roomFor(s, n), left)
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
		if _, known := s.answers[n.id]; !known && n.usable(now) && t.suits(s, n) && fits(n.room(), need) > 0 {
			return true
		}
	}
	return false
}

// suits reports whether the worker is one that the stage may run on, but for its room and permits.
func (t *term) suits(s *stage, n *node) bool {
	return n.listing.Pool == s.e.queue.Pool && (s.spec.Label == "" || slices.Contains(n.listing.Labels, s.spec.Label))
}

// roomFor counts the tasks of a stage that fit a worker now.
func (t *term) roomFor(s *stage, n *node) int {
	k := fits(n.roomUntil(time.Now().Add(time.Duration(backfillSpare*float64(s.spec.Estimate)))), s.charge())
	if most := s.spec.MostPerWorker; most > 0 {
		k = min(k, most-s.on(n))
	}
	return max(k, 0)
}

// on counts the stage's tasks on a worker.
func (s *stage) on(n *node) int {
	count := 0
	for i := range s.tasks {
		if r := s.tasks[i].run; r != nil && r.n == n && !r.ended {
			count++
		}
	}
	return count
}

// sorted gives the usable workers that may run the stage, those with less room first, so that large
// rooms stay whole; doubtful workers come last.
func (t *term) sorted(s *stage, now time.Time) []*node {
	var list []*node
	for _, n := range t.nodes {
		if n.usable(now) && t.suits(s, n) && s.mayRun(n) && !s.disturbs(n) {
			list = append(list, n)
		}
	}
	slices.SortFunc(list, func(a, b *node) int {
		if c := cmp.Compare(s.doubt(a), s.doubt(b)); c != 0 {
			return c
		}
		if c := cmp.Compare(s.distance(a), s.distance(b)); c != 0 {
			return c
		}
		if c := cmp.Compare(a.room().Millicores, b.room().Millicores); c != 0 {
			return c
		}
		return strings.Compare(a.id, b.id)
	})
	return list
}

// doubt ranks workers by the trust that they deserve for this stage, 0 the best.
func (s *stage) doubt(n *node) int {
	d := 2 * s.avoid[n.id]
	if n.fails > failsMost && n.fails > n.dones {
		d++
	}
	return d
}

// distance is 1 for a worker away from the stage's data, where its tasks run several times slower.
func (s *stage) distance(n *node) int {
	if s.spec.DataRack != "" && s.spec.DataRack != n.listing.Rack {
		return 1
	}
	return 0
}

// disturbs reports whether a stage and what runs on a worker should not meet: tasks that fill what others
// leave push the tails of those with a bound over it, and nothing paces them yet.
func (s *stage) disturbs(n *node) bool {
	if !s.spec.Filler && s.spec.Tail == 0 {
		return false
	}
	for _, r := range n.runs {
		if s.spec.Filler && r.s.spec.Tail > 0 || s.spec.Tail > 0 && r.s.spec.Filler {
			return true
		}
	}
	return false
}

// failsMost is how many failures, beside fewer good ends, make a worker doubtful. Work fails by its
// own fault in up to one run of twenty.
const failsMost = 2

// best gives the worker for one task, or nil.
func (t *term) best(s *stage, now time.Time, permitted bool) *node {
	for _, n := range t.sorted(s, now) {
		if permitted && !s.permitted(n, now) {
			continue
		}
		if t.roomFor(s, n) > 0 {
			return n
		}
	}
	return nil
}

// placeGang starts all tasks of a gang together, or keeps their room while it asks for tickets.
func (t *term) placeGang(s *stage, now time.Time) {
	if s.gang != nil {
		return // members of a broken run have not ended yet
	}
	nodes := t.sorted(s, now)
	slices.Reverse(nodes)
	if plan := t.spread(s, nodes, func(n *node) bool { return s.permitted(n, now) }); plan != nil {
		t.startGang(s, plan)
		return
	}
	if s.needsPermit() && !t.mayAsk(s, now) {
		t.reserve(s, nodes, now)
		return
	}
	plan := t.spread(s, nodes, func(*node) bool { return true })
	switch {
	case plan != nil:
	case s.needsPermit() && t.unasked(s, now):
		t.firstQuestion(s, now)
		return
	default:
		if res, ok := t.reserve(s, nodes, now); ok {
			t.askAhead(s, &res, now)
		}
		return
	}
	names := make([]string, 0, len(plan))
	for _, p := range plan {
		names = append(names, p.n.id)
		s.keep(p.n, p.tasks)
	}
	t.question(s, names, now)
}

// spread finds room for all tasks of a gang; for one that wants a single rack it tries rack by rack.
func (t *term) spread(s *stage, nodes []*node, may func(*node) bool) []keptRoom {
	if s.spec.SameRack {
		for _, rack := range racks(nodes) {
			if plan := t.spreadOver(s, nodes, func(n *node) bool { return n.listing.Rack == rack && may(n) }); plan != nil {
				return plan
			}
		}
	}
	return t.spreadOver(s, nodes, may)
}

func racks(nodes []*node) []string {
	var out []string
	for _, n := range nodes {
		if !slices.Contains(out, n.listing.Rack) {
			out = append(out, n.listing.Rack)
		}
	}
	return out
}

func (t *term) spreadOver(s *stage, nodes []*node, may func(*node) bool) []keptRoom {
	left := len(s.tasks)
	var plan []keptRoom
	for _, n := range nodes {
		if !may(n) {
			continue
		}
		k := min(t.roomFor(s, n), left)
		if k == 0 {
			continue
		}
		plan = append(plan, keptRoom{n, k})
		if left -= k; left == 0 {
			return plan
		}
	}
	return nil
}

func (t *term) startGang(s *stage, plan []keptRoom) {
	number := t.nextRun(s.e)
	s.gang = &gangRun{number: number, members: len(s.tasks)}
	i := 0
	for _, p := range plan {
		for range p.tasks {
			t.start(s, i, p.n, number)
			i++
		}
	}
}

func (t *term) nextRun(e *entry) int64 {
	e.runs++
	return e.runs
}

// start decides a run: its capacity is charged at once, its order sent when the intent is durable.
func (t *term) start(s *stage, index int, n *node, number int64) {
	e, k := s.e, &s.tasks[index]
	r := &run{s: s, index: index, number: number, n: n, need: s.charge()}
	k.phase, k.run, k.number = phaseStarted, r, number
	s.waiting--
	e.held++
	n.take(r)
	t.save(e, func() { t.launch(r) })
	t.log.Info("dispatch: start decided", zap.String("id", e.work.ID), zap.Int("occurrence", s.occ.number), zap.Int("step", s.index),
		zap.Int("task", index), zap.Int64("run", number), zap.String("worker", n.id), zap.Duration("waited", time.Since(s.since)),
		zap.Int64("freeMillicores", n.free.Millicores))
}
