package learn

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"turmericgap/job"
)

// Limits of what is recorded.
const (
	DefaultMaxClasses = 512
	// Window is the number of recent tasks per class that count, so that estimates follow changes.
	Window = 64
	// minSamples is the number of tasks from which an estimate replaces the declared values.
	minSamples = 5
	permille   = 1000
)

// Assumptions for a class with fewer than minSamples tasks.
const (
	DefaultRunTime = 10 * time.Minute
	// declaredFactor is the assumed ratio of the 0.9 quantile to the declared run time.
	declaredFactor = 2
)

// Key identifies a class of jobs. Classes belong to a team.
type Key struct{ Team, Class string }

// Estimate is the expected run time and usage of a task of a class.
type Estimate struct {
	// Median and P90 are the quantiles 0.5 and 0.9 of run times.
	Median time.Duration
	P90    time.Duration
	// CorePermille and MemoryPermille are the quantile 0.95 of peak usage, in thousandths of the declared resources;
	// zero if unknown.
	CorePermille   int64
	MemoryPermille int64
	// Learned is set if the estimate is based on recorded tasks, not on the declared run time.
	Learned bool
}

// Learner records a limited number of classes and evicts the least recently observed one.
type Learner struct {
	maxClasses int
	classes    map[Key]*list.Element
	lru        *list.List
}

type history struct {
	key      Key
	count    int
	runTimes [Window]time.Duration
	cores    [Window]int64
	memory   [Window]int64
	estimate Estimate
}

// New returns a Learner that records at most maxClasses classes.
func New(maxClasses int) *Learner {
	return &Learner{maxClasses: maxClasses, classes: map[Key]*list.Element{}, lru: list.New()}
}

// Observe records a task that delivered its result. Its peak usage is stored relative to the declared resources, since
// jobs of a class differ in size. A zero peak means that usage is unknown.
func (l *Learner) Observe(k Key, ran time.Duration, declared, peak job.Resources) {
	element, ok := l.classes[k]
	if !ok {
		if l.lru.Len() >= l.maxClasses {
			l.evict(l.lru.Back())
		}
		element = l.lru.PushFront(&history{key: k})
		l.classes[k] = element
	}
	l.lru.MoveToFront(element)
	h, _ := element.Value.(*history)
	at := h.count % Window
	h.runTimes[at] = ran
	h.cores[at] = peak.Millicores * permille / max(declared.Millicores, 1)
	h.memory[at] = peak.MemoryMB * permille / max(declared.MemoryMB, 1)
	h.count++
	h.updateEstimate()
}

func (l *Learner) evict(at *list.Element) {
	h, _ := at.Value.(*history)
	delete(l.classes, h.key)
	l.lru.Remove(at)
}

// Classes returns the number of recorded classes.
func (l *Learner) Classes() int { return l.lru.Len() }

// Estimate returns the estimate for a task with the given declared run time, zero if none was declared.
func (l *Learner) Estimate(k Key, declared time.Duration) Estimate {
	if at, ok := l.classes[k]; ok {
		if h, _ := at.Value.(*history); h.estimate.Learned {
			return h.estimate
		}
	}
	if declared == 0 {
		declared = DefaultRunTime
	}
	return Estimate{Median: declared, P90: declaredFactor * declared}
}

func (h *history) updateEstimate() {
	if h.count < minSamples {
		return
	}
	n := min(h.count, Window)
	ran, cores, memory := sortedCopy(h.runTimes, n), sortedCopy(h.cores, n), sortedCopy(h.memory, n)
	h.estimate = Estimate{
		Median: ran[quantileIndex(n, 50)], P90: ran[quantileIndex(n, 90)], Learned: true,
		CorePermille: cores[quantileIndex(n, 95)], MemoryPermille: memory[quantileIndex(n, 95)],
	}
}

// sortedCopy returns a copy of values with the first n sorted.
func sortedCopy[T cmp.Ordered](values [Window]T, n int) [Window]T {
	slices.Sort(values[:n])
	return values
}

func quantileIndex(n, percent int) int { return min(n-1, n*percent/100) }

// Charge returns the resources to allocate for a task: the declared ones, or the learned peak if it is larger. A
// learned peak is capped at capacity, and the result is never less than declared, so that workers are not
// overcommitted.
func (e *Estimate) Charge(declared, capacity job.Resources) job.Resources {
	return job.Resources{
		Millicores:   chargeOne(declared.Millicores, e.CorePermille, capacity.Millicores),
		MemoryMB:     chargeOne(declared.MemoryMB, e.MemoryPermille, capacity.MemoryMB),
		Accelerators: declared.Accelerators,
	}
}

func chargeOne(declared, usedPermille, capacity int64) int64 {
	return max(declared, min(capacity, declared*usedPermille/permille))
}
