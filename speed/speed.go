package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// maxKinds bounds the kinds of tasks that are remembered.
	maxKinds = 10000
	// mateVariance is the variance of the logarithm of the run time among tasks of one step: they do the same work on
	// unlike inputs.
	mateVariance = 0.06
	// minSamples is how many runs of a worker must be known for it to count in Spread.
	minSamples = 5
)

// Stats learns the factors of workers and the run times of kinds of tasks. A factor is how many times longer tasks run on
// a worker than on a typical one.
type Stats struct {
	workers map[string]*estimate
	kinds   map[string]*durations
	// sum is the sum of the logarithms of all factors.
	sum float64
	// spread caches Spread as of spreadAt.
	spread   float64
	spreadAt time.Time
}

// New returns a Stats without observations.
func New() *Stats {
	return &Stats{workers: make(map[string]*estimate), kinds: make(map[string]*durations), spread: 1}
}

// Step accumulates the run times of the tasks of one step. Tasks of a step do the same work, so the comparison of their
// run times tells more about their workers than that with other steps.
type Step struct {
	sum  float64 // of the logarithms of the run times at factor 1
	runs int
	// worker is the first worker of the step, mixed is true once there was another one.
	worker string
	mixed  bool
}

// mates returns the sum and number of the runs that tell something about a worker: none while all were on that worker.
func (s *Step) mates(worker string) (sum float64, runs int) {
	if !s.mixed && s.worker == worker {
		return 0, 0
	}
	return s.sum, s.runs
}

func (s *Step) add(worker string, logSeconds float64) {
	s.mixed = s.mixed || s.runs > 0 && s.worker != worker
	s.worker = worker
	s.sum += logSeconds
	s.runs++
}

// Observe records that a task of a kind, with a caller's estimate, has run on a worker for a time until it was done.
func (s *Stats) Observe(worker, kind string, step *Step, estimate, ran time.Duration, now time.Time) {
	if ran <= 0 {
		return
	}
	logRan := math.Log(ran.Seconds())
	d := s.kindOf(kind, now)
	base, baseVar := logRan, baseVariance
	if len(d.recent) > 0 {
		base, baseVar = d.expect(estimate)
	}
	sum, runs := step.mates(worker)
	weight := 1/baseVar + float64(runs)/mateVariance
	base = (base/baseVar + sum/mateVariance) / weight
	e := s.workers[worker]
	if e == nil {
		e = newEstimate(now)
		s.workers[worker] = e
	}
	s.sum -= e.mean
	e.observe(logRan-base, 1/weight+mateVariance, now)
	s.sum += e.mean
	s.recenter()
	atTypical := logRan - e.mean
	step.add(worker, atTypical)
	d.record(atTypical, estimate, now)
}

// ObserveGang records that the tasks of a gang have run together for a time until they were done, on workers of which the
// slowest has a factor.
func (s *Stats) ObserveGang(kind string, slowest float64, estimate, ran time.Duration, now time.Time) {
	if ran > 0 {
		s.kindOf(kind, now).record(math.Log(ran.Seconds()/slowest), estimate, now)
	}
}

// Expect returns how long a task of a kind with a caller's estimate will probably run on a typical worker.
func (s *Stats) Expect(kind string, estimate time.Duration) time.Duration {
	d := s.kinds[kind]
	if d == nil || len(d.recent) < minRuns || estimate <= 0 {
		return estimate
	}
	mean, _ := d.expect(estimate)
	return time.Duration(math.Exp(mean) * float64(time.Second))
}

// maxOffset is how far the mean logarithm of the factors may be from 0.
const maxOffset = 0.05

// recenter makes the mean logarithm of the factors 0. Run times alone do not tell whether all workers are slow or all
// tasks are long, so without it factors and run times would drift in opposite directions.
func (s *Stats) recenter() {
	offset := s.sum / float64(len(s.workers))
	if math.Abs(offset) < maxOffset {
		return
	}
	for _, e := range s.workers {
		e.mean -= offset
	}
	for _, d := range s.kinds {
		d.shift(offset)
	}
	s.sum = 0
}

func (s *Stats) kindOf(kind string, now time.Time) *durations {
	d := s.kinds[kind]
	if d == nil {
		if len(s.kinds) >= maxKinds {
			s.forgetOldestKind()
		}
		d = &durations{at: now}
		s.kinds[kind] = d
	}
	return d
}

func (s *Stats) forgetOldestKind() {
	oldest := ""
	for kind, d := range s.kinds {
		if oldest == "" || d.at.Before(s.kinds[oldest].at) {
			oldest = kind
		}
	}
	delete(s.kinds, oldest)
}

// Forget drops a worker that has left.
func (s *Stats) Forget(worker string) {
	s.sum -= s.logFactor(worker)
	delete(s.workers, worker)
}

// Factor returns how many times longer tasks run on a worker than on a typical one; 1 if nothing is known.
func (s *Stats) Factor(worker string) float64 { return math.Exp(s.logFactor(worker)) }

// Factors returns the factors of the workers of which enough runs are known.
func (s *Stats) Factors() map[string]float64 {
	out := make(map[string]float64, len(s.workers))
	for id, e := range s.workers {
		if e.samples >= minSamples {
			out[id] = math.Exp(e.mean)
		}
	}
	return out
}

func (s *Stats) logFactor(worker string) float64 {
	if e := s.workers[worker]; e != nil {
		return e.mean
	}
	return 0
}

// stepsPerE is the number of steps of slowness in which a factor grows by e.
const stepsPerE = 4

// Slowness returns the factor of a worker as a number of steps of about a quarter each: 0 is typical, and faster workers
// are below. Workers that differ by less than the estimates can tell apart share a step.
func (s *Stats) Slowness(worker string) int { return int(math.Round(stepsPerE * s.logFactor(worker))) }

// FactorOf returns the factor of a number of steps of slowness.
func FactorOf(slowness int) float64 { return math.Exp(float64(slowness) / stepsPerE) }

// MaxSlowness is more steps than any worker has.
const MaxSlowness = 100

// SlownessOf returns the number of whole steps of a factor, at most MaxSlowness either way.
func SlownessOf(factor float64) int {
	return int(max(min(math.Floor(stepsPerE*math.Log(factor)), MaxSlowness), -MaxSlowness))
}

// Typical returns the median run time of a kind of task on a typical worker; ok is false while too few runs are known.
func (s *Stats) Typical(kind string) (median time.Duration, ok bool) { return s.Quantile(kind, 0.5) }

// Quantile returns a quantile of the run times of a kind of task on a typical worker.
func (s *Stats) Quantile(kind string, share float64) (ran time.Duration, ok bool) {
	d := s.kinds[kind]
	if d == nil || len(d.recent) < minRuns {
		return 0, false
	}
	d.refresh()
	return time.Duration(math.Exp(d.quantile(share)) * float64(time.Second)), true
}

// spreadInterval is how long a computed spread is used.
const spreadInterval = time.Second

// Spread returns the factor at the 90 % quantile of the known workers over that at the 10 % quantile; 1 while too few
// workers are known.
func (s *Stats) Spread(now time.Time) float64 {
	if now.Sub(s.spreadAt) < spreadInterval {
		return s.spread
	}
	s.spreadAt, s.spread = now, 1
	known := make([]float64, 0, len(s.workers))
	for _, e := range s.workers {
		if e.samples >= minSamples {
			known = append(known, e.mean)
		}
	}
	if 2*len(known) < len(s.workers) || len(known) == 0 {
		return s.spread
	}
	slices.Sort(known)
	at := func(share float64) float64 { return known[int(share*float64(len(known)-1))] }
	s.spread = math.Exp(at(0.9) - at(0.1))
	return s.spread
}
