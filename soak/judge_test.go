package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/standin/floor"
	"turmericgap/worker"
)

// A soak without findings says something only if it would have found what is wrong. Each case plants one
// thing that callers and workers may see, and names the finding.
func TestJudgeFindsWhatIsPlanted(t *testing.T) {
	cases := []struct {
		name    string
		plant   func(c *call)
		started bool
		want    string
	}{
		{"completed too early", func(c *call) { c.accepted, c.state = true, job.WorkCompleted }, false, "shown as completed"},
		{"refused and run", func(c *call) { c.refused = true }, true, "was refused at every try and has run"},
		{"never ends", func(c *call) { c.accepted, c.state = true, job.WorkRunning }, true, `is shown as "running" in the end`},
		{"failed without cause", func(c *call) { c.accepted, c.state = true, job.WorkFailed }, true, `is shown as "failed" in the end`},
		{"lost", func(c *call) { c.accepted = true }, false, `is shown as "" in the end`},
		{"nothing", func(c *call) { c.refused = true }, false, ""},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			is := is.New(t)
			c := &Cell{o: &Options{Context: t.Context()}, works: make(map[string]*job.Work), queues: queues()}
			c.floor = floor.New(c.behave)
			w := &job.Work{ID: "a", Queue: c.queues[0], Steps: []job.Step{{Tasks: 1}}}
			c.works[w.ID] = w
			if one.started {
				info := worker.Info{ID: "w1"}
				c.floor.Add(info)
				_, err := c.floor.Client(info).Launch(t.Context(), &worker.Launch{Task: worker.Task{Work: w.ID}, Run: 1, Until: time.Minute})
				is.NoErr(err)
			}
			s := newCallers(c)
			asked := &call{work: w}
			one.plant(asked)
			s.calls = append(s.calls, asked)
			if asked.state == job.WorkCompleted {
				s.complete(asked)
			}
			rep := &Report{}
			s.judge(rep)
			found := strings.Join(rep.Findings, "; ")
			is.Equal(found == "", one.want == "")
			is.True(strings.Contains(found, one.want))
		})
	}
}
