package dispatch

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

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
	// allowed lists the workers that answers allow, as they were at the term's allowedAt-th change of workers.
	allowed   []*node
	allowedAt int
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

// unread says that the answers have changed since the allowed workers were listed.
const unread = -1

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
	n.file()
	s.kept = append(s.kept, keptRoom{n, tasks})
}

// letGo gives back the room that was set aside.
func (t *term) letGo(s *stage) {
	for _, k := range s.kept {
		k.n.held = k.n.held.Minus(s.charge().Times(k.tasks))
		k.n.file()
	}
	if len(s.kept) > 0 {
		t.dirty = true
	}
	s.kept = s.kept[:0]
}

// askers is the entry VMs that may put questions, read again when there are others.
type askers struct {
	nodes []owner.Node
	ids   []string
}

func (t *term) readAskers() {
	nodes := t.o.Nodes()
	if same(nodes, t.askers.nodes) {
		return
	}
	t.askers.nodes = nodes
	t.askers.ids = t.askers.ids[:0]
	for i := range t.askers.nodes {
		t.askers.ids = append(t.askers.ids, t.askers.nodes[i].ID)
	}
	t.desk.RetainVMs(t.askers.ids)
}

// same reports whether two lists are one and the same.
func same(a, b []owner.Node) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// mayAsk reports whether a stage may put a question now. Where no VM is free for it, it waits for its
// turn among all stages.
func (t *term) mayAsk(s *stage, now time.Time) bool {
	return s.asking == 0 && !now.Before(s.askFrom) && t.desk.CanPick(t.askers.ids, s.e.queue.Permit.Base, now)
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
	q := &permit.Request{Work: s.e.work.ID, Occurrence: s.occ.number, Step: s.index, Workers: names}
	s.asking++
	t.o.Metrics.Counter("dispatch.questions").Inc(1)
	t.wg.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, time.Until(until)+askSlack+t.lag.slack())
		defer cancel()
		a, err := t.o.Ask(ctx, from, q)
		t.post(func() { t.onAnswer(s, from, q, now, a, err) })
	})
	return true
}

// onAnswer notes what the service allows.
func (t *term) onAnswer(s *stage, from owner.Node, q *permit.Request, asked time.Time, a *permit.Response, err error) {
	now := time.Now()
	s.asking--
	t.dirty = true
	if err != nil {
		t.letGo(s)
		t.desk.RecordFailure(from.ID, now)
		s.askFrom = now.Add(min(askAgain<<min(s.askFailed, 8), askAgainMost))
		s.askFailed++
		t.log.Info("dispatch: question without an answer", zap.String("id", q.Work), zap.Int("step", q.Step),
			zap.String("from", from.ID), zap.Int("workers", len(q.Workers)), zap.Error(err))
		return
	}
	t.desk.RecordSuccess(from.ID)
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
		s.answers[g.Worker] = ticket{value: g.Ticket, until: now.Add(a.TicketTTL), allowed: true}
	}
	s.allowedAt = unread
	t.noteGrants(s.e.queue.Name, len(a.Grants), len(q.Workers))
	t.log.Info("dispatch: permits", zap.String("id", q.Work), zap.Int("step", q.Step), zap.String("from", from.ID),
		zap.Int("named", len(q.Workers)), zap.Int("allowed", len(a.Grants)), zap.Duration("took", now.Sub(asked)),
		zap.Duration("waited", now.Sub(s.since)), zap.Int("tasks", s.waiting), zap.Int("room", t.roomOnAllowed(s, now)))
}

// roomOnAllowed counts the waiting tasks of a stage that fit the workers that it may have now.
func (t *term) roomOnAllowed(s *stage, now time.Time) int {
	room := 0
	for _, n := range t.candidates(s) {
		if n.usable(now) && t.suits(s, n) {
			room += t.roomFor(s, n, now)
		}
	}
	return min(room, s.waiting)
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
