package dispatch

import (
	"time"

	"turmericgap/job"
)

// acceleratorCores is how many cores an accelerator counts as in the size of a work.
const acceleratorCores = 8

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

// judgeSize tells once whether a work was done before it was worth nothing.
func (t *term) judgeSize(e *entry, served bool) {
	if e.sizeJudged {
		return
	}
	e.sizeJudged = true
	t.sizes.Served(e.work.Queue.Name, e.size, served)
}

// judgeLost notes the works that are worth nothing any more.
func (t *term) judgeLost(now time.Time) {
	for _, e := range t.entries {
		if !e.sizeJudged && e.work.Occurrences == 0 && !e.state.Final() && now.After(e.work.Due(0).Add(lostAfter*e.objective)) {
			t.judgeSize(e, false)
		}
	}
}
