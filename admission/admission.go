package admission

import (
	"fmt"
	"iter"
	"slices"

	"turmericgap/job"
)

// Worker is what a worker offers.
type Worker struct {
	Pool     string
	Labels   []string
	Capacity job.Resources
}

// InfeasibleReason tells why a work's steps can never start on the workers of its pool, each of them empty; an empty
// reason means that they can. A pool without workers says nothing, since its workers may be about to come.
//
// The load that it answers is work that asks for a label that no worker has, or for more than the largest one
// holds. Accepted, it would wait for ever, and its caller with it; told at once, the caller can ask for what
// there is. Only what is certain counts: a step that fits an empty worker is admitted however full it is now.
func InfeasibleReason(pool string, steps []job.Step, workers iter.Seq[Worker]) string {
	places := make([]int, len(steps))
	known := false
	for w := range workers {
		if w.Pool != pool {
			continue
		}
		known = true
		for i := range steps {
			places[i] += placesOn(&steps[i], &w)
		}
	}
	if !known {
		return ""
	}
	for i := range steps {
		if reason := short(&steps[i], places[i]); reason != "" {
			return fmt.Sprintf("step %d: %s", i, reason)
		}
	}
	return ""
}

// placesOn counts the tasks of a step that an empty worker holds, as far as the step needs.
func placesOn(s *job.Step, w *Worker) int {
	if s.Label != "" && !slices.Contains(w.Labels, s.Label) {
		return 0
	}
	need := s.Each
	if s.Filler {
		need.Millicores = 0
	}
	most := s.Tasks
	if s.MostPerWorker > 0 {
		most = min(most, s.MostPerWorker)
	}
	n := 0
	for n < most && need.Times(n+1).Fits(w.Capacity) {
		n++
	}
	return n
}

// short tells why so many places are too few. The tasks of a gang need theirs at the same time, others one after
// the other.
func short(s *job.Step, places int) string {
	switch {
	case places == 0 && s.Label != "":
		return fmt.Sprintf("no worker that has the label %q is large enough", s.Label)
	case places == 0:
		return "no worker is large enough"
	case s.Gang && places < s.Tasks:
		return fmt.Sprintf("all workers together hold %d of its %d tasks, which only run together", places, s.Tasks)
	}
	return ""
}
