package admission

import (
	"fmt"
	"iter"
	"slices"

	"turmericgap/job"
)

// Worker describes the capacity of one worker.
type Worker struct {
	Pool     string
	Labels   []string
	Capacity job.Resources
}

// InfeasibleReason returns why a work's steps could not start on the workers of its pool even if all of them were
// empty, or an empty string if they could. A pool without workers gives no reason, since its workers may be about
// to join.
//
// Work that asks for a label that no worker has, or for more than the largest worker holds, would wait forever if it
// were accepted, and so would its caller. If it is rejected at once, the caller can ask for what is available. Only
// certainty counts: a step that fits an empty worker is admitted, however full that worker is now.
func InfeasibleReason(pool string, steps []job.Step, workers iter.Seq[Worker]) string {
	fitting := make([]int, len(steps))
	known := false
	for w := range workers {
		if w.Pool != pool {
			continue
		}
		known = true
		for i := range steps {
			fitting[i] += countFitting(&steps[i], &w)
		}
	}
	if !known {
		return ""
	}
	for i := range steps {
		if reason := shortageReason(&steps[i], fitting[i]); reason != "" {
			return fmt.Sprintf("step %d: %s", i, reason)
		}
	}
	return ""
}

// countFitting returns how many tasks of a step fit on the empty worker, at most as many as the step can place there.
func countFitting(s *job.Step, w *Worker) int {
	if s.Label != "" && !slices.Contains(w.Labels, s.Label) {
		return 0
	}
	need := s.TaskResources
	if s.BestEffort {
		need.Millicores = 0
	}
	limit := s.Tasks
	if s.MaxPerWorker > 0 {
		limit = min(limit, s.MaxPerWorker)
	}
	n := 0
	for n < limit && need.Times(n+1).FitsIn(w.Capacity) {
		n++
	}
	return n
}

// shortageReason returns why the given number of places is too small. The tasks of a gang need all places at the same
// time; others can run one after the other.
func shortageReason(s *job.Step, places int) string {
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
