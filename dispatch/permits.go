package dispatch

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"turmericgap/job"
	"turmericgap/owner"
	"turmericgap/permit"
)

const (
	// askSlack is added to the time that a question should take before it is given up.
	askSlack = 350 * time.Millisecond
	// askAgain is the pause after a question without an answer, doubled after each further one up to
	// askAgainMost.
	askAgain     = 20 * time.Millisecond
	askAgainMost = 400 * time.Millisecond
	// ticketMargin is what must be left of a ticket's time when a start is decided: the commit of the
	// intent and the way to the worker come after.
	ticketMargin = 80 * time.Millisecond
	// usualGrant is the share of workers that are expected to be allowed before any answer is known.
	usualGrant = 0.4
	// nameMore is how many times the room that should just do is named, as some fills up meanwhile.
	nameMore = 1.6
	// namedLeast is the least number of workers that a first question names.
	namedLeast = 24
)

// permits is what a stage knows of the workers that may run it. What is allowed for a step does not
// change; only tickets expire.
type permits struct {
	// answers holds the ticket of each worker that is allowed, and an empty one for the others.
	answers map[string]ticket
	// asking counts the questions under way.
	asking int
	// askFrom is when a question may be put again after a failure.
	askFrom   time.Time
	askFailed int
	// asksAhead counts the questions that were put before there was room.
	asksAhead int
	// kept holds the capacity that is kept while a question is under way, until the stage's turn after it.
	kept []keptRoom
}

type ticket struct {
	value   string
	until   time.Time
	allowed bool
}

type keptRoom struct {
	n     *node
	tasks int
}

// ticket gives the ticket to send to a worker.
func (s *stage) ticket(workerID string) string { return s.answers[workerID].value }

// forget drops a ticket that a worker did not take; whether it is allowed stays known.
func (s *stage) forget(workerID string) {
	if a, ok := s.answers[workerID]; ok {
		a.until = time.Time{}
		s.answers[workerID] = a
	}
}

// needsPermit reports whether the stage's queue has a policy service.
func (s *stage) needsPermit() bool { return s.e.queue.Permit != nil }

// permitted reports whether a start on the worker may be sent now.
func (s *stage) permitted(n *node, now time.Time) bool {
	if !s.needsPermit() {
		return true
	}
	a := s.answers[n.id]
	return a.allowed && now.Add(ticketMargin).Before(a.until)
}

// keep sets room aside while a question is under way.
func (s *stage) keep(n *node, tasks int) {
	n.held = n.held.Plus(s.charge().Times(tasks))
	s.kept = append(s.kept, keptRoom{n, tasks})
}

// letGo gives back the room that was set aside.
func (t *term) letGo(s *stage) {
	for _, k := range s.kept {
		k.n.held = k.n.held.Minus(s.charge().Times(k.tasks))
	}
	if len(s.kept) > 0 {
		t.dirty = true
	}
	s.kept = s.kept[:0]
}

// candidate is a worker that was not named yet, and how many tasks of a stage it has room for.
type candidate struct {
	n    *node
	fits int
}

// unnamed gives the workers that were not named yet, those near the data and with the most room first.
func (t *term) unnamed(s *stage, now time.Time) []candidate {
	need := s.charge()
	var list []candidate
	for _, n := range t.nodes {
		if _, known := s.answers[n.id]; known || !t.suits(s, n) || !n.listed || n.listing.Leaving {
			continue
		}
		if fits(n.listing.Has, need) == 0 {
			continue
		}
		c := candidate{n, fits(n.room(), need)}
		if !n.usable(now) {
			c.fits = -1
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if c := cmp.Compare(s.distance(a.n), s.distance(b.n)); c != 0 {
			return c
		}
		if a.fits != b.fits {
			return b.fits - a.fits
		}
		return strings.Compare(a.n.id, b.n.id)
	})
	return list
}

// firstQuestion names workers that were not named yet, in several questions at the same time where one
// would take longer: each entry VM has its own turn at the service. One question after the other kept a
// gang in a cell of 350 workers waiting for five to seven seconds.
func (t *term) firstQuestion(s *stage, now time.Time) {
	list := t.unnamed(s, now)
	list = list[:t.nameCount(s, list)]
	each := questionSize(s.e.queue.Permit, len(list))
	for len(list) > 0 {
		part := list[:min(each, len(list))]
		names := make([]string, 0, len(part))
		for _, c := range part {
			names = append(names, c.n.id)
		}
		if !t.question(s, names, now) {
			return
		}
		list = list[len(part):]
	}
}

// questionSize divides names evenly into questions each of which spends about as long on its names as on
// being answered at all. Smaller ones would cost more time at the service than they save.
func questionSize(p *job.PermitCost, names int) int {
	most := permit.MaxWorkers
	if p.PerWorker > 0 {
		most = min(max(int(p.Base/p.PerWorker), namedLeast), permit.MaxWorkers)
	}
	if questions := (names + most - 1) / most; questions > 1 {
		return (names + questions - 1) / questions
	}
	return most
}

// nameCount is how many of the unnamed workers are named at once. More cost time at the service, fewer may
// not be enough once some of them are refused or full.
func (t *term) nameCount(s *stage, list []candidate) int {
	p := s.e.queue.Permit
	if time.Duration(len(list))*p.PerWorker < p.Base {
		// Naming all costs less than asking twice.
		return len(list)
	}
	room := nameMore * float64(s.waiting) / t.grantShare(s.e.queue.Name)
	if !s.spec.Gang {
		room /= float64(max(t.largest(s)/2, 1))
		return min(max(int(room), namedLeast), len(list))
	}
	// All tasks of a gang need room at the same time, so that what is free now counts. Where it is not
	// enough, the gang waits for room on workers that are full now, and must know some that it may have.
	n, free := 0, 0.0
	for n < len(list) && list[n].fits > 0 && free < room {
		free += float64(list[n].fits)
		n++
	}
	if free < room {
		n = max(n, permit.MaxWorkers)
	}
	return min(max(n, namedLeast), len(list))
}

// largest is how many tasks of a stage fit the largest worker when it is empty.
func (t *term) largest(s *stage) int {
	most := 0
	for _, n := range t.nodes {
		most = max(most, fits(n.listing.Has, s.charge()))
	}
	return most
}

// askers is the entry VMs that may put questions, read once for each pass.
type askers struct {
	nodes []owner.Node
	ids   []string
}

func (t *term) readAskers() {
	t.askers.nodes = t.o.Nodes()
	t.askers.ids = t.askers.ids[:0]
	for i := range t.askers.nodes {
		t.askers.ids = append(t.askers.ids, t.askers.nodes[i].ID)
	}
	t.desk.Keep(t.askers.ids)
}

// mayAsk reports whether a stage may put a question now. Where no VM is free for it, it waits for its
// turn among all stages.
func (t *term) mayAsk(s *stage, now time.Time) bool {
	return s.asking == 0 && !now.Before(s.askFrom) && t.desk.Free(t.askers.ids, s.e.queue.Permit.Base, now)
}

// question puts a question to the service from the entry VM that can answer first; false where none is
// free for it.
func (t *term) question(s *stage, names []string, now time.Time) bool {
	p := s.e.queue.Permit
	cost := p.Base + time.Duration(len(names))*p.PerWorker
	vm, until, ok := t.desk.Pick(t.askers.ids, cost, now)
	if !ok {
		t.letGo(s)
		return false
	}
	from := t.askers.nodes[slices.Index(t.askers.ids, vm)]
	q := &permit.Question{Work: s.e.work.ID, Occurrence: s.occ.number, Step: s.index, Workers: names}
	s.asking++
	t.o.Metrics.Counter("dispatch.questions").Inc(1)
	t.wg.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, time.Until(until)+askSlack)
		defer cancel()
		a, err := t.o.Ask(ctx, from, q)
		t.post(func() { t.onAnswer(s, from, q, now, a, err) })
	})
	return true
}

// onAnswer notes what the service allows.
func (t *term) onAnswer(s *stage, from owner.Node, q *permit.Question, asked time.Time, a *permit.Answer, err error) {
	now := time.Now()
	s.asking--
	t.dirty = true
	if err != nil {
		t.letGo(s)
		t.desk.Failed(from.ID, now)
		s.askFrom = now.Add(min(askAgain<<min(s.askFailed, 8), askAgainMost))
		s.askFailed++
		t.log.Info("dispatch: question without an answer", zap.String("id", q.Work), zap.Int("step", q.Step),
			zap.String("from", from.ID), zap.Int("workers", len(q.Workers)), zap.Error(err))
		return
	}
	t.desk.Answered(from.ID)
	s.askFailed = 0
	if s.answers == nil {
		s.answers = make(map[string]ticket, len(q.Workers))
	}
	for _, id := range q.Workers {
		if known := s.answers[id]; !known.allowed {
			s.answers[id] = ticket{}
		}
	}
	for _, g := range a.Grants {
		s.answers[g.Worker] = ticket{value: g.Ticket, until: now.Add(a.Valid), allowed: true}
	}
	t.noteGrants(s.e.queue.Name, len(a.Grants), len(q.Workers))
	t.log.Info("dispatch: permits", zap.String("id", q.Work), zap.Int("step", q.Step), zap.String("from", from.ID),
		zap.Int("named", len(q.Workers)), zap.Int("allowed", len(a.Grants)), zap.Duration("took", now.Sub(asked)),
		zap.Duration("waited", now.Sub(s.since)))
}

// grantWeight is the weight of the newest answer in the share of workers that a queue is allowed.
const grantWeight = 0.1

func (t *term) noteGrants(queue string, allowed, named int) {
	if named == 0 {
		return
	}
	share := t.grantShare(queue)
	t.grants[queue] = share + grantWeight*(float64(allowed)/float64(named)-share)
}

func (t *term) grantShare(queue string) float64 {
	if share, ok := t.grants[queue]; ok {
		return max(share, leastGrant)
	}
	return usualGrant
}

// leastGrant bounds how few workers a queue is expected to be allowed.
const leastGrant = 0.1
