package straggler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// TailQuantile is the quantile of the run times of a kind of task from which a run is a straggler.
	TailQuantile = 0.95
	// copyShareDivisor is the inverse of the share of the cell's cores that may run copies.
	copyShareDivisor = 50
	// startTime is how long a copy takes to start: its intent becomes durable first.
	startTime = 300 * time.Millisecond
)

// Run is the only run of a task that may be copied: one whose step is speculative, that is no service, and not of a gang.
type Run struct {
	// Elapsed is how long the run has lasted.
	Elapsed time.Duration
	// Typical is the median and Tail the TailQuantile of the run times of its kind on a typical worker; zero if unknown.
	Typical, Tail time.Duration
	// Factor is how many times longer tasks take on its worker than on a typical one, CopyFactor that of the worker that a
	// copy would get.
	Factor, CopyFactor float64
	// Remaining is the least time that the run still takes by its progress. It is used if Progressed is true.
	Remaining  time.Duration
	Progressed bool
	Millicores int64
}

// Cell is the capacity of the cell, and what copies use of it.
type Cell struct{ Millicores, CopyMillicores int64 }

// Choose returns the indices of the runs to copy, the one that gains most first.
func Choose(c Cell, runs []Run) []int {
	var out []int
	for i := range runs {
		if runs[i].isStraggler() && runs[i].gain() > 0 {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(runs[b].gain(), runs[a].gain()) })
	left := c.Millicores/copyShareDivisor - c.CopyMillicores
	return slices.DeleteFunc(out, func(i int) bool {
		if runs[i].Millicores > left {
			return true
		}
		left -= runs[i].Millicores
		return false
	})
}

// isStraggler reports whether a run takes longer than nearly all of its kind would on its worker.
func (r *Run) isStraggler() bool {
	return r.Tail > 0 && r.Elapsed > scale(r.Tail, r.Factor)
}

// gain returns how much sooner a copy would end, by its median run time. Without progress, a run that has lasted for longer
// than nearly all others is taken to last for as long again, as the run times of stragglers spread over several times the
// median.
func (r *Run) gain() time.Duration {
	remaining := r.Elapsed
	if r.Progressed {
		remaining = r.Remaining
	}
	return remaining - startTime - scale(r.Typical, r.CopyFactor)
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }
