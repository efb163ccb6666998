package day

import (
	"cmp"
	"slices"
	"time"
)

// Outcome is what became of a work.
type Outcome string

// The fates.
const (
	InTime    Outcome = "inTime"
	Late      Outcome = "late"
	Lost      Outcome = "lost" // not done within three objectives
	Failed    Outcome = "failed"
	Cancelled Outcome = "cancelled"
	Open      Outcome = "open" // not ended when the log ends
)

// Stage is a part of a work's path.
type Stage string

// The stages, in the order of a work's path.
const (
	StageTurn     Stage = "turn"     // from its acceptance until its first question is put
	StagePermits  Stage = "permits"  // until that is answered
	StageAgain    Stage = "again"    // in further questions before its first start, as far as one was under way
	StageRoom     Stage = "room"     // the rest until its first start is decided; from its acceptance where it needs no permits
	StageRecorded Stage = "recorded" // until the intent of a start is durable, mean over its runs
	StageOrdered  Stage = "ordered"  // until the worker has answered the order, mean over its runs
	StageRun      Stage = "run"      // from its first start until its last end is heard or it is shown, later steps included
	StageShown    Stage = "shown"    // until its end is durable and shown
)

// Stages lists all stages.
var Stages = []Stage{StageTurn, StagePermits, StageAgain, StageRoom, StageRecorded, StageOrdered, StageRun, StageShown}

// work is what the lines tell of one work.
type work struct {
	id, queue, zone, class string
	// size is in core-seconds, objective in milliseconds.
	size, objective float64
	// taken is when the line that told of its class was written: the first owner's counts.
	taken time.Time
	// accepted, asked, permitted, started and ended are the first or last moment of their kind, shown is when its
	// end was shown; zero where no line tells.
	accepted, asked, permitted, started, ended, shown time.Time
	state                                             string
	// questions are those that were answered.
	questions  []span
	beforeGoal float64
	lost       bool
	// recorded and ordered are sums over its runs, in milliseconds.
	recorded, ordered float64
	runs              int
}

func earliest(at *time.Time, t time.Time) {
	if at.IsZero() || t.Before(*at) {
		*at = t
	}
}

func latest(at *time.Time, t time.Time) {
	if t.After(*at) {
		*at = t
	}
}

// take takes in a line about the work.
func (w *work) take(l *line) {
	switch l.Msg {
	case "dispatch: work taken":
		earliest(&w.accepted, l.since(l.Age))
		if w.taken.IsZero() || l.Time.Before(w.taken) {
			w.taken, w.queue, w.zone, w.class, w.size, w.objective = l.Time, l.Queue, l.Zone, l.Class, l.CoreSeconds, l.Objective
		}
	case "dispatch: permits":
		earliest(&w.asked, l.since(l.Took))
		earliest(&w.permitted, l.Time)
		w.questions = append(w.questions, span{l.since(l.Took), l.Time})
	case "dispatch: start decided":
		earliest(&w.started, l.Time)
	case "dispatch: run ended":
		latest(&w.ended, l.Time)
		w.recorded += l.Recorded
		w.ordered += l.Ordered
		w.runs++
	case "dispatch: work is worth nothing any more":
		w.lost = true
	case "dispatch: work ended":
		w.state, w.shown, w.beforeGoal = l.State, l.Time, l.BeforeGoal
	}
}

// millis gives a duration as reports have it.
func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// lostAfter objectives after it was due a work is worth nothing any more.
const lostAfter = 3

// became tells what became of the work. An end wins over a loss, which may be told of a work that was cancelled.
func (w *work) became() Outcome {
	switch {
	case w.state == "cancelled":
		return Cancelled
	case w.state == "failed":
		return Failed
	case w.lost || w.beforeGoal < -(lostAfter-1)*w.objective:
		return Lost
	case w.shown.IsZero():
		return Open
	case w.beforeGoal < 0:
		return Late
	}
	return InTime
}

// times gives how long the work spent in each stage that the lines tell of, in milliseconds.
func (w *work) times() map[Stage]float64 {
	out := make(map[Stage]float64, len(Stages))
	between := func(s Stage, from, to time.Time) {
		if !from.IsZero() && !to.IsZero() && !to.Before(from) {
			out[s] = millis(to.Sub(from))
		}
	}
	between(StageTurn, w.accepted, w.asked)
	between(StagePermits, w.asked, w.permitted)
	ready := w.permitted
	if ready.IsZero() {
		ready = w.accepted
	}
	between(StageRoom, ready, w.started)
	if room, ok := out[StageRoom]; ok && !w.permitted.IsZero() {
		out[StageAgain] = millis(w.asking(ready, w.started))
		out[StageRoom] = room - out[StageAgain]
	}
	if w.runs > 0 {
		out[StageRecorded] = w.recorded / float64(w.runs)
		out[StageOrdered] = w.ordered / float64(w.runs)
	}
	// The ends of a gang's other members are heard after the one that its work is shown by.
	ended := w.ended
	if !w.shown.IsZero() && ended.After(w.shown) {
		ended = w.shown
	}
	between(StageRun, w.started, ended)
	between(StageShown, ended, w.shown)
	return out
}

// span is a time from one moment to another.
type span struct{ from, to time.Time }

// asking gives for how long at least one question was under way between two moments.
func (w *work) asking(from, to time.Time) time.Duration {
	spans := slices.SortedFunc(slices.Values(w.questions), func(a, b span) int { return cmp.Or(a.from.Compare(b.from), a.to.Compare(b.to)) })
	sum := time.Duration(0)
	for _, s := range spans {
		if s.from.Before(from) {
			s.from = from
		}
		if s.to.After(to) {
			s.to = to
		}
		if s.to.After(s.from) {
			sum += s.to.Sub(s.from)
			from = s.to
		}
	}
	return sum
}

// judgedWork is a work with what became of it and how long it spent in each stage, which every group asks for.
type judgedWork struct {
	*work
	fate   Outcome
	stages map[Stage]float64
}
