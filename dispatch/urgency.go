package dispatch

import (
	"cmp"
	"strings"
	"time"

	"turmericgap/aging"
)

// urgency orders stages: lower goes first.
type urgency struct {
	s *stage
	// service is 1 for a stage whose tasks run until they are cancelled.
	service  int
	hope     hope
	priority int
	// turn orders works of like hope and priority; nanoseconds of the calendar.
	turn int64
}

// hope tells what a work can still earn.
type hope int

// The lower goes first.
const (
	hopeInTime hope = iota
	// hopeLate means that the work will be done after its goal.
	hopeLate
	// hopeNone means that it is worth nothing any more; it is done all the same.
	hopeNone
)

// urgencyOf tells what a stage can still earn if it started now.
func (t *term) urgencyOf(s *stage, now time.Time) urgency {
	e := s.e
	goal := s.occ.goal(e)
	wait := time.Duration(t.sizes.WaitFactor(e.work.Queue.Name, e.size) * float64(e.objective))
	u := urgency{s: s, priority: e.priority(), turn: e.work.Due(s.occ.number).Add(wait).UnixNano()}
	if s.spec.Service {
		u.service = 1
	}
	switch end := now.Add(s.takes()); {
	case end.After(s.occ.lost(e)):
		u.hope = hopeNone
	case end.After(goal):
		u.hope = hopeLate
	}
	return u
}

// takes is how long it takes at least from now until the work is done, if the stage has its turn now. A gang ends
// with its slowest task; a single task may be well below its estimate. Were the question and the later steps left out,
// gangs that can no longer be in time would have turns before those that can.
func (s *stage) takes() time.Duration {
	takes := s.spec.Estimate / 2
	if s.spec.Gang {
		takes = s.spec.Estimate
		if s.needsPermit() && s.answers == nil {
			p := s.e.queue.Permit
			takes += p.Base + permitNames*p.PerWorker
		}
	}
	return takes + s.e.after[s.index]
}

// shareTurns shares the turns between classes of sizes, among works of a queue that can be in time and that only
// their turns tell apart. By the order alone the small works of an overloaded queue have all turns.
func (t *term) shareTurns(order []urgency) {
	for len(order) > 0 {
		n := 1
		for n < len(order) && order[0].like(order[n]) {
			n++
		}
		if order[0].hope == hopeInTime {
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
		name := group[i].s.e.work.Queue.Name
		places[name] = append(places[name], i)
	}
	for name, at := range places {
		var later, first []urgency
		var classes []aging.Class
		for _, i := range at {
			if len(group[i].s.spec.After) > 0 {
				later = append(later, group[i])
				continue
			}
			first = append(first, group[i])
			classes = append(classes, t.sizes.Class(name, group[i].s.e.size))
		}
		for _, i := range t.sizes.Order(name, classes) {
			later = append(later, first[i])
		}
		for i, u := range later {
			group[at[i]] = u
		}
	}
}

// begin notes that an occurrence has had its turn, once: what a former owner began had it then.
func (t *term) begin(o *occurrence) {
	if o.begun {
		return
	}
	o.begun = true
	e := o.stages[0].e
	name := e.work.Queue.Name
	t.sizes.RecordStart(name, t.sizes.Class(name, e.size))
}

// like reports whether only their turns may tell two stages apart.
func (u urgency) like(o urgency) bool {
	return u.service == o.service && u.hope == o.hope && u.priority == o.priority
}

// compare orders by urgency. A service goes first: each moment without it counts.
func (u urgency) compare(o urgency) int {
	switch {
	case u.service != o.service:
		return o.service - u.service
	case u.hope != o.hope:
		return int(u.hope - o.hope)
	case u.priority != o.priority:
		return cmp.Compare(u.priority, o.priority)
	case u.turn != o.turn:
		return cmp.Compare(u.turn, o.turn)
	}
	return strings.Compare(u.s.e.work.ID, o.s.e.work.ID)
}
