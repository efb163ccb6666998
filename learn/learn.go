package learn

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"turmericgap/job"
)

// Bounds of what is remembered.
const (
	DefaultMaxClasses = 512
	// Window is how many recent tasks of a class count, so that old habits are forgotten.
	Window = 64
	// few is how many tasks must have been seen before they outweigh what was declared.
	few      = 5
	permille = 1000
)

// What is assumed of a class of which few tasks were seen.
const (
	DefaultRunTime = 10 * time.Minute
	// declaredFactor is how far a declared run time is trusted.
	declaredFactor = 2
)

// Key names a class of jobs; classes of different teams are different.
type Key struct{ Team, Class string }

// Estimate is what to expect of a task of a class.
type Estimate struct {
	// Median and High are the quantiles 0.5 and 0.9 of run times.
	Median time.Duration
	P90    time.Duration
	// CorePermille and MemoryPermille are the quantile 0.95 of peak usage, in thousandths of what
	// was declared; zero if unknown.
	CorePermille   int64
	MemoryPermille int64
	// Learned says that enough tasks were seen; otherwise the declared run time counts.
	Learned bool
}

// Learner holds a bounded number of classes and drops the one that was least recently observed.
type Learner struct {
	most    int
	classes map[Key]*list.Element
	recent  *list.List
}

type history struct {
	key      Key
	seen     int
	ran      [Window]time.Duration
	cores    [Window]int64
	memory   [Window]int64
	estimate Estimate
}

// New makes a learner of at most most classes.
func New(most int) *Learner {
	return &Learner{most: most, classes: map[Key]*list.Element{}, recent: list.New()}
}

// Observe notes a task that gave its answer. Its peak counts against what was declared, since jobs
// of a class have different sizes; a zero peak means that usage is unknown.
func (l *Learner) Observe(k Key, ran time.Duration, declared, peak job.Resources) {
	element, ok := l.classes[k]
	if !ok {
		if l.recent.Len() >= l.most {
			l.drop(l.recent.Back())
		}
		element = l.recent.PushFront(&history{key: k})
		l.classes[k] = element
	}
	l.recent.MoveToFront(element)
	h, _ := element.Value.(*history)
	at := h.seen % Window
	h.ran[at] = ran
	h.cores[at] = peak.Millicores * permille / max(declared.Millicores, 1)
	h.memory[at] = peak.MemoryMB * permille / max(declared.MemoryMB, 1)
	h.seen++
	h.update()
}

func (l *Learner) drop(at *list.Element) {
	h, _ := at.Value.(*history)
	delete(l.classes, h.key)
	l.recent.Remove(at)
}

// Classes is how many classes are held.
func (l *Learner) Classes() int { return l.recent.Len() }

// Estimate tells what to expect of a task whose declared run time is given; zero is not declared.
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

func (h *history) update() {
	if h.seen < few {
		return
	}
	n := min(h.seen, Window)
	ran, cores, memory := sorted(h.ran, n), sorted(h.cores, n), sorted(h.memory, n)
	h.estimate = Estimate{
		Median: ran[quantile(n, 50)], P90: ran[quantile(n, 90)], Learned: true,
		CorePermille: cores[quantile(n, 95)], MemoryPermille: memory[quantile(n, 95)],
	}
}

// sorted orders the first n values of a copy.
func sorted[T cmp.Ordered](values [Window]T, n int) [Window]T {
	slices.Sort(values[:n])
	return values
}

func quantile(n, percent int) int { return min(n-1, n*percent/100) }

// Charge is what a task should hold: what was declared, or the learned peak where that is more. It
// is never more than the worker has, and never less than declared, so nothing is overcommitted.
func (e *Estimate) Charge(declared, has job.Resources) job.Resources {
	return job.Resources{
		Millicores:   charge(declared.Millicores, e.CorePermille, has.Millicores),
		MemoryMB:     charge(declared.MemoryMB, e.MemoryPermille, has.MemoryMB),
		Accelerators: declared.Accelerators,
	}
}

func charge(declared, usedPermille, has int64) int64 {
	return max(declared, min(has, declared*usedPermille/permille))
}
