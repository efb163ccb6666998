package speed

import (
	"math"
	"time"
)

const (
	// priorVariance is the variance of the logarithm of a worker's factor before any of its runs is known: most workers
	// of a cell are within a factor of two of the typical one.
	priorVariance = 0.25
	// driftPerSecond is how much the variance grows with time, so that recent runs count for more than old ones: after a
	// minute without runs the next one counts as much as the first. Until then the worker keeps its factor.
	driftPerSecond = 0.004
	// outlierDeviations is the number of standard deviations from which an observation counts as an outlier.
	outlierDeviations = 3
)

// estimate is what is known of the logarithm of a worker's factor: the state of a one-dimensional Kalman filter.
type estimate struct {
	mean, variance float64
	at             time.Time
	// outlier is the direction of the last observation if that was an outlier, 0 otherwise.
	outlier float64
	// samples counts the observations.
	samples int
}

func newEstimate(now time.Time) *estimate { return &estimate{variance: priorVariance, at: now} }

// observe updates the estimate with an observed logarithm of the factor. A single outlier is ignored, since a few tasks
// take many times as long as others whatever the worker. Two in a row in the same direction show that the worker has
// changed, and replace what was known.
func (e *estimate) observe(logFactor, variance float64, now time.Time) {
	e.variance = min(e.variance+driftPerSecond*max(now.Sub(e.at).Seconds(), 0), priorVariance)
	e.at = now
	e.samples++
	residual := logFactor - e.mean
	if math.Abs(residual) > outlierDeviations*math.Sqrt(e.variance+variance) {
		direction := math.Copysign(1, residual)
		if e.outlier != direction {
			e.outlier = direction
			return
		}
		e.variance = max(e.variance, residual*residual)
	}
	e.outlier = 0
	gain := e.variance / (e.variance + variance)
	e.mean += gain * residual
	e.variance *= 1 - gain
}
