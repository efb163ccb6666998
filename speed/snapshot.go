package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// snapshotKinds bounds the kinds of tasks in a snapshot, snapshotRuns the run times of each of them.
	snapshotKinds = 100
	snapshotRuns  = 32
)

// Snapshot is what a new owner of the cell needs of a Stats: about 24 bytes a worker and 200 a kind when encoded.
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
	names := make([]string, 0, len(s.kinds))
	for name := range s.kinds {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return s.kinds[b].at.Compare(s.kinds[a].at) })
	for _, name := range names[:min(len(names), snapshotKinds)] {
		d := s.kinds[name]
		if len(d.recent) < minRuns {
			continue
		}
		d.refresh()
		k := Kind{Name: name, ErrorMean: float32(d.errorMean), ErrorVariance: float32(d.errorVariance)}
		for i := range snapshotRuns {
			k.Runs = append(k.Runs, float32(d.quantile((float64(i)+0.5)/snapshotRuns)))
		}
		out.Kinds = append(out.Kinds, k)
	}
	return out
}

// Restore takes over a snapshot into a Stats without observations. Values that are not numbers are left out.
func (s *Stats) Restore(from *Snapshot, now time.Time) {
	for _, w := range from.Workers {
		if isFinite(w.Mean) && w.Variance >= 0 && w.Variance <= priorVariance {
			e := newEstimate(now)
			e.mean, e.variance, e.samples = float64(w.Mean), float64(w.Variance), minSamples
			s.sum += e.mean
			s.workers[w.ID] = e
		}
	}
	for _, k := range from.Kinds {
		if len(s.kinds) >= snapshotKinds || len(k.Runs) < minRuns || !isFinite(k.ErrorMean) || !(k.ErrorVariance >= 0) || !isFinite(k.ErrorVariance) ||
			slices.ContainsFunc(k.Runs, func(v float32) bool { return !isFinite(v) }) {
			continue
		}
		d := s.kindOf(k.Name, now)
		for _, v := range k.Runs[:min(len(k.Runs), recentRuns)] {
			d.add(float64(v), now)
		}
		d.errorMean, d.errorVariance, d.errors = float64(k.ErrorMean), float64(k.ErrorVariance), len(k.Runs)
	}
}

func isFinite(v float32) bool { return !math.IsNaN(float64(v)) && !math.IsInf(float64(v), 0) }
