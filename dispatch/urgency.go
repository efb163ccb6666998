package dispatch

import (
	"cmp"
	"strings"
	"time"

	"turmericgap/aging"
)

// urgency orders stages: lower goes first.
type urgency struct {
	stage *stage
	// service is 1 for a stage whose tasks run until they are cancelled.
	service  int
	lateness lateness
	priority int
	// turn orders works of like hope and priority; nanoseconds of the calendar.
	turn int64
}

// lateness tells what a work can still earn.
type lateness int

// The lower goes first.
const (
	latenessOnTime lateness = iota
	// latenessLate means that the work will be done after its goal.
	latenessLate
	// latenessExpired means that it is worth nothing any more; it is done all the same.
	latenessExpired
)

// urgencyOf tells what a stage can still earn if it started now.
func (t *term) urgencyOf(s *stage, now time.Time) urgency {
	e := s.entry
	goal := s.occurrence.deadline(e)
	wait := time.Duration(t.sizes.WaitFactor(e.work.Queue.Name, e.size) * float64(e.objective))
	u := urgency{stage: s, priority: e.priority(), turn: e.work.DueAt(s.occurrence.number).Add(wait).UnixNano()}
	if s.spec.Service {
		u.service = 1
	}
	switch end := now.Add(s.minRemaining()); {
	case end.After(s.occurrence.expiry(e)):
		u.lateness = latenessExpired
	case end.After(goal):
		u.lateness = latenessLate
	}
	return u
}

// minRemaining is how long it minRemaining at least from now until the work is done, if the stage has its turn now. A gang ends
// with its slowest task; a single task may be well below its estimate. Were the question and the later steps left out,
// gangs that can no longer be in time would have turns before those that can.
func (s *stage) minRemaining() time.Duration {
	takes := s.spec.Estimate / 2
	if s.spec.Gang {
		takes = s.spec.Estimate
		if s.needsPermit() && s.tickets == nil {
			p := s.entry.queue.Permit
			takes += p.Base + assumedPermitWorkers*p.PerWorker
		}
	}
	return takes + s.entry.remainingAfter[s.index]
}

// shareTurns shares the turns between classes of sizes, among works of a queue that can be in time and that only
// their turns tell apart. By the order alone the small works of an overloaded queue have all turns.
func (t *term) shareTurns(order []urgency) {
	for len(order) > 0 {
		n := 1
		for n < len(order) && order[0].sameRank(order[n]) {
			n++
		}
		if order[0].lateness == latenessOnTime {
			t.shareAmong(order[:n])
		}
		order = order[n:]
	}
}

// shareAmong orders the works of each queue anew among the places that they have. Later steps go first: their
// work has had its turn, and what was done of it would be in vain.
func (t *term) shareAmong(group []urgency) {
	places := make(map[string][]int)
	for i := range group {
		name := group[i].stage.entry.work.Queue.Name
		places[name] = append(places[name], i)
	}
	for name, at := range places {
		var later, first []urgency
		var classes []aging.Class
		for _, i := range at {
			if len(group[i].stage.spec.DependsOn) > 0 {
				later = append(later, group[i])
				continue
			}
			first = append(first, group[i])
			classes = append(classes, t.sizes.Class(name, group[i].stage.entry.size))
		}
		for _, i := range t.sizes.Order(name, classes) {
			later = append(later, first[i])
		}
		for i, u := range later {
			group[at[i]] = u
		}
	}
}

// noteFirstStart notes that an occurrence has had its turn, once: what a former owner began had it then.
func (t *term) noteFirstStart(o *occurrence) {
	if o.started {
		return
	}
	o.started = true
	e := o.stages[0].entry
	name := e.work.Queue.Name
	t.sizes.RecordStart(name, t.sizes.Class(name, e.size))
}

// sameRank reports whether only their turns may tell two stages apart.
func (u urgency) sameRank(o urgency) bool {
	return u.service == o.service && u.lateness == o.lateness && u.priority == o.priority
}

// compare orders by urgency. A service goes first: each moment without it counts.
func (u urgency) compare(o urgency) int {
	switch {
	case u.service != o.service:
		return o.service - u.service
	case u.lateness != o.lateness:
		return int(u.lateness - o.lateness)
	case u.priority != o.priority:
		return cmp.Compare(u.priority, o.priority)
	case u.turn != o.turn:
		return cmp.Compare(u.turn, o.turn)
	}
	return strings.Compare(u.stage.entry.work.ID, o.stage.entry.work.ID)
}
