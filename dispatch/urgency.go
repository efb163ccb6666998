package dispatch

import (
	"cmp"
	"strings"
	"time"
)

// urgency orders stages: lower goes first.
type urgency struct {
	s    *stage
	hope hope
	// turn orders works of like hope and priority.
	turn time.Time
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
	u := urgency{s: s, turn: e.work.Due(s.occ.number).Add(time.Duration(t.sizes.Wait(e.work.Queue.Name, e.size) * float64(e.objective)))}
	left := now.Add(s.spec.Estimate / 2)
	switch {
	case left.After(s.occ.lost(e)):
		u.hope = hopeNone
	case left.After(goal):
		u.hope = hopeLate
	}
	return u
}

// compare orders by urgency. A service goes first: each moment without it counts.
func (u urgency) compare(o urgency) int {
	if c := cmp.Compare(o.service(), u.service()); c != 0 {
		return c
	}
	if c := cmp.Compare(u.hope, o.hope); c != 0 {
		return c
	}
	if c := cmp.Compare(u.s.e.priority(), o.s.e.priority()); c != 0 {
		return c
	}
	if c := u.turn.Compare(o.turn); c != 0 {
		return c
	}
	return strings.Compare(u.s.e.work.ID, o.s.e.work.ID)
}

// service gives 1 for a stage whose tasks run until they are cancelled.
func (u urgency) service() int {
	if u.s.spec.Service {
		return 1
	}
	return 0
}
