package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// recentRuns is how many recent run times of a kind of task are kept, minRuns how many are needed for quantiles.
	recentRuns = 128
	minRuns    = 20
	// baseVariance is the variance of the logarithm of a task's run time within its kind while too few runs are known.
	baseVariance = 0.5
	// minBaseVariance bounds the variance of kinds whose runs are all alike.
	minBaseVariance = 0.02
)

// durations holds recent run times of a kind of task at factor 1, as logarithms of seconds.
type durations struct {
	recent []float64
	next   int
	// mean and variance of the recent values, sorted holds them in order.
	mean, variance float64
	sorted         []float64
	// added counts the values since the statistics were computed.
	added int
	// errorMean and errorVariance describe the logarithm of the run time over the caller's estimate.
	errorMean, errorVariance float64
	errors                   int
	at                       time.Time
}

// record adds a run time at factor 1, in logarithms of seconds, and the error of its estimate.
func (d *durations) record(logSeconds float64, estimate time.Duration, now time.Time) {
	if estimate > 0 {
		d.addError(logSeconds - math.Log(estimate.Seconds()))
	}
	d.add(logSeconds, now)
}

func (d *durations) add(logSeconds float64, now time.Time) {
	if len(d.recent) < recentRuns {
		d.recent = append(d.recent, logSeconds)
	} else {
		d.recent[d.next] = logSeconds
		d.next = (d.next + 1) % recentRuns
	}
	d.added++
	d.at = now
}

// refreshAfter is the number of new values after which the statistics are recomputed, once minRuns are known.
const refreshAfter = 8

// refresh recomputes the statistics. The mean and variance come from the quartiles, so that the tail does not count.
func (d *durations) refresh() {
	if d.added == 0 || d.added < refreshAfter && len(d.recent) >= minRuns {
		return
	}
	d.added = 0
	d.sorted = append(d.sorted[:0], d.recent...)
	slices.Sort(d.sorted)
	const quartileSpan = 1.349 // of a normal distribution, in standard deviations
	deviation := (d.quantile(0.75) - d.quantile(0.25)) / quartileSpan
	d.mean, d.variance = d.quantile(0.5), max(deviation*deviation, minBaseVariance)
	if len(d.recent) < minRuns {
		d.variance = baseVariance
	}
}

func (d *durations) quantile(share float64) float64 {
	return d.sorted[int(math.Round(share*float64(len(d.sorted)-1)))]
}

// shift adds an offset to all values.
func (d *durations) shift(offset float64) {
	for i := range d.recent {
		d.recent[i] += offset
	}
	for i := range d.sorted {
		d.sorted[i] += offset
	}
	d.mean += offset
	d.errorMean += offset
}

// errorWeight is the weight of the newest run in the moments of the estimates' errors.
const errorWeight = 0.05

// addError records the logarithm of a run time at factor 1 over the caller's estimate.
func (d *durations) addError(logRatio float64) {
	weight := max(errorWeight, 1/float64(d.errors+1))
	d.errors++
	residual := logRatio - d.errorMean
	d.errorMean += weight * residual
	d.errorVariance += weight * ((1-weight)*residual*residual - d.errorVariance)
}

// expect combines a caller's estimate, less its usual error, with the usual run time, each by how well it predicts. It
// returns the logarithm of the run time and its variance.
func (d *durations) expect(estimate time.Duration) (mean, variance float64) {
	d.refresh()
	if estimate <= 0 || d.errors < minRuns {
		return d.mean, d.variance
	}
	byEstimate := 1 / max(d.errorVariance, minBaseVariance)
	byKind := 1 / d.variance
	logRun := math.Log(estimate.Seconds()) + d.errorMean
	return (byEstimate*logRun + byKind*d.mean) / (byEstimate + byKind), 1 / (byEstimate + byKind)
}
