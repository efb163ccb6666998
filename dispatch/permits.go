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
	// requestTimeoutSlack is added to the time that a question should take before it is given up.
	requestTimeoutSlack = 350 * time.Millisecond
	// requestRetryMin is the pause after a question without an answer, doubled after each further one up to
	// requestRetryMax.
	requestRetryMin = 20 * time.Millisecond
	requestRetryMax = 400 * time.Millisecond
	// ticketMargin is what must be left of a ticket's time when a start is decided: the commit of the
	// intent and the way to the worker come after.
	ticketMargin = 80 * time.Millisecond
	// defaultGrantShare is the share of workers that are expected to be allowed before any answer is known.
	defaultGrantShare = 0.4
	// namingFactor is how many times the room that should just do is named, as some fills up meanwhile.
	namingFactor = 1.6
	// minNamedWorkers is the least number of workers that a first question names.
	minNamedWorkers = 24
)

// permits is what a stage knows of the workers that may run it. What is allowed for a step does not
// change; only tickets expire.
type permits struct {
	// tickets holds the ticket of each worker that is allowed, and an empty one for the others.
	tickets map[string]ticket
	// openRequests counts the questions under way.
	openRequests int
	// retryQuestionAt is when a question may be put again after a failure.
	retryQuestionAt  time.Time
	questionFailures int
	// earlyRequests counts the questions that were put before there was room.
	earlyRequests int
	// setAside holds the capacity that is setAside while a question is under way, until the stage's turn after it.
	setAside []allocation
	// allowedNodes lists the workers that answers allow, as they were at the term's allowedVersion-th change of workers.
	allowedNodes   []*node
	allowedVersion int
}

type ticket struct {
	value   string
	until   time.Time
	allowed bool
}

type allocation struct {
	node  *node
	tasks int
}

// allowedStale says that the answers have changed since the allowed workers were listed.
const allowedStale = -1

// ticket gives the ticket to send to a worker.
func (s *stage) ticket(workerID string) string { return s.tickets[workerID].value }

// expireTicket drops a ticket that a worker did not take; whether it is allowed stays known.
func (s *stage) expireTicket(workerID string) {
	if a, ok := s.tickets[workerID]; ok {
		a.until = time.Time{}
		s.tickets[workerID] = a
	}
}

// needsPermit reports whether the stage's queue has a policy service.
func (s *stage) needsPermit() bool { return s.entry.queue.Permit != nil }

// permitted reports whether a start on the worker may be sent now.
func (s *stage) permitted(n *node, now time.Time) bool {
	if !s.needsPermit() {
		return true
	}
	a := s.tickets[n.id]
	return a.allowed && now.Add(ticketMargin).Before(a.until)
}

// setAsideRoom sets room aside while a question is under way.
func (s *stage) setAsideRoom(n *node, tasks int) {
	n.setAside = n.setAside.Plus(s.taskResources().Times(tasks))
	n.updateIndex()
	s.setAside = append(s.setAside, allocation{n, tasks})
}

// releaseSetAside gives back the room that was set aside.
func (t *term) releaseSetAside(s *stage) {
	for _, k := range s.setAside {
		k.node.setAside = k.node.setAside.Minus(s.taskResources().Times(k.tasks))
		k.node.updateIndex()
	}
	if len(s.setAside) > 0 {
		t.passNeeded = true
	}
	s.setAside = s.setAside[:0]
}

// permitVMs is the entry VMs that may put questions, read again when there are others.
type permitVMs struct {
	nodes []owner.Node
	ids   []string
}

func (t *term) refreshPermitVMs() {
	nodes := t.o.Nodes()
	if sameSlice(nodes, t.permitVMs.nodes) {
		return
	}
	t.permitVMs.nodes = nodes
	t.permitVMs.ids = t.permitVMs.ids[:0]
	for i := range t.permitVMs.nodes {
		t.permitVMs.ids = append(t.permitVMs.ids, t.permitVMs.nodes[i].ID)
	}
	t.vmSelector.RetainVMs(t.permitVMs.ids)
}

// sameSlice reports whether two lists are one and the sameSlice.
func sameSlice(a, b []owner.Node) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// canRequest reports whether a stage may put a question now. Where no VM is free for it, it waits for its
// turn among all stages.
func (t *term) canRequest(s *stage, now time.Time) bool {
	return s.openRequests == 0 && !now.Before(s.retryQuestionAt) && t.vmSelector.CanPick(t.permitVMs.ids, s.entry.queue.Permit.Base, now)
}

// sendPermitRequest puts a sendPermitRequest to the service from the entry VM that can answer first; false where none is
// free for it.
func (t *term) sendPermitRequest(s *stage, names []string, now time.Time) bool {
	p := s.entry.queue.Permit
	cost := p.Base + time.Duration(len(names))*p.PerWorker
	vm, until, ok := t.vmSelector.Pick(t.permitVMs.ids, cost, now)
	if !ok {
		t.releaseSetAside(s)
		return false
	}
	from := t.permitVMs.nodes[slices.Index(t.permitVMs.ids, vm)]
	q := &permit.Request{Work: s.entry.work.ID, Occurrence: s.occurrence.number, Step: s.index, Workers: names}
	s.openRequests++
	t.o.Metrics.Counter("dispatch.questions").Inc(1)
	t.wg.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, time.Until(until)+requestTimeoutSlack+t.lag.slack())
		defer cancel()
		a, err := t.o.Ask(ctx, from, q)
		t.post(func() { t.onPermitResponse(s, from, q, now, a, err) })
	})
	return true
}

// onPermitResponse notes what the service allows.
func (t *term) onPermitResponse(s *stage, from owner.Node, q *permit.Request, asked time.Time, a *permit.Response, err error) {
	now := time.Now()
	s.openRequests--
	t.passNeeded = true
	if err != nil {
		t.releaseSetAside(s)
		t.vmSelector.RecordFailure(from.ID, now)
		s.retryQuestionAt = now.Add(min(requestRetryMin<<min(s.questionFailures, 8), requestRetryMax))
		s.questionFailures++
		t.log.Info("dispatch: question without an answer", zap.String("id", q.Work), zap.Int("step", q.Step),
			zap.String("from", from.ID), zap.Int("workers", len(q.Workers)), zap.Error(err))
		return
	}
	t.vmSelector.RecordSuccess(from.ID)
	s.questionFailures = 0
	if s.tickets == nil {
		s.tickets = make(map[string]ticket, len(q.Workers))
	}
	for _, id := range q.Workers {
		if known := s.tickets[id]; !known.allowed {
			s.tickets[id] = ticket{}
		}
	}
	for _, g := range a.Grants {
		s.tickets[g.Worker] = ticket{value: g.Ticket, until: now.Add(a.TicketTTL), allowed: true}
	}
	s.allowedVersion = allowedStale
	t.updateGrantShare(s.entry.queue.Name, len(a.Grants), len(q.Workers))
	t.log.Info("dispatch: permits", zap.String("id", q.Work), zap.Int("step", q.Step), zap.String("from", from.ID),
		zap.Int("named", len(q.Workers)), zap.Int("allowed", len(a.Grants)), zap.Duration("took", now.Sub(asked)),
		zap.Duration("waited", now.Sub(s.readySince)), zap.Int("tasks", s.waiting), zap.Int("room", t.tasksFittingAllowed(s, now)))
}

// tasksFittingAllowed counts the waiting tasks of a stage that fit the workers that it may have now.
func (t *term) tasksFittingAllowed(s *stage, now time.Time) int {
	room := 0
	for _, n := range t.allowedNodes(s) {
		if n.usable(now) && t.matches(s, n) {
			room += t.tasksFitting(s, n, now)
		}
	}
	return min(room, s.waiting)
}

// grantShareWeight is the weight of the newest answer in the share of workers that a queue is allowed.
const grantShareWeight = 0.1

func (t *term) updateGrantShare(queue string, allowed, named int) {
	if named == 0 {
		return
	}
	share := t.expectedGrantShare(queue)
	t.grantShares[queue] = share + grantShareWeight*(float64(allowed)/float64(named)-share)
}

func (t *term) expectedGrantShare(queue string) float64 {
	if share, ok := t.grantShares[queue]; ok {
		return max(share, minGrantShare)
	}
	return defaultGrantShare
}

// minGrantShare bounds how few workers a queue is expected to be allowed.
const minGrantShare = 0.1
