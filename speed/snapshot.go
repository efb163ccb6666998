package speed

import (
	"slices"
	"time"
)

const (
	// snapshotKinds bounds the kinds of tasks in a snapshot, snapshotRuns the run times of each of them.
	snapshotKinds = 100
	snapshotRuns  = 32
)

// Snapshot is what a new owner of the cell needs of a Stats: about 13 bytes a worker and 180 a kind when encoded, and
// their names.
type Snapshot struct {
	Workers []Worker `msgpack:"w"`
	// Kinds holds the kinds that were observed last.
	Kinds []Kind `msgpack:"k"`
}

// Worker is the factor of a worker, as a logarithm with its variance.
type Worker struct {
	_msgpack       struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	ID             string
	Mean, Variance float32
}

// Kind is what is known of a kind of task, as logarithms.
type Kind struct {
	_msgpack                 struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Name                     string
	Runs                     []float32
	ErrorMean, ErrorVariance float32
}

// Snapshot returns the present state.
func (s *Stats) Snapshot() *Snapshot {
	out := &Snapshot{}
	for id, e := range s.workers {
		if e.samples >= minSamples {
			out.Workers = append(out.Workers, Worker{ID: id, Mean: float32(e.mean), Variance: float32(e.variance)})
		}
	}
	names := s.kindsByAge()
	for _, name := range names[:min(len(names), snapshotKinds)] {
		d := s.kinds[name]
		if len(d.recent) < minRuns {
			continue
		}
		d.refresh()
		k := Kind{Name: name, ErrorVariance: baseVariance} // while too few estimates are known
		if d.errors >= minRuns {
			k.ErrorMean, k.ErrorVariance = float32(d.errorMean), float32(d.errorVariance)
		}
		for i := range snapshotRuns {
			k.Runs = append(k.Runs, float32(d.quantile((float64(i)+0.5)/snapshotRuns)))
		}
		out.Kinds = append(out.Kinds, k)
	}
	return out
}

// maxLog bounds the logarithms that Restore accepts, to factors and run times that a duration can hold.
const maxLog = 20

// Restore takes over a snapshot into a Stats without observations. Values that cannot come from Snapshot are left out.
func (s *Stats) Restore(from *Snapshot, now time.Time) {
	for _, w := range from.Workers {
		if isLog(w.Mean) && isVariance(w.Variance) && s.workers[w.ID] == nil {
			e := newEstimate(now)
			e.mean, e.variance, e.samples = float64(w.Mean), min(float64(w.Variance), priorVariance), minSamples
			s.sum += e.mean
			s.workers[w.ID] = e
		}
	}
	for _, k := range from.Kinds {
		if len(s.kinds) >= snapshotKinds || s.kinds[k.Name] != nil || !k.isValid() {
			continue
		}
		d := s.kindOf(k.Name, now)
		for _, v := range k.Runs[:min(len(k.Runs), recentRuns)] {
			d.add(float64(v), now)
		}
		d.errorMean, d.errorVariance, d.errors = float64(k.ErrorMean), float64(k.ErrorVariance), len(k.Runs)
	}
}

func (k *Kind) isValid() bool {
	return len(k.Runs) >= minRuns && isLog(k.ErrorMean) && isVariance(k.ErrorVariance) &&
		!slices.ContainsFunc(k.Runs, func(v float32) bool { return !isLog(v) })
}

// isLog reports whether a value may be a logarithm; NaN is none.
func isLog(v float32) bool { return v >= -maxLog && v <= maxLog }

// isVariance reports whether a value may be a variance; NaN is none.
func isVariance(v float32) bool { return v >= 0 && v <= maxLog*maxLog }
