package admission

import "time"

const (
	// lagBound is for how long events may wait for the owner's loop before it counts as behind: checks have some
	// hundred milliseconds to spare, and each of their steps waits as long.
	lagBound = 100 * time.Millisecond
	// judgeEvery is how long the lag must stay above that: a burst is over sooner.
	judgeEvery = 500 * time.Millisecond
	// lessShare is how much less is turned away each time once the owner has caught up.
	lessShare = 0.1
	// mostShare leaves a little to be taken, by which is seen that the owner has caught up.
	mostShare = 0.95
	// retryLeast is when work that was turned away may come again at the earliest, retrySpread over how long those
	// that were turned away together are spread.
	retryLeast  = time.Second
	retrySpread = 2 * time.Second
)

// OverloadDetector decides which part of new work an owner turns away while it has more to decide than it can.
//
// The load that it answers is more work than the owner's processor has time for, however much room the workers have.
// Taken, all of it would wait, and what is asked for it would lapse and be asked again, also after the load has gone.
// It is judged by how long events wait, as a long queue that moves fast does no harm, and by the least of these
// waits in a while, as a burst does none either.
type OverloadDetector struct {
	share float64
	// least is the least lag since from.
	least time.Duration
	from  time.Time
}

// Observe takes in how long events wait now.
func (b *OverloadDetector) Observe(now time.Time, lag time.Duration) {
	if b.from.IsZero() {
		b.from, b.least = now, lag
	}
	b.least = min(b.least, lag)
	if now.Sub(b.from) < judgeEvery {
		return
	}
	if b.least > lagBound {
		// As much too late as events are, as much too many are they.
		b.share = min(max(b.share, 1-float64(lagBound)/float64(b.least)), mostShare)
	} else {
		b.share = max(b.share-lessShare, 0)
	}
	b.from, b.least = now, lag
}

// RejectRatio gives the part of new work that is to be turned away.
func (b *OverloadDetector) RejectRatio() float64 { return b.share }

// Shedder turns away a part of new work, of each kind the same part.
type Shedder struct {
	// due is how far each kind is towards its next work that is taken.
	due map[string]float64
	// turned counts the works that were turned away, to spread their return.
	turned int
}

// Admit reports whether the next work of a kind is taken while a share is turned away, and if not, after how long it
// may come again: the more is turned away, the later.
func (g *Shedder) Admit(kind string, share float64) (taken bool, again time.Duration) {
	if share <= 0 {
		clear(g.due)
		return true, 0
	}
	if g.due == nil {
		g.due = make(map[string]float64)
	}
	if g.due[kind] += 1 - share; g.due[kind] >= 1 {
		g.due[kind]--
		return true, 0
	}
	g.turned++
	part := float64(g.turned%spreadParts) / spreadParts
	return false, retryLeast + time.Duration(share*float64(retryLeast)) + time.Duration(part*float64(retrySpread))
}

// spreadParts is how many moments those that were turned away are spread over.
const spreadParts = 16
