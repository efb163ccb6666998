package evacuation

import (
	"time"

	"turmericgap/worker"
)

// Outcome is what became of a run on a worker that leaves.
type Outcome string

// The outcomes.
const (
	// Moved means that the run was stopped, and its task goes on elsewhere.
	Moved Outcome = "moved"
	// Stayed means that the run ended by itself.
	Stayed Outcome = "stayed"
	// Lost means that the worker has left with the run.
	Lost Outcome = "lost"
)

// Record is what the reports of a run have shown, the latest decision on it, and its outcome.
type Record struct {
	Progress
	// Notice and Run are what the decision was based on.
	Notice   Notice
	Run      Run
	Decision Decision
	// Outcome is empty until the run has ended, and if nothing was decided. LostWork is the work that was lost.
	Outcome  Outcome
	LostWork time.Duration
}

// Decide records a decision.
func (r *Record) Decide(n *Notice, run *Run, d Decision) { r.Notice, r.Run, r.Decision = *n, *run, d }

// End records how the run has ended and the checkpoint in its end. gangDone is true if its gang is done, by the report of
// another member. It reports whether there is an outcome: there is none if nothing was decided, and if the run was stopped
// for another reason.
func (r *Record) End(how worker.RunOutcome, gangDone bool, checkpoint string) bool {
	switch {
	case r.Decision.Action == "":
		return false
	case gangDone || how == worker.OutcomeDone || how == worker.OutcomeFailed:
		r.Outcome = Stayed
		return true
	case how == worker.OutcomeLeaseExpired:
		r.Outcome = Lost
	case r.Decision.Action == Move:
		r.Outcome = Moved
	default:
		return false
	}
	r.LostWork = r.Run.Worked
	if r.Run.Saves {
		r.LostWork = r.Run.Unsaved
	}
	if r.hasSaved(checkpoint) {
		r.LostWork = 0
	}
	return true
}

// LogFields returns names and values for the log, none unless the run has an outcome.
func (r *Record) LogFields() []any {
	if r.Outcome == "" {
		return nil
	}
	return []any{
		"evacuation", string(r.Outcome),
		"lostWork", r.LostWork,
		"action", string(r.Decision.Action),
		"stopAfter", r.Decision.After,
		"chance", r.Decision.Chance,
		"timeLeft", r.Notice.TimeLeft,
		"remainingKnown", r.Run.Remaining.Known,
		"remainingMin", r.Run.Remaining.Min,
		"remainingMax", r.Run.Remaining.Max,
		"saves", r.Run.Saves,
		"worked", r.Run.Worked,
		"unsaved", r.Run.Unsaved,
		"gang", r.Run.Gang,
		"tasks", r.Run.Tasks,
		"service", r.Run.Service,
		"unavailable", r.Run.Unavailable,
		"useful", r.Run.Useful,
	}
}
