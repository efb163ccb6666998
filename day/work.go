package day

import "time"

// Outcome is the final state of a work in a report.
type Outcome string

// Outcomes of a work.
const (
	InTime    Outcome = "inTime"
	Late      Outcome = "late"
	Lost      Outcome = "lost" // not completed within three times its objective
	Failed    Outcome = "failed"
	Cancelled Outcome = "cancelled"
	Open      Outcome = "open" // not ended at the end of the log
)

// Stage is a phase in the processing of a work.
type Stage string

// Stages in the order of processing.
const (
	StageTurn     Stage = "turn"     // from acceptance to the first permit request
	StagePermits  Stage = "permits"  // until the first permit response
	StageBatch    Stage = "batch"    // from then to the first start, while requests sent before that response are pending
	StageAgain    Stage = "again"    // other time with a further permit request pending, sent after the first response
	StageFull     Stage = "full"     // other time in which the permitted workers had no room when the latest response came
	StageRoom     Stage = "room"     // other time until the first start is decided; from acceptance if no permit is needed
	StageRecorded Stage = "recorded" // until the intent to start is durable, mean over the runs
	StageOrdered  Stage = "ordered"  // until the worker has answered the order, mean over the runs
	StageRun      Stage = "run"      // from the first start to the last reported end or the publication, including later steps
	StageShown    Stage = "shown"    // until the end is durable and published
)

// Stages lists all stages in the order of processing.
var Stages = []Stage{StageTurn, StagePermits, StageBatch, StageAgain, StageFull, StageRoom, StageRecorded, StageOrdered, StageRun, StageShown}

// outcomes lists all outcomes in the order of the tables, stagesBeforeStart the stages until the first start is decided.
var (
	outcomes          = []Outcome{InTime, Late, Lost, Failed, Cancelled, Open}
	stagesBeforeStart = []Stage{StageTurn, StagePermits, StageBatch, StageAgain, StageFull, StageRoom}
)

// work collects the data of one work from log lines.
type work struct {
	id, queue, zone, class string
	// account is its client account; surplus is true if it exceeded the account's rate.
	account string
	surplus bool
	// size is in core-seconds, objective in milliseconds.
	size, objective float64
	// describedAt is the time of the line that gave queue, zone, class, size and objective. The earliest such line
	// wins, which is that of the first owner.
	describedAt time.Time
	// firstRequest, firstPermit and started are the earliest, ended is the latest of several events. A time is zero if
	// the event was not logged.
	accepted, firstRequest, firstPermit, started, ended, published time.Time
	state                                                          string
	// permitRequests holds the answered permit requests.
	permitRequests []permitRequest
	// starts holds the decided starts, done the runs that were done.
	starts     []start
	done       []taskRun
	beforeGoal float64
	lost       bool
	// recordedSum and orderedSum are sums over the runs, in milliseconds.
	recordedSum, orderedSum float64
	runs                    int
}

func keepEarliest(at *time.Time, t time.Time) {
	if at.IsZero() || t.Before(*at) {
		*at = t
	}
}

func keepLatest(at *time.Time, t time.Time) {
	if t.After(*at) {
		*at = t
	}
}

// add processes a line about the work.
func (w *work) add(l *line) {
	switch l.Msg {
	case "dispatch: work taken":
		keepEarliest(&w.accepted, l.millisBefore(l.Age))
		if w.describedAt.IsZero() || l.Time.Before(w.describedAt) {
			w.describedAt, w.queue, w.zone, w.class, w.size, w.objective = l.Time, l.Queue, l.Zone, l.Class, l.CoreSeconds, l.Objective
			w.account, w.surplus = l.Account, l.Surplus
		}
	case "dispatch: permits":
		keepEarliest(&w.firstRequest, l.millisBefore(l.Took))
		keepEarliest(&w.firstPermit, l.Time)
		w.permitRequests = append(w.permitRequests, newPermitRequest(l))
	case "dispatch: start decided":
		keepEarliest(&w.started, l.Time)
	case "dispatch: run ended":
		keepLatest(&w.ended, l.Time)
		w.recordedSum += l.Recorded
		w.orderedSum += l.Ordered
		w.runs++
	case "dispatch: work is worth nothing any more":
		w.lost = true
	case "dispatch: work ended":
		w.state, w.published, w.beforeGoal = l.State, l.Time, l.BeforeGoal
	}
}

// millis converts a duration to milliseconds.
func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// lostAfterObjectives is the age, in multiples of its objective, after which a work has expired.
const lostAfterObjectives = 3

// classify returns the outcome of the work. A cancellation or failure takes precedence over a loss, since a cancelled
// work may be reported as lost too.
func (w *work) classify() Outcome {
	switch {
	case w.state == "cancelled":
		return Cancelled
	case w.state == "failed":
		return Failed
	case w.lost || w.beforeGoal < -(lostAfterObjectives-1)*w.objective:
		return Lost
	case w.published.IsZero():
		return Open
	case w.beforeGoal < 0:
		return Late
	}
	return InTime
}

// stageTimes returns the time in milliseconds that the work spent in each stage with known bounds.
func (w *work) stageTimes() map[Stage]float64 {
	out := make(map[Stage]float64, len(Stages))
	record := func(s Stage, from, to time.Time) {
		if !from.IsZero() && !to.IsZero() && !to.Before(from) {
			out[s] = millis(to.Sub(from))
		}
	}
	record(StageTurn, w.accepted, w.firstRequest)
	record(StagePermits, w.firstRequest, w.firstPermit)
	ready := w.firstPermit
	if ready.IsZero() {
		ready = w.accepted
	}
	record(StageRoom, ready, w.started)
	if _, ok := out[StageRoom]; ok && !w.firstPermit.IsZero() {
		for _, s := range []Stage{StageBatch, StageAgain, StageFull, StageRoom} {
			out[s] = 0
		}
		w.addWaits(out, ready, w.started)
	}
	if w.runs > 0 {
		out[StageRecorded] = w.recordedSum / float64(w.runs)
		out[StageOrdered] = w.orderedSum / float64(w.runs)
	}
	// Runs of a gang may be reported as ended after the work's result was published.
	ended := w.ended
	if !w.published.IsZero() && ended.After(w.published) {
		ended = w.published
	}
	record(StageRun, w.started, ended)
	record(StageShown, ended, w.published)
	return out
}

// classifiedWork is a work with its outcome and stage times, which are computed once for all groups.
type classifiedWork struct {
	*work
	outcome Outcome
	stages  map[Stage]float64
}
