package admission

import "time"

const (
	// maxLag is how long events may wait for the owner's loop before it counts as overloaded. Checks have a few
	// hundred milliseconds to spare, and each of their steps waits as long as the events do.
	maxLag = 100 * time.Millisecond
	// observationWindow is how long the lag must exceed maxLag; a burst is over sooner.
	observationWindow = 500 * time.Millisecond
	// rejectDecrement is how much the reject ratio falls per window once the owner has caught up.
	rejectDecrement = 0.1
	// maxRejectRatio is below 1 so that a little work is admitted even under overload, which shows when the owner has
	// caught up.
	maxRejectRatio = 0.95
	// minRetryAfter is the shortest time after which rejected work may be retried. Retries of works that were
	// rejected together are spread over retryAfterSpread.
	minRetryAfter    = time.Second
	retryAfterSpread = 2 * time.Second
)

// OverloadDetector decides which fraction of new work the owner rejects while it has more to decide than it can.
//
// It protects against more work than the owner's processor can handle, however much free capacity the workers have.
// If all of it were accepted, all of it would wait, and permits requested for it would expire and be requested again,
// even after the overload has ended. The measure is the minimum time that events wait within a window: a long queue
// that moves fast does no harm, and neither does a burst.
type OverloadDetector struct {
	rejectRatio float64
	// minLag is the smallest lag since windowStart.
	minLag      time.Duration
	windowStart time.Time
}

// Observe records how long events currently wait.
func (d *OverloadDetector) Observe(now time.Time, lag time.Duration) {
	if d.windowStart.IsZero() {
		d.windowStart, d.minLag = now, lag
	}
	d.minLag = min(d.minLag, lag)
	if now.Sub(d.windowStart) < observationWindow {
		return
	}
	if d.minLag > maxLag {
		// Events wait too long by the same factor as there are too many of them.
		d.rejectRatio = min(max(d.rejectRatio, 1-float64(maxLag)/float64(d.minLag)), maxRejectRatio)
	} else {
		d.rejectRatio = max(d.rejectRatio-rejectDecrement, 0)
	}
	d.windowStart, d.minLag = now, lag
}

// RejectRatio returns the fraction of new work to reject.
func (d *OverloadDetector) RejectRatio() float64 { return d.rejectRatio }

// Shedder rejects the same fraction of new work of each kind.
type Shedder struct {
	// credit accumulates the admitted fraction for each kind; at 1 the next work is admitted.
	credit map[string]float64
	// rejected counts rejected works, to spread their retries.
	rejected int
}

// Admit reports whether the next work of a kind is admitted at the given reject ratio, and if not, after how long it
// may be retried: the higher the ratio, the later. Work that exceeds the rate of its client account is rejected at any
// ratio above zero, and other work is then admitted in its place.
func (s *Shedder) Admit(kind string, rejectRatio float64, surplus bool) (admitted bool, retryAfter time.Duration) {
	if rejectRatio <= 0 {
		clear(s.credit)
		return true, 0
	}
	if s.credit == nil {
		s.credit = make(map[string]float64)
	}
	if s.credit[kind] = min(s.credit[kind]+1-rejectRatio, maxCredit); s.credit[kind] >= 1 && !surplus {
		s.credit[kind]--
		return true, 0
	}
	s.rejected++
	offset := float64(s.rejected%retryBuckets) / retryBuckets
	return false, minRetryAfter + time.Duration(rejectRatio*float64(minRetryAfter)) +
		time.Duration(offset*float64(retryAfterSpread))
}

// maxCredit bounds the works of a kind that are admitted in place of earlier ones.
const maxCredit = 4

// retryBuckets is the number of distinct times over which retries are spread.
const retryBuckets = 16
