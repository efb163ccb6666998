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

// Guards against a soak test that misses violations: each case plants one that callers and workers can see, and
// expects its finding.
func TestReportFindsPlantedViolations(t *testing.T) {
	cases := []struct {
		name    string
		inject  func(c *call)
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
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := &Cell{opts: &Options{Context: t.Context()}, works: make(map[string]*job.Work), queues: queues()}
			c.cluster = floor.New(c.behave)
			w := &job.Work{ID: "a", Queue: c.queues[0], Steps: []job.Step{{Tasks: 1}}}
			c.works[w.ID] = w
			if test.started {
				info := worker.Info{ID: "w1"}
				c.cluster.Add(info)
				_, err := c.cluster.Client(info).Launch(t.Context(), &worker.Launch{Task: worker.Task{Work: w.ID}, Run: 1, Until: time.Minute})
				is.NoErr(err)
			}
			s := newCallers(c)
			submitted := &call{work: w}
			test.inject(submitted)
			s.calls = append(s.calls, submitted)
			if submitted.state == job.WorkCompleted {
				s.checkCompleted(submitted)
			}
			rep := &Report{}
			s.fillReport(rep)
			findings := strings.Join(rep.Findings, "; ")
			is.Equal(findings == "", test.want == "")
			is.True(strings.Contains(findings, test.want))
		})
	}
}
