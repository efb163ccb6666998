package heartbeat

import "time"

const (
	// PauseMost is how long a worker may be left unasked while nothing waits for it: a failed task is
	// started again that much later, a third of what the shortest works have to spare.
	PauseMost = 400 * time.Millisecond
	// margin is how much sooner than it is expected the end of a run may come.
	margin = 60 * time.Millisecond
)

// Run is one run on a worker, as far as it matters when its end is heard.
type Run struct {
	// Ends is when it is expected to end; zero where that cannot be told.
	Ends time.Time
	// Last says that a caller or the next step waits for this run alone, or for it longest.
	Last bool
}

// Pause gives how long to wait before a worker is asked again that has just answered.
//
// The load that it answers is that of calm hours: works of several tasks each, and room for all. A worker
// that is asked again at once answers at the end of each of its tasks, though a caller waits only for the
// last task of a work, and each question is paid for. A question that is sent shortly before the last task
// of a work should end hears of all that ended before as well. Where work waits for room, each end gives room,
// and the worker is asked at once.
func Pause(now time.Time, roomWanted bool, runs []Run) time.Duration {
	if roomWanted {
		return 0
	}
	pause := PauseMost
	for _, r := range runs {
		if !r.Last {
			continue
		}
		if r.Ends.IsZero() {
			return 0
		}
		pause = min(pause, max(r.Ends.Sub(now)-margin, 0))
	}
	return pause
}
