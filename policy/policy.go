package policy

import (
	"time"

	"turmericgap/planner"
	"turmericgap/worker"
)

// Policy is a scheduling policy. Its functions are the methods of a planner that a replay needs.
type Policy struct {
	Name      string
	SetWorker func(now time.Time, info worker.Info, open, probe bool)
	Admit     func(now time.Time, j *planner.Job) planner.Decision
	Add       func(now time.Time, j *planner.Job) planner.Decision
	Next      func(now time.Time, limit int) planner.Plan
	Release   func(now time.Time, jobID string, task int, end planner.AttemptResult)
	Stats     func(now time.Time) planner.Stats
}

// Planner returns the policy of the real planner.
func Planner(name string, opts ...planner.Option) Policy {
	p := planner.New(opts...)
	return Policy{
		Name: name, SetWorker: p.SetWorker, Admit: p.Admit, Add: p.Add, Next: p.Next, Release: p.Release, Stats: p.Stats,
	}
}
