package dispatch

import (
	"cmp"
	"strings"
	"time"

	"turmericgap/account"
	"turmericgap/aging"
)

// urgency is the sort key of a stage; the lowest goes first.
type urgency struct {
	stage *stage
	// service is 1 for a stage whose tasks run until they are cancelled, and goes before 0.
	service  int
	lateness lateness
	priority int
	// sortTime orders stages that are equal otherwise: the due time plus a wait that depends on the work's size, in Unix
	// nanoseconds.
	sortTime int64
}

// lateness classifies a stage by the earliest time at which its work can be done.
type lateness int

// Values in order of urgency.
const (
	latenessOnTime lateness = iota
	// latenessLate means that the work will be done after its deadline.
	latenessLate
	// latenessExpired means that the result will be worth nothing to the caller; the work still runs.
	latenessExpired
)

// urgencyOf returns the urgency of a stage if it starts now.
func (t *term) urgencyOf(s *stage, now time.Time) urgency {
	e := s.entry
	s.expectedRun = t.expectRun(s)
	deadline := s.occurrence.deadline(e)
	wait := time.Duration(t.sizes.WaitFactor(e.work.Queue.Name, e.size) * float64(e.objective))
	u := urgency{stage: s, priority: e.priority(), sortTime: e.work.DueAt(s.occurrence.number).Add(wait - e.refusedFor).UnixNano()}
	if s.spec.Service {
		u.service = 1
	}
	switch end := now.Add(s.minRemaining()); {
	case end.After(s.occurrence.expiry(e)):
		u.lateness = latenessExpired
	case end.After(deadline):
		u.lateness = latenessLate
	}
	return u
}

// minRemaining returns the least time until the work is done if the stage starts now. A gang ends with its slowest
// task, while a single task may take much less than its estimate. It includes the permit request and the later steps;
// without them, gangs that can no longer be on time would go before those that can.
func (s *stage) minRemaining() time.Duration {
	expected := cmp.Or(s.expectedRun, s.spec.Estimate)
	duration := expected / 2
	if s.spec.Gang {
		duration = expected
		if s.needsPermit() && s.tickets == nil {
			p := s.entry.queue.Permit
			duration += p.Base + assumedPermitWorkers*p.PerWorker
		}
	}
	return duration + s.entry.remainingAfter[s.index]
}

// shareStarts divides the starts of each queue fairly between size classes, among on-time stages of equal rank. By the
// sort order alone, small works of an overloaded queue would always go first.
func (t *term) shareStarts(order []urgency) {
	for len(order) > 0 {
		n := 1
		for n < len(order) && order[0].sameRank(order[n]) {
			n++
		}
		if order[0].lateness == latenessOnTime {
			t.interleaveClasses(order[:n])
		}
		if order[0].lateness != latenessExpired { // these take turns in limitExpired
			t.interleaveAccounts(order[:n])
		}
		order = order[n:]
	}
}

// interleaveClasses reorders the stages of each queue within the positions that the queue has in the group. Later steps
// go first, as their works have already started and what was done would be wasted.
func (t *term) interleaveClasses(group []urgency) {
	positions := make(map[string][]int)
	for i := range group {
		name := group[i].stage.entry.work.Queue.Name
		positions[name] = append(positions[name], i)
	}
	for name, indices := range positions {
		var laterSteps, firstSteps []urgency
		var classes []aging.Class
		for _, i := range indices {
			if len(group[i].stage.spec.DependsOn) > 0 {
				laterSteps = append(laterSteps, group[i])
				continue
			}
			firstSteps = append(firstSteps, group[i])
			classes = append(classes, t.sizes.Class(name, group[i].stage.entry.size))
		}
		for _, i := range t.sizes.Order(name, classes) {
			laterSteps = append(laterSteps, firstSteps[i])
		}
		for i, u := range laterSteps {
			group[indices[i]] = u
		}
	}
}

// interleaveAccounts reorders a group so that accounts start by their weights, and each account first what is within its
// rate.
func (t *term) interleaveAccounts(group []urgency) {
	if len(t.accounts.byName) == 0 {
		return
	}
	p := &t.pass
	before := p.grouped[:0]
	for _, surplus := range []bool{false, true} {
		for i := range group {
			if group[i].stage.entry.surplus == surplus {
				before = append(before, group[i])
			}
		}
	}
	waiting := p.waiting[:0]
	for i := range before {
		s := before[i].stage
		w := s.share()
		w.Cost *= float64(s.waiting)
		waiting = append(waiting, w)
	}
	p.grouped, p.waiting = before, waiting
	for to, from := range t.accounts.shares.Order(waiting) {
		group[to] = before[from]
	}
}

// share returns what one task of the stage takes of the share of its account.
func (s *stage) share() account.Waiting {
	e := s.entry
	return account.Waiting{Account: e.work.Account, Weight: e.weight, Cost: s.spec.TaskResources.Cores() * s.spec.Estimate.Seconds()}
}

// recordFirstStart counts the first start of an occurrence for its size class, unless a former owner started it.
func (t *term) recordFirstStart(o *occurrence) {
	if o.started {
		return
	}
	o.started = true
	e := o.stages[0].entry
	name := e.work.Queue.Name
	t.sizes.RecordStart(name, t.sizes.Class(name, e.size))
}

// sameRank reports whether only sortTime or the work's ID may distinguish two stages.
func (u urgency) sameRank(o urgency) bool {
	return u.service == o.service && u.lateness == o.lateness && u.priority == o.priority
}

// compare orders by urgency. Services go first, as every moment without them counts.
func (u urgency) compare(o urgency) int {
	switch {
	case u.service != o.service:
		return o.service - u.service
	case u.lateness != o.lateness:
		return int(u.lateness - o.lateness)
	case u.priority != o.priority:
		return cmp.Compare(u.priority, o.priority)
	case u.sortTime != o.sortTime:
		return cmp.Compare(u.sortTime, o.sortTime)
	}
	return strings.Compare(u.stage.entry.work.ID, o.stage.entry.work.ID)
}
