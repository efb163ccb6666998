package speed

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"turmericgap/store"
)

// load runs steps of tasks of a kind on random workers. Their run times vary by step and by task, and one in thirty takes
// seven times as long.
type load struct {
	random  *rand.Rand
	stats   *Stats
	now     time.Time
	factors map[string]float64
}

func newLoad(seed uint64, factorOf func(i int) float64) *load {
	l := &load{random: rand.New(rand.NewPCG(seed, seed)), stats: New(), now: time.Unix(1000, 0), factors: make(map[string]float64)}
	for i := range 90 {
		l.factors[fmt.Sprint("w", i)] = factorOf(i)
	}
	return l
}

// run runs steps; workerOf chooses the worker of a task from the estimate of its step.
func (l *load) run(steps int, workerOf func(estimate time.Duration) string) {
	for range steps {
		l.now = l.now.Add(20 * time.Millisecond)
		length := 2 * math.Exp(0.5*l.random.NormFloat64())
		estimate := time.Duration(length * math.Exp(0.3*l.random.NormFloat64()) * float64(time.Second))
		var step Step
		for range 1 + l.random.IntN(6) {
			ran := length * math.Exp(0.15*l.random.NormFloat64())
			if l.random.IntN(30) == 0 {
				ran *= 7
			}
			worker := workerOf(estimate)
			l.stats.Observe(worker, "lookups", &step, estimate, time.Duration(ran*l.factors[worker]*float64(time.Second)), l.now)
		}
	}
}

func (l *load) anyWorker(time.Duration) string { return fmt.Sprint("w", l.random.IntN(len(l.factors))) }

func thirds(i int) float64 { return []float64{0.6, 1, 1.6}[i%3] }

// Guards against factors that do not distinguish the thirds of a cell of unlike workers.
func TestThirdsAreDistinguished(t *testing.T) {
	is := is.New(t)
	l := newLoad(1, thirds)
	l.run(800, l.anyWorker)
	wrong := 0
	for id, factor := range l.factors {
		if ratio := l.stats.Factor(id) / factor; ratio < 0.75 || ratio > 1.33 {
			wrong++
		}
	}
	is.True(wrong <= 4) // of 90
	spread := l.stats.Spread(l.now)
	is.True(spread > 2.25 && spread < 3.2)
}

// Guards against equal workers that seem unlike, also if each runs tasks of another length by their estimates: the placement would then
// confirm what it has assumed.
func TestEqualWorkersStayEqual(t *testing.T) {
	is := is.New(t)
	l := newLoad(2, func(int) float64 { return 1 })
	l.run(3000, func(estimate time.Duration) string {
		if estimate > 2*time.Second {
			return fmt.Sprint("w", 45+l.random.IntN(45))
		}
		return fmt.Sprint("w", l.random.IntN(45))
	})
	is.True(l.stats.Spread(l.now) < 1.6)
}

// Guards against a worker that turns five times slower and is taken for fast, and against one that recovers and is never
// tried again.
func TestChangedWorker(t *testing.T) {
	is := is.New(t)
	l := newLoad(3, thirds)
	l.run(800, l.anyWorker)
	for _, c := range []struct {
		factor   float64
		min, max float64
	}{{5, 2.5, 8}, {1, 0.6, 1.6}} {
		l.factors["w1"] = c.factor
		l.run(6, func(time.Duration) string { return "w1" })
		got := l.stats.Factor("w1")
		is.True(got > c.min && got < c.max)
	}
}

// Guards against a single long task that makes its worker count as slow.
func TestTailDoesNotCount(t *testing.T) {
	is := is.New(t)
	l := newLoad(4, thirds)
	l.run(800, l.anyWorker)
	before := l.stats.Factor("w0")
	var step Step
	l.stats.Observe("w0", "lookups", &step, 2*time.Second, 9*time.Second, l.now)
	is.Equal(l.stats.Factor("w0"), before)
}

// Guards against a forecast that follows estimates which say nothing, and against one that ignores good ones.
func TestExpect(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(5, 5))
	errorOf := func(deviation float64) float64 {
		s, sum := New(), 0.0
		for i := range 600 {
			length := 2 * math.Exp(0.4*random.NormFloat64())
			estimate := time.Duration(length * math.Exp(deviation*random.NormFloat64()) * float64(time.Second))
			if i >= 300 {
				sum += math.Abs(math.Log(s.Expect("lookups", estimate).Seconds() / length))
			}
			s.ObserveGang("lookups", 1, estimate, time.Duration(length*float64(time.Second)), time.Unix(int64(i), 0))
		}
		return sum / 300
	}
	is.True(errorOf(0.1) < 0.15)
	is.True(errorOf(1.2) < 0.4) // the estimates alone are off by 0.96
}

// Guards against a new owner that knows less than the former one, or that trusts a damaged record.
func TestSnapshot(t *testing.T) {
	is := is.New(t)
	l := newLoad(6, thirds)
	l.run(800, l.anyWorker)
	raw, err := msgpack.Marshal(l.stats.Snapshot())
	is.NoErr(err)
	is.True(len(raw) < 30*len(l.factors)+300)
	var snapshot Snapshot
	is.NoErr(msgpack.Unmarshal(raw, &snapshot))
	nan, huge := float32(math.NaN()), float32(1e30)
	snapshot.Workers = append(snapshot.Workers, Worker{ID: "damaged", Mean: nan}, Worker{ID: "wide", Variance: nan}, Worker{ID: "huge", Mean: huge},
		snapshot.Workers[0])
	snapshot.Kinds = append(snapshot.Kinds, Kind{Name: "damaged", Runs: make([]float32, minRuns), ErrorMean: nan}, Kind{Name: "huge", Runs: make([]float32, minRuns), ErrorMean: huge},
		snapshot.Kinds[0])
	next := New()
	next.Restore(&snapshot, l.now)
	for id := range l.factors {
		is.True(math.Abs(next.Factor(id)/l.stats.Factor(id)-1) < 0.01)
	}
	for _, id := range []string{"damaged", "wide", "huge"} {
		is.Equal(next.workers[id], nil)
	}
	is.True(math.Abs(next.sum-next.sumOfFactors()) < 1e-6)
	is.Equal(len(next.kinds["lookups"].recent), snapshotRuns)
	is.Equal(len(next.kinds), 1)
	is.True(math.Abs(next.Expect("lookups", time.Second).Seconds()/l.stats.Expect("lookups", time.Second).Seconds()-1) < 0.1)
}

// sumOfFactors returns what sum should be.
func (s *Stats) sumOfFactors() (sum float64) {
	for _, e := range s.workers {
		sum += e.mean
	}
	return sum
}

// Guards against a new owner that lacks a worker because its speed has just changed, and that takes the estimates of a kind
// for exact because none of them was known.
func TestSnapshotOfUncertainValues(t *testing.T) {
	is := is.New(t)
	l := newLoad(7, thirds)
	l.run(800, l.anyWorker)
	l.factors["w1"] = 8
	for l.stats.workers["w1"].variance <= priorVariance {
		l.now = l.now.Add(time.Second)
		l.stats.Observe("w1", "unknown", &Step{}, 0, time.Duration(math.Exp(8*l.random.Float64())*float64(time.Second)), l.now)
	}
	for range 2 * minRuns {
		l.stats.ObserveGang("no estimates", 1, 0, 3*time.Second, l.now)
	}
	next := New()
	next.Restore(l.stats.Snapshot(), l.now)
	is.True(next.workers["w1"] != nil)
	is.True(next.Expect("no estimates", time.Minute) < 10*time.Second)
}

// Guards against a sum of the factors that drifts as workers come and go: all factors and run times would be off by it.
func TestSumFollowsLeavingWorkers(t *testing.T) {
	is := is.New(t)
	l := newLoad(8, thirds)
	for range 30 {
		l.run(50, l.anyWorker)
		l.stats.Forget(l.anyWorker(0))
		l.stats.Forget("never seen")
		is.True(math.Abs(l.stats.sum-l.stats.sumOfFactors()) < 1e-6)
	}
	l.stats.Retain(func(id string) bool { return id == "w1" })
	is.Equal(len(l.stats.workers), 1)
	is.Equal(l.stats.Factor("w0"), 1.0)
	is.True(math.Abs(l.stats.sum-l.stats.sumOfFactors()) < 1e-6)
}

// Guards against memory that grows with each new image, and against a scan of all kinds for each end.
func TestKindsAreBounded(t *testing.T) {
	is := is.New(t)
	s, at := New(), time.Unix(1000, 0)
	for i := range 2*maxKinds + 1 {
		at = at.Add(time.Millisecond)
		s.ObserveGang(fmt.Sprint("kind", i), 1, time.Second, time.Second, at)
		s.ObserveGang("kept", 1, time.Second, time.Second, at)
		is.True(len(s.kinds) <= maxKinds)
	}
	is.Equal(len(s.kinds["kept"].recent), recentRuns)
	is.True(len(s.kinds) >= maxKinds-maxKinds/evictedShare)
}

// Guards against a snapshot that is too large for the store, or that costs more than other writes, in the largest cells.
func TestSnapshotOfLargeCell(t *testing.T) {
	is := is.New(t)
	s, at := New(), time.Unix(1000, 0)
	for i := range 3000 {
		for range minSamples {
			s.Observe(fmt.Sprintf("worker-%029d", i), "kind", &Step{}, time.Second, time.Second, at)
		}
	}
	for i := range 2 * snapshotKinds {
		for range minRuns {
			s.ObserveGang(fmt.Sprintf("kind-%059d", i), 1, time.Second, time.Second, at)
		}
	}
	raw, err := msgpack.Marshal(s.Snapshot())
	is.NoErr(err)
	t.Log("bytes:", len(raw))
	is.True(len(raw) < store.MaxValueBytes/4)
	is.Equal(bytes.Count(raw, []byte("worker-")), 3000)
}

// Guards against tasks without an estimate that are taken for short although the run times of their kind are known.
func TestExpectWithoutEstimate(t *testing.T) {
	is := is.New(t)
	s := New()
	is.Equal(s.Expect("batches", 0), time.Duration(0))
	for range minRuns {
		s.ObserveGang("batches", 1, 0, 3*time.Second, time.Unix(1000, 0))
	}
	is.True(math.Abs(s.Expect("batches", 0).Seconds()-3) < 0.1)
}
