package admission

import (
	"math"
	"time"
)

// flowWindow is the number of whole seconds over which a flow is averaged.
const flowWindow = 5

// flow averages amounts by key over the last seconds.
type flow[K comparable] struct {
	// sums holds the amounts of each second, by the second modulo the length; seconds tells which second that is.
	sums    [flowWindow + 1]map[K]float64
	seconds [flowWindow + 1]int64
}

// add counts an amount.
func (f *flow[K]) add(now time.Time, key K, amount float64) {
	second := now.Unix()
	i := second % int64(len(f.sums))
	if f.seconds[i] != second || f.sums[i] == nil {
		f.seconds[i], f.sums[i] = second, make(map[K]float64)
	}
	f.sums[i][key] += amount
}

// perSecond returns the averages by key since a time, over the window at most.
func (f *flow[K]) perSecond(now, since time.Time) map[K]float64 {
	covered := flowWindow + now.Sub(time.Unix(now.Unix(), 0)).Seconds()
	covered = math.Max(math.Min(covered, now.Sub(since).Seconds()), 1)
	out := make(map[K]float64)
	for i, sums := range f.sums {
		if now.Unix()-f.seconds[i] > flowWindow {
			continue
		}
		for k, v := range sums {
			out[k] += v / covered
		}
	}
	return out
}

// peakWindow is how long cores count that are not listed any more. A zone that is cut off returns with its cores, and
// what was refused for their absence would have been served.
const peakWindow = 30 * time.Second

// peak is the highest recent number of cores.
type peak struct {
	cores float64
	at    time.Time
}

// update returns the peak after an observation.
func (p peak) update(now time.Time, cores float64) peak {
	if cores >= p.cores || now.Sub(p.at) > peakWindow {
		return peak{cores, now}
	}
	return p
}
