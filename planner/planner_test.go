package planner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/rule/standard"
	"turmericgap/worker"
)

var start = time.Unix(1_800_000_000, 0)

func spec(class string, tasks int, millicores int64) *job.Submission {
	return &job.Submission{
		Key: class, Team: "desk", Class: class, Kind: job.Batch, Tasks: tasks, Repeatable: true,
		Each: job.Resources{Millicores: millicores, MemoryMB: 1000},
	}
}

func TestStartsWhatFits(t *testing.T) {
	is := is.New(t)
	p := New(Rules(standard.List()))
	p.SetWorker(start, worker.Info{ID: "w1", Zone: "z", Rack: "r", Has: job.Resources{Millicores: 4000, MemoryMB: 8000}}, true, false)
	is.Equal(p.Admit(start, &Job{ID: "big", Spec: spec("roster", 1, 5000)}).Refused != "", true)
	d := p.Add(start, &Job{ID: "a", Spec: spec("roster", 3, 2000), Accepted: start})
	is.Equal(d.Rule, "rosters")
	plan := p.Next(start.Add(time.Second), 10)
	is.Equal(len(plan.Starts), 2)
	is.Equal(plan.Starts[0], Start{Job: "a", Task: 0, Worker: "w1", Waited: time.Second, Rule: "rosters"})
	p.Release(start, "a", 0, End{OK: true})
	is.Equal(len(p.Next(start, 10).Starts), 1)
}
