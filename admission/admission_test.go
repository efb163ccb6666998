package admission

import (
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"turmericgap/job"
)

// Guards against accepting work that no worker can ever run. Work that only has to wait for free capacity must
// be accepted.
func TestInfeasibleReason(t *testing.T) {
	capacity := job.Resources{Millicores: 16000, MemoryMB: 64000}
	workers := []Worker{
		{Pool: "desk", Labels: []string{"a", "r1"}, Capacity: capacity},
		{Pool: "desk", Labels: []string{"b", "r2"}, Capacity: capacity},
		{Pool: "other", Labels: []string{"gpu", "r3"}, Capacity: job.Resources{Millicores: 64000, MemoryMB: 64000, Accelerators: 4}},
	}
	resources := func(cores int64) job.Resources { return job.Resources{Millicores: cores * 1000, MemoryMB: 100} }
	for name, c := range map[string]struct {
		pool string
		step job.Step
		want string
	}{
		"fits":                            {"desk", job.Step{Tasks: 100, TaskResources: resources(16)}, ""},
		"label exists":                    {"desk", job.Step{Tasks: 1, TaskResources: resources(1), Label: "b"}, ""},
		"label does not exist":            {"desk", job.Step{Tasks: 1, TaskResources: resources(1), Label: "z"}, `label "z"`},
		"label is in another pool":        {"desk", job.Step{Tasks: 1, TaskResources: resources(1), Label: "gpu"}, `label "gpu"`},
		"too large":                       {"desk", job.Step{Tasks: 1, TaskResources: resources(17)}, "large enough"},
		"needs accelerators":              {"desk", job.Step{Tasks: 1, TaskResources: job.Resources{Accelerators: 1}}, "large enough"},
		"gang just fits":                  {"desk", job.Step{Tasks: 4, TaskResources: resources(8), Gang: true}, ""},
		"gang is too large":               {"desk", job.Step{Tasks: 5, TaskResources: resources(8), Gang: true}, "4 of its 5"},
		"gang with one task per worker":   {"desk", job.Step{Tasks: 4, TaskResources: resources(1), Gang: true, MaxPerWorker: 1}, "2 of its 4"},
		"one task per worker at a time":   {"desk", job.Step{Tasks: 4, TaskResources: resources(1), MaxPerWorker: 1}, ""},
		"best effort needs no processors": {"desk", job.Step{Tasks: 1, TaskResources: resources(100), BestEffort: true}, ""},
		"pool without workers":            {"new", job.Step{Tasks: 1, TaskResources: resources(1), Label: "z"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reason := InfeasibleReason(c.pool, []job.Step{{Tasks: 1}, c.step}, slices.Values(workers))
			is.Equal(reason == "", c.want == "")
			is.True(strings.Contains(reason, c.want))
			is.Equal(reason != "", strings.HasPrefix(reason, "step 1: "))
		})
	}
}
