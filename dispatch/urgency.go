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
	goal time.Time
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
func urgencyOf(s *stage, now time.Time) urgency {
	e := s.e
	u := urgency{s: s, goal: s.occ.goal(e)}
	left := now.Add(s.spec.Estimate / 2)
	switch {
	case left.After(s.occ.lost(e)):
		u.hope = hopeNone
	case left.After(u.goal):
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
	if c := cmp.Compare(u.s.e.queue.Priority, o.s.e.queue.Priority); c != 0 {
		return c
	}
	if c := u.goal.Compare(o.goal); c != 0 {
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
