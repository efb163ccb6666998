package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/aging"
	"turmericgap/job"
)

// Guards against classifying a gang as on time while its permit request and later steps no longer fit into its
// objective: it would be started first, end late, and delay newer work that could still be on time.
func TestLatenessCountsRemainingTime(t *testing.T) {
	gang := &job.Work{
		Queue: job.Queue{SlackFactor: 2, Objective: time.Second, Permit: &job.PermitCost{Base: 700 * time.Millisecond, PerWorker: 10 * time.Millisecond}},
		Steps: []job.Step{{Tasks: 4, Gang: true, Estimate: 2 * time.Second}, {Tasks: 4, Gang: true, Estimate: 3 * time.Second, DependsOn: []int{0}}},
	}
	single := &job.Work{Queue: job.Queue{SlackFactor: 2, Objective: time.Second}, Steps: []job.Step{{Tasks: 4, Estimate: 2 * time.Second}}}
	for name, c := range map[string]struct {
		work *job.Work
		step int
		age  time.Duration
		want lateness
	}{
		"gang with an objective of 15 s, 7 s needed":    {gang, 0, 7900 * time.Millisecond, latenessOnTime},
		"gang past its latest start":                    {gang, 0, 8100 * time.Millisecond, latenessLate},
		"second step, 4 s needed":                       {gang, 1, 10900 * time.Millisecond, latenessOnTime},
		"second step past its latest start":             {gang, 1, 11100 * time.Millisecond, latenessLate},
		"gang that expires after 45 s":                  {gang, 0, 38100 * time.Millisecond, latenessExpired},
		"task on time if it takes half of its estimate": {single, 0, 3900 * time.Millisecond, latenessOnTime},
		"task late even at half of its estimate":        {single, 0, 4100 * time.Millisecond, latenessLate},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			w := *c.work
			w.Accepted = now.Add(-c.age)
			s := newTestStage(&w).occurrence.stages[c.step]
			is.New(t).Equal((&term{sizes: aging.New()}).urgencyOf(s, now).lateness, c.want)
		})
	}
}
