package aging

import (
	"slices"
)

const (
	// meanWeight is the weight of the newest work in the mean size of its queue's works.
	meanWeight = 0.05
	// waitLeast and waitMost bound how many objectives after it is due a work's turn comes.
	waitLeast = 0.1
	waitMost  = 2
	// recentSizes is how many works tell which sizes are large, knownSizes how many are needed for that.
	recentSizes = 64
	knownSizes  = 20
	// largestShare and largeShare are the parts of the works that count as the largest, and as large.
	largestShare = 0.1
	largeShare   = 0.3
	// arrivalWeight is the weight of the newest work in the part of its queue's works that a class is:
	// about as many works count as tell the sizes.
	arrivalWeight = 1.0 / recentSizes
	// leastArrival bounds how rare a class is taken to be, so that one turn of it does not count as a
	// hundred of the others.
	leastArrival = 0.02
)

// Class is a class of sizes.
type Class int

const (
	// Usual is the seven smallest tenths of a queue's works.
	Usual Class = iota
	// Large is the fifth below the largest tenth.
	Large
	// Largest is the largest tenth.
	Largest
	// NumClasses counts the classes.
	NumClasses
)

// String names the class in logs.
func (c Class) String() string { return [NumClasses]string{"usual", "large", "largest"}[c] }

// SizeStats learns how large the works of each queue are, and shares the turns between their classes.
type SizeStats struct {
	queues map[string]*queue
}

type queue struct {
	mean   float64
	recent []float64
	next   int
	// largeFrom and largestFrom are where the classes begin.
	largeFrom, largestFrom float64
	// arrivals is the part of the works that each class is.
	arrivals [NumClasses]float64
	// turns is how far each class is with its turns: the class that is least far has the next one.
	turns [NumClasses]float64
}

// New returns Sizes that have learned nothing.
func New() *SizeStats { return &SizeStats{queues: make(map[string]*queue)} }

// Observe takes in the size of a work that was accepted, in core-seconds.
func (z *SizeStats) Observe(name string, size float64) {
	q := z.queues[name]
	if q == nil {
		q = &queue{mean: size, arrivals: [NumClasses]float64{1 - largeShare, largeShare - largestShare, largestShare}}
		z.queues[name] = q
	}
	q.mean += meanWeight * (size - q.mean)
	if len(q.recent) < recentSizes {
		q.recent = append(q.recent, size)
	} else {
		q.recent[q.next] = size
		q.next = (q.next + 1) % recentSizes
	}
	q.divide()
	c := q.class(size)
	for other := range q.arrivals {
		q.arrivals[other] -= arrivalWeight * q.arrivals[other]
	}
	q.arrivals[c] += arrivalWeight
}

// Class gives the class of a work of that size among the latest of its queue; while few are known it is Usual.
func (z *SizeStats) Class(name string, size float64) Class {
	if q := z.queues[name]; q != nil {
		return q.class(size)
	}
	return Usual
}

// divide finds where the classes of sizes begin.
func (q *queue) divide() {
	sorted := slices.Sorted(slices.Values(q.recent))
	at := func(share float64) float64 { return sorted[int((1-share)*float64(len(sorted)-1))] }
	q.largeFrom, q.largestFrom = at(largeShare), at(largestShare)
}

func (q *queue) class(size float64) Class {
	switch {
	case len(q.recent) < knownSizes || size < q.largeFrom:
		return Usual
	case size < q.largestFrom:
		return Large
	}
	return Largest
}

// WaitFactor gives how long a work may wait for its turn among those of its class, in objectives: most callers
// are served if works that are small beside the others of their queue go first.
func (z *SizeStats) WaitFactor(name string, size float64) float64 {
	q := z.queues[name]
	if q == nil || q.mean <= 0 {
		return 1
	}
	return min(max(size/q.mean, waitLeast), waitMost)
}

// Order gives the order in which works of a queue have their turns, as indices into their classes, which are
// given in the order of Wait.
//
// The load that it answers is more work than room or permits, for as long as it lasts. By the order of Wait
// alone all turns go to small works, and large ones become late before theirs comes: hardly any of the largest
// tenth would be served where most of all are. Turns are shared by start-time fair queueing, each class as often as its works arrive. That needs nothing but what waits
// now: no work must be seen to be lost first, and a new owner shares as well as the one before it.
func (z *SizeStats) Order(name string, waiting []Class) []int {
	q := z.queues[name]
	if q == nil {
		q = &queue{}
	}
	var of [NumClasses][]int
	for i, c := range waiting {
		of[c] = append(of[c], i)
	}
	q.catchUp(&of)
	turns := q.turns
	order := make([]int, 0, len(waiting))
	for range waiting {
		c := first(&of, &turns)
		order = append(order, of[c][0])
		of[c] = of[c][1:]
		turns[c] += q.turn(c)
	}
	return order
}

// first gives the class that has the next turn, the smaller works' one of those that are equally far.
func first(of *[NumClasses][]int, turns *[NumClasses]float64) Class {
	best := NumClasses
	for c := range NumClasses {
		if len(of[c]) > 0 && (best == NumClasses || turns[c] < turns[best]) {
			best = c
		}
	}
	return best
}

// catchUp sets classes of which nothing waits no further back than those of which something does. Turns that
// a class had no use for would else be owed to it, and it alone would have all of them one day.
func (q *queue) catchUp(of *[NumClasses][]int) {
	least := first(of, &q.turns)
	if least == NumClasses {
		return
	}
	for c := range NumClasses {
		if len(of[c]) == 0 {
			q.turns[c] = max(q.turns[c], q.turns[least])
		}
	}
}

// turn is how far one turn brings a class.
func (q *queue) turn(c Class) float64 { return 1 / max(q.arrivals[c], leastArrival) }

// RecordStart takes in that a work of a class has had its turn.
func (z *SizeStats) RecordStart(name string, c Class) {
	if q := z.queues[name]; q != nil {
		q.turns[c] += q.turn(c)
	}
}
