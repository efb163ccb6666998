package aging

import (
	"slices"
)

const (
	// meanWeight is the weight of the newest work in the mean size of its queue's works.
	meanWeight = 0.05
	// minWaitFactor and maxWaitFactor bound how long a work may wait after it is due, as a multiple of its objective.
	minWaitFactor = 0.1
	maxWaitFactor = 2
	// sampleSize is how many recent works determine the size classes, minSamples how many are needed for that.
	sampleSize = 64
	minSamples = 20
	// largestShare is the fraction of the works that count as Largest, largeShare that of Large and Largest together.
	largestShare = 0.1
	largeShare   = 0.3
	// arrivalWeight is the weight of the newest work in the arrival share of its class: the arrival shares cover
	// about as many works as the size samples.
	arrivalWeight = 1.0 / sampleSize
	// minArrivalShare bounds how rare a class is assumed to be, so that one start of a rare class does not cost as
	// much as a hundred starts of the others.
	minArrivalShare = 0.02
)

// Class is a size class of works.
type Class int

const (
	// Usual is the smallest 70% of a queue's works.
	Usual Class = iota
	// Large is the 20% below Largest.
	Large
	// Largest is the largest 10%.
	Largest
	// NumClasses is the number of classes.
	NumClasses
)

// String returns the name of the class in logs.
func (c Class) String() string { return [NumClasses]string{"usual", "large", "largest"}[c] }

// SizeStats learns the work sizes of each queue, and divides the starts of works fairly between size classes.
type SizeStats struct {
	queues map[string]*queueStats
}

type queueStats struct {
	mean      float64
	recent    []float64
	nextIndex int
	// largeMin and largestMin are the smallest sizes of Large and Largest.
	largeMin, largestMin float64
	// arrivalShares is the fraction of arriving works in each class.
	arrivalShares [NumClasses]float64
	// virtualTimes holds the virtual time of each class; the class with the smallest one starts a work next.
	virtualTimes [NumClasses]float64
}

// New returns a SizeStats without observations.
func New() *SizeStats { return &SizeStats{queues: make(map[string]*queueStats)} }

// Observe records the size of an accepted work, in core-seconds.
func (s *SizeStats) Observe(name string, size float64) {
	q := s.queues[name]
	if q == nil {
		q = &queueStats{mean: size, arrivalShares: [NumClasses]float64{1 - largeShare, largeShare - largestShare, largestShare}}
		s.queues[name] = q
	}
	q.mean += meanWeight * (size - q.mean)
	if len(q.recent) < sampleSize {
		q.recent = append(q.recent, size)
	} else {
		q.recent[q.nextIndex] = size
		q.nextIndex = (q.nextIndex + 1) % sampleSize
	}
	q.updateBounds()
	c := q.classOf(size)
	for other := range q.arrivalShares {
		q.arrivalShares[other] -= arrivalWeight * q.arrivalShares[other]
	}
	q.arrivalShares[c] += arrivalWeight
}

// Class returns the class of a size among the recent works of its queue, or Usual while too few works are known.
func (s *SizeStats) Class(name string, size float64) Class {
	if q := s.queues[name]; q != nil {
		return q.classOf(size)
	}
	return Usual
}

// updateBounds recomputes the bounds between the classes.
func (q *queueStats) updateBounds() {
	sorted := slices.Sorted(slices.Values(q.recent))
	at := func(share float64) float64 { return sorted[int((1-share)*float64(len(sorted)-1))] }
	q.largeMin, q.largestMin = at(largeShare), at(largestShare)
}

func (q *queueStats) classOf(size float64) Class {
	switch {
	case len(q.recent) < minSamples || size < q.largeMin:
		return Usual
	case size < q.largestMin:
		return Large
	}
	return Largest
}

// WaitFactor returns how long a work may wait among the works of its class, as a multiple of its objective. Works that
// are small for their queue may wait least, since putting them first serves the most callers.
func (s *SizeStats) WaitFactor(name string, size float64) float64 {
	q := s.queues[name]
	if q == nil || q.mean <= 0 {
		return 1
	}
	return min(max(size/q.mean, minWaitFactor), maxWaitFactor)
}

// Order returns the order in which works of a queue start, as indices into waiting, which holds their classes in the
// order of WaitFactor.
//
// It protects against a lasting excess of work over capacity or permits. The order of WaitFactor alone would start only
// small works: large ones would be late before they came first, and hardly any of the Largest class would be served
// while most works overall are. Start-time fair queueing starts works of each class as often as they arrive. It needs
// only the works that wait now: no work has to be lost first, and a new owner orders them as well as the previous one.
func (s *SizeStats) Order(name string, waiting []Class) []int {
	q := s.queues[name]
	if q == nil {
		q = &queueStats{}
	}
	var byClass [NumClasses][]int
	for i, c := range waiting {
		byClass[c] = append(byClass[c], i)
	}
	q.advanceIdle(&byClass)
	times := q.virtualTimes
	order := make([]int, 0, len(waiting))
	for range waiting {
		c := nextClass(&byClass, &times)
		order = append(order, byClass[c][0])
		byClass[c] = byClass[c][1:]
		times[c] += q.startCost(c)
	}
	return order
}

// nextClass returns the waiting class with the smallest virtual time, and the class of smaller works if several are
// equal.
func nextClass(byClass *[NumClasses][]int, times *[NumClasses]float64) Class {
	best := NumClasses
	for c := range NumClasses {
		if len(byClass[c]) > 0 && (best == NumClasses || times[c] < times[best]) {
			best = c
		}
	}
	return best
}

// advanceIdle raises the virtual time of idle classes to that of the next waiting class. Otherwise a class would save
// up unused starts, and later get all starts for a long time.
func (q *queueStats) advanceIdle(byClass *[NumClasses][]int) {
	least := nextClass(byClass, &q.virtualTimes)
	if least == NumClasses {
		return
	}
	for c := range NumClasses {
		if len(byClass[c]) == 0 {
			q.virtualTimes[c] = max(q.virtualTimes[c], q.virtualTimes[least])
		}
	}
}

// startCost is how far one start advances the virtual time of a class.
func (q *queueStats) startCost(c Class) float64 { return 1 / max(q.arrivalShares[c], minArrivalShare) }

// RecordStart records that a work of a class was started.
func (s *SizeStats) RecordStart(name string, c Class) {
	if q := s.queues[name]; q != nil {
		q.virtualTimes[c] += q.startCost(c)
	}
}
