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
	// requestTimeoutSlack is added to the expected duration of a permit request to get its timeout.
	requestTimeoutSlack = 350 * time.Millisecond
	// requestRetryMin is the pause after a request without a response. It doubles with each further one, up to
	// requestRetryMax.
	requestRetryMin = 20 * time.Millisecond
	requestRetryMax = 400 * time.Millisecond
	// ticketMargin is the minimum remaining validity of a ticket when a start is decided, as the intent must still be
	// committed and the order must reach the worker.
	ticketMargin = 80 * time.Millisecond
	// defaultGrantShare is the expected fraction of allowed workers before any response is known.
	defaultGrantShare = 0.4
	// namingFactor multiplies the capacity needed to get the capacity of the workers that a request names, as some of
	// it is taken while the request is pending.
	namingFactor = 1.6
	// minNamedWorkers is the minimum number of workers that a first request names.
	minNamedWorkers = 24
)

// permits is what a stage knows about the workers that may run it. A permit does not change during the life of a step;
// only its ticket expires.
type permits struct {
	// tickets holds the ticket of each worker that is allowed, and an empty one for each worker that is not.
	tickets map[string]ticket
	// openRequests is the number of pending requests.
	openRequests int
	// requestRetryAt is the earliest time of the next request after a failure.
	requestRetryAt  time.Time
	requestFailures int
	// earlyRequests counts the requests sent before there was capacity.
	earlyRequests int
	// setAside holds the capacity set aside while a request is pending, until the stage is tried again after it.
	setAside []allocation
	// allowedNodes caches the workers with allowed tickets as of version allowedVersion of the term's nodes.
	allowedNodes   []*node
	allowedVersion int
}

// ticket is the state of a worker's permit; it may be sent with orders before the time until.
type ticket struct {
	value   string
	until   time.Time
	allowed bool
}

// allocation assigns a number of a stage's tasks to a node.
type allocation struct {
	node  *node
	tasks int
	// suspect is the task that is to run alone on the node, nil for tasks that may share it.
	suspect *suspect
}

// allowedNodesStale is the value of allowedVersion that invalidates allowedNodes after a response.
const allowedNodesStale = -1

// ticket returns the ticket to send to a worker.
func (s *stage) ticket(workerID string) string { return s.tickets[workerID].value }

// expireTicket invalidates a ticket that a worker rejected. The worker still counts as allowed.
func (s *stage) expireTicket(workerID string) {
	if a, ok := s.tickets[workerID]; ok {
		a.until = time.Time{}
		s.tickets[workerID] = a
	}
}

// needsPermit reports whether the stage's queue has a policy service.
func (s *stage) needsPermit() bool { return s.entry.queue.Permit != nil }

// permitted reports whether a task may be started on the worker now with the permits known.
func (s *stage) permitted(n *node, now time.Time) bool {
	if !s.needsPermit() {
		return true
	}
	a := s.tickets[n.id]
	return a.allowed && now.Add(ticketMargin).Before(a.until)
}

// setAsideCapacity sets capacity aside for tasks while a permit request is pending.
func (s *stage) setAsideCapacity(n *node, tasks int) {
	n.setAside = n.setAside.Plus(s.taskResources().Times(tasks))
	n.updateIndex()
	s.setAside = append(s.setAside, allocation{node: n, tasks: tasks})
}

// releaseSetAside releases the capacity that was set aside for a stage.
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

// permitVMs caches the entry VMs that may send permit requests.
type permitVMs struct {
	nodes []owner.Node
	ids   []string
}

// refreshPermitVMs updates permitVMs and the VM selector if the list of VMs has changed.
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

// sameSlice reports whether a and b are the same slice; it does not compare their elements.
func sameSlice(a, b []owner.Node) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// canRequest reports whether a stage may send a permit request now. If no VM is free for it, the stage tries again in
// the next pass, in the order of urgency.
func (t *term) canRequest(s *stage, now time.Time) bool {
	return s.openRequests == 0 && !now.Before(s.requestRetryAt) &&
		t.vmSelector.CanPick(t.permitVMs.ids, s.entry.queue.Permit.Base, now)
}

// sendPermitRequest sends a permit request from the entry VM that can get a response soonest. It returns false if no VM
// is free for it.
func (t *term) sendPermitRequest(s *stage, names []string, now time.Time) bool {
	p := s.entry.queue.Permit
	cost := p.Base + time.Duration(len(names))*p.PerWorker
	vm, until, ok := t.vmSelector.Pick(t.permitVMs.ids, cost, now)
	if !ok {
		t.releaseSetAside(s)
		return false
	}
	from := t.permitVMs.nodes[slices.Index(t.permitVMs.ids, vm)]
	req := &permit.Request{Work: s.entry.work.ID, Occurrence: s.occurrence.number, Step: s.index, Workers: names}
	s.openRequests++
	t.o.Metrics.Counter("dispatch.questions").Inc(1)
	t.wg.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, time.Until(until)+requestTimeoutSlack+t.lag.Slack())
		defer cancel()
		resp, err := t.o.RequestPermit(ctx, from, req)
		t.post(func() { t.onResponse(s, from, req, now, resp, err) })
	})
	return true
}

// onResponse records the permits of a response, or schedules a retry after an error.
func (t *term) onResponse(s *stage, from owner.Node, req *permit.Request, sent time.Time, resp *permit.Response, err error) {
	now := time.Now()
	s.openRequests--
	t.passNeeded = true
	if err != nil {
		t.releaseSetAside(s)
		t.vmSelector.RecordFailure(from.ID, now)
		s.requestRetryAt = now.Add(min(requestRetryMin<<min(s.requestFailures, 8), requestRetryMax))
		s.requestFailures++
		t.log.Info("dispatch: question without an answer", zap.String("id", req.Work), zap.Int("step", req.Step),
			zap.String("from", from.ID), zap.Int("workers", len(req.Workers)), zap.Error(err))
		return
	}
	t.vmSelector.RecordSuccess(from.ID)
	s.requestFailures = 0
	if s.tickets == nil {
		s.tickets = make(map[string]ticket, len(req.Workers))
	}
	for _, id := range req.Workers {
		if old := s.tickets[id]; !old.allowed {
			s.tickets[id] = ticket{}
		}
	}
	for _, g := range resp.Grants {
		s.tickets[g.Worker] = ticket{value: g.Ticket, until: now.Add(resp.TicketTTL), allowed: true}
	}
	s.allowedVersion = allowedNodesStale
	t.updateGrantShare(s.entry.queue.Name, len(resp.Grants), len(req.Workers))
	t.log.Info("dispatch: permits", zap.String("id", req.Work), zap.Int("step", req.Step), zap.String("from", from.ID),
		zap.Int("named", len(req.Workers)), zap.Int("allowed", len(resp.Grants)), zap.Duration("took", now.Sub(sent)),
		zap.Duration("waited", now.Sub(s.readySince)), zap.Int("tasks", s.waiting), zap.Int("room", t.tasksFittingAllowed(s, now)))
}

// tasksFittingAllowed returns how many waiting tasks of a stage fit on its allowed workers now.
func (t *term) tasksFittingAllowed(s *stage, now time.Time) int {
	fitting := 0
	for _, n := range t.allowedNodes(s) {
		if n.usable(now) && t.matches(s, n) {
			fitting += t.tasksFitting(s, n, now)
		}
	}
	return min(fitting, s.waiting)
}

// grantShareWeight is the weight of the newest response in a queue's moving average of allowed workers.
const grantShareWeight = 0.1

// updateGrantShare updates the average fraction of named workers that a queue is allowed.
func (t *term) updateGrantShare(queue string, allowed, named int) {
	if named == 0 {
		return
	}
	share := t.expectedGrantShare(queue)
	t.grantShares[queue] = share + grantShareWeight*(float64(allowed)/float64(named)-share)
}

// expectedGrantShare returns the fraction of named workers that a queue will probably be allowed.
func (t *term) expectedGrantShare(queue string) float64 {
	if share, ok := t.grantShares[queue]; ok {
		return max(share, minGrantShare)
	}
	return defaultGrantShare
}

// minGrantShare is the lowest expected fraction of allowed workers, which bounds how many are named.
const minGrantShare = 0.1
