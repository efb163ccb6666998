package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"turmericgap/fleet"
	"turmericgap/job"
	"turmericgap/planner"
)

// maxEndedJobs and maxRefusals limit the ended jobs and the refusals that are shown.
const (
	maxEndedJobs = 20
	maxRefusals  = 20
)

// State is the operators' view of a zone, as reported by its owner.
type State struct {
	Zone      string           `json:"zone"`
	Epoch     int64            `json:"epoch"`
	Live      int              `json:"live"`
	Stats     planner.Stats    `json:"stats"`
	Workers   []planner.Load   `json:"workers"`
	Ejections []fleet.Ejection `json:"ejections"`
	// Refused counts the submissions that a rule refused since this process started.
	Refused int64 `json:"refused"`
	// Refusals are the most recent refusals, with their reasons.
	Refusals []Refusal `json:"refusals"`
	// Ends are the most recent jobs that ended without an answer.
	Ends []EndedJob `json:"ends"`
}

// EndedJob is a job that ended as not run or unknown, with the reason.
type EndedJob struct {
	Job     string      `json:"job"`
	Ended   time.Time   `json:"ended"`
	Outcome job.Outcome `json:"outcome"`
	Reason  string      `json:"reason"`
}

// Refusal is a submission that was not accepted, with the reason.
type Refusal struct {
	At     time.Time `json:"at"`
	Team   string    `json:"team"`
	Class  string    `json:"class"`
	Rule   string    `json:"rule"`
	Reason string    `json:"reason"`
}

// recordRefusal keeps the most recent refusals for operators.
func (t *term) recordRefusal(spec *job.Submission, d planner.Decision, now time.Time) {
	t.o.Metrics.Counter("job.refused").Inc(1)
	if len(t.refusals) == maxRefusals {
		t.refusals = slices.Delete(t.refusals, 0, 1)
	}
	t.refusals = append(t.refusals, Refusal{At: now, Team: spec.Team, Class: spec.Class, Rule: d.Rule, Reason: d.RefusalReason})
}

// State returns the operators' view of the zone. It fails if this process does not own the zone.
func (s *Scheduler) State(ctx context.Context) (*State, error) {
	t, err := s.ownedTerm()
	if err != nil {
		return nil, err
	}
	out, err := callLoop(ctx, t, t.state)
	if err != nil {
		return nil, queryFault(err)
	}
	out.Refused = s.o.Metrics.Counter("job.refused").Count()
	return out, nil
}

// state builds the operators' view. It runs on the loop.
func (t *term) state() *State {
	s := &State{
		Zone: t.o.Zone, Epoch: t.epoch, Live: len(t.live), Stats: t.planner.Stats(time.Now()),
		Workers: t.planner.Loads(), Ejections: t.fleet.Ejections(),
		Refusals: slices.Clone(t.refusals),
	}
	for _, e := range t.jobs {
		if !e.durable || e.ended.IsZero() {
			continue
		}
		if outcome, reason := e.outcome(); outcome != job.Done {
			s.Ends = append(s.Ends, EndedJob{Job: e.id, Ended: e.ended, Outcome: outcome, Reason: reason})
		}
	}
	slices.SortFunc(s.Ends, func(a, b EndedJob) int { return cmp.Or(b.Ended.Compare(a.Ended), cmp.Compare(a.Job, b.Job)) })
	s.Ends = s.Ends[:min(len(s.Ends), maxEndedJobs)]
	return s
}
