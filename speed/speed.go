package speed

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxKinds bounds the kinds of tasks that are remembered, to about 20 MB. One in evictedShare of them is evicted at a
	// time: a scan of all kinds for each new one would take more of the owner's CPU than the rest of an end.
	maxKinds     = 10000
	evictedShare = 8
	// withinStepVariance is the variance of the logarithm of the run time among tasks of one step: they do the same work
	// on unlike inputs.
	withinStepVariance = 0.06
	// minSamples is how many runs of a worker must be known for it to count in Spread, Factors and Snapshot.
	minSamples = 5
)

// Stats learns the factors of workers and the run times of kinds of tasks. A factor is how many times longer tasks run on
// a worker than on a typical one.
type Stats struct {
	workers map[string]*estimate
	kinds   map[string]*durations
	// sum is the sum of the logarithms of all factors. It is kept up to date, as computing it for each end would take a
	// pass over all workers.
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

// comparable returns the sum and number of the runs with which a run on a worker is compared: none while all were on that
// worker.
func (s *Step) comparable(worker string) (sum float64, runs int) {
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
	sum, runs := step.comparable(worker)
	weight := 1/baseVar + float64(runs)/withinStepVariance
	base = (base/baseVar + sum/withinStepVariance) / weight
	e := s.workers[worker]
	if e == nil {
		e = newEstimate(now)
		s.workers[worker] = e
	}
	s.sum -= e.mean
	e.observe(logRan-base, 1/weight+withinStepVariance, now)
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

// Expect returns how long a task of a kind with a caller's estimate will probably run on a typical worker. Without an
// estimate it is the median of the kind.
func (s *Stats) Expect(kind string, estimate time.Duration) time.Duration {
	d := s.kinds[kind]
	if d == nil || len(d.recent) < minRuns {
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
			s.evictKinds()
		}
		d = &durations{at: now}
		s.kinds[kind] = d
	}
	return d
}

// evictKinds drops the kinds whose last runs are the oldest.
func (s *Stats) evictKinds() {
	names := s.kindsByAge()
	for _, name := range names[len(names)-len(names)/evictedShare:] {
		delete(s.kinds, name)
	}
}

// kindsByAge returns the names of all kinds, those that were observed last first.
func (s *Stats) kindsByAge() []string {
	names := slices.Collect(maps.Keys(s.kinds))
	slices.SortFunc(names, func(a, b string) int { return s.kinds[b].at.Compare(s.kinds[a].at) })
	return names
}

// Retain drops all workers but those that keep accepts.
func (s *Stats) Retain(keep func(worker string) bool) {
	for id := range s.workers {
		if !keep(id) {
			s.Forget(id)
		}
	}
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

// levelsPerE is the number of levels of slowness in which a factor grows by e.
const levelsPerE = 4

// Slowness returns the factor of a worker as a level: each is about a quarter slower than the one below, 0 is typical, and
// faster workers are below 0. Workers whose estimates do not differ clearly share a level.
func (s *Stats) Slowness(worker string) int { return int(math.Round(levelsPerE * s.logFactor(worker))) }

// FactorOf returns the factor of a level of slowness.
func FactorOf(slowness int) float64 { return math.Exp(float64(slowness) / levelsPerE) }

// MaxSlowness is a level above that of any worker.
const MaxSlowness = 100

// SlownessOf returns the highest level of slowness whose factor is not above a factor, within MaxSlowness of 0.
func SlownessOf(factor float64) int {
	return int(max(min(math.Floor(levelsPerE*math.Log(factor)), MaxSlowness), -MaxSlowness))
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
