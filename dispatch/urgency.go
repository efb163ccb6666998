package dispatch

import (
	"cmp"
	"strings"
	"time"
)

// urgency orders stages: lower goes first.
type urgency struct {
	s *stage
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
	u := urgency{s: s, goal: e.goal}
	left := now.Add(s.spec.Estimate / 2)
	switch {
	case left.After(e.lost):
		u.hope = hopeNone
	case left.After(e.goal):
		u.hope = hopeLate
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
