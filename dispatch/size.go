package dispatch

import "turmericgap/job"

const (
	// acceleratorCores is how many cores an accelerator counts as in the size of a work.
	acceleratorCores = 8
	// sizeWeight is the weight of the newest work in the mean size of its queue's works.
	sizeWeight = 0.05
	// patienceLeast and patienceMost bound how many objectives after it is due a work's turn comes.
	patienceLeast = 0.1
	patienceMost  = 2
)

// sizes learns how large the works of each queue are.
type sizes map[string]float64

// size is what a work takes, in core-seconds by its caller's estimates.
func size(w *job.Work) float64 {
	sum := 0.0
	for i := range w.Steps {
		s := &w.Steps[i]
		cores := float64(s.Each.Millicores)/1000 + acceleratorCores*float64(s.Each.Accelerators)
		sum += cores * float64(s.Tasks) * s.Estimate.Seconds()
	}
	return sum
}

// note takes in a work that was accepted.
func (z sizes) note(e *entry) {
	name := e.work.Queue.Name
	mean, known := z[name]
	if !known {
		z[name] = e.size
		return
	}
	z[name] = mean + sizeWeight*(e.size-mean)
}

// patience is how long a work may wait for its turn, in objectives: less for one that is small beside the
// others of its queue. When there is more work than room most callers are served if the small works go
// first; a large one's turn comes all the same once it has waited.
func (z sizes) patience(e *entry) float64 {
	mean := z[e.work.Queue.Name]
	if mean <= 0 {
		return 1
	}
	return min(max(e.size/mean, patienceLeast), patienceMost)
}
