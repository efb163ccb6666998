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
	// servedWeight is the weight of the newest work in the share of a class that is served.
	servedWeight = 0.1
	// fairShare is how much less often than its queue's works a class of large ones may be served before
	// they get an earlier turn. Users expect half as often at the least; at 0.6 one play of six on a cell
	// of 350 workers in an overload fell below that, at 0.75 none.
	fairShare = 0.75
	// fairWait is how long they may then wait: with a third of their objective left over, they start in
	// time though they need more room than the others.
	fairWait = 0.3
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
	// Classes counts the classes.
	Classes
)

// String names the class in logs.
func (c Class) String() string { return [Classes]string{"usual", "large", "largest"}[c] }

// Sizes learns how large the works of each queue are, and which of them are served.
type Sizes struct {
	queues map[string]*queue
}

type queue struct {
	mean   float64
	recent []float64
	next   int
	// largeFrom and largestFrom are where the classes begin.
	largeFrom, largestFrom float64
	served                 [Classes]float64
	all                    float64
}

// New returns Sizes that have learned nothing.
func New() *Sizes { return &Sizes{queues: make(map[string]*queue)} }

// Note takes in the size of a work that was accepted, in core-seconds.
func (z *Sizes) Note(name string, size float64) {
	q := z.queues[name]
	if q == nil {
		q = &queue{mean: size, all: 1, served: [Classes]float64{1, 1, 1}}
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

// Class gives the class of a work of that size; while few works are known it is Usual.
func (z *Sizes) Class(name string, size float64) Class {
	if q := z.queues[name]; q != nil {
		return q.class(size)
	}
	return Usual
}

// Served takes in whether a work of that size was done before it was worth nothing.
func (z *Sizes) Served(name string, size float64, served bool) {
	q := z.queues[name]
	if q == nil {
		return
	}
	value := 0.0
	if served {
		value = 1
	}
	c := q.class(size)
	q.all += servedWeight * (value - q.all)
	q.served[c] += servedWeight * (value - q.served[c])
}

// Wait gives how long a work may wait for its turn, in objectives.
//
// The load that it answers is more work than room. Most callers are served if works that are small beside
// the others of their queue go first, and a large one's turn comes once it has waited. Where the overload
// lasts, that turn comes too late for the large ones time and again; a class of them that is served less
// often than its share gets its turn early until it is.
func (z *Sizes) Wait(name string, size float64) float64 {
	q := z.queues[name]
	if q == nil || q.mean <= 0 {
		return 1
	}
	wait := min(max(size/q.mean, waitLeast), waitMost)
	if c := q.class(size); c != Usual && q.served[c] < fairShare*q.all {
		return min(wait, fairWait)
	}
	return wait
}
