package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/aging"
	"turmericgap/job"
)

// A gang has its question to the policy service and its second step before it. Counted as able to be in time until
// half of its first step is left, it has its turn and ends late, and a newer one that could be in time waits.
func TestHopeCountsAllThatIsLeft(t *testing.T) {
	gang := &job.Work{
		Queue: job.Queue{SlackFactor: 2, TargetDuration: time.Second, Permit: &job.PermitCost{Base: 700 * time.Millisecond, PerWorker: 10 * time.Millisecond}},
		Steps: []job.Step{{Tasks: 4, Gang: true, Estimate: 2 * time.Second}, {Tasks: 4, Gang: true, Estimate: 3 * time.Second, DependsOn: []int{0}}},
	}
	single := &job.Work{Queue: job.Queue{SlackFactor: 2, TargetDuration: time.Second}, Steps: []job.Step{{Tasks: 4, Estimate: 2 * time.Second}}}
	for name, c := range map[string]struct {
		work *job.Work
		step int
		age  time.Duration
		want lateness
	}{
		"a gang, 15 s, of which 7 are needed":   {gang, 0, 7900 * time.Millisecond, latenessOnTime},
		"the gang is too old":                   {gang, 0, 8100 * time.Millisecond, latenessLate},
		"its second step needs 4 s":             {gang, 1, 10900 * time.Millisecond, latenessOnTime},
		"its second step is too old":            {gang, 1, 11100 * time.Millisecond, latenessLate},
		"nothing is left for it in 45 s":        {gang, 0, 38100 * time.Millisecond, latenessExpired},
		"a task may be half of its estimate":    {single, 0, 3900 * time.Millisecond, latenessOnTime},
		"a task that is too old for half of it": {single, 0, 4100 * time.Millisecond, latenessLate},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			w := *c.work
			w.Accepted = now.Add(-c.age)
			s := stageOf(&w).occurrence.stages[c.step]
			is.New(t).Equal((&term{sizes: aging.New()}).urgencyOf(s, now).lateness, c.want)
		})
	}
}
