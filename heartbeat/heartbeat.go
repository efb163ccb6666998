package heartbeat

import "time"

const (
	// MaxPollDelay bounds the time between polls of a worker that nothing waits for: the restart of a failed task is
	// delayed by that much, which is a third of the slack of the shortest works.
	MaxPollDelay = 400 * time.Millisecond
	// earlyMargin is how much earlier than expected a run may end.
	earlyMargin = 60 * time.Millisecond
)

// Run is one run on a worker, with what determines when its end must be known.
type Run struct {
	// ExpectedEnd is when the run is expected to end; zero if unknown.
	ExpectedEnd time.Time
	// Awaited reports whether a caller or the next step waits for this run, which is the only one or expected to end last.
	Awaited bool
}

// PollDelay returns how long to wait before polling a worker again that has just answered.
//
// The delay saves polls when works have several tasks each and there is capacity for all of them. Without it, a worker
// would answer at the end of each task, although the caller waits only for the last task of a work, and each poll has a
// cost. A poll shortly before the expected end of the last task also reports all tasks that ended before. If work waits
// for capacity, each end of a run frees some, so the worker is polled at once.
func PollDelay(now time.Time, capacityNeeded bool, runs []Run) time.Duration {
	if capacityNeeded {
		return 0
	}
	delay := MaxPollDelay
	for _, r := range runs {
		if !r.Awaited {
			continue
		}
		if r.ExpectedEnd.IsZero() {
			return 0
		}
		delay = min(delay, max(r.ExpectedEnd.Sub(now)-earlyMargin, 0))
	}
	return delay
}
