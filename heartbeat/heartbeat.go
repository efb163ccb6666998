package heartbeat

import "time"

const (
	// MaxPollDelay is how long a worker may be left unasked while nothing waits for it: a failed task is
	// started again that much later, a third of what the shortest works have to spare.
	MaxPollDelay = 400 * time.Millisecond
	// margin is how much sooner than it is expected the end of a run may come.
	margin = 60 * time.Millisecond
)

// Run is one run on a worker, as far as it matters when its end is heard.
type Run struct {
	// ExpectedEnd is when it is expected to end; zero where that cannot be told.
	ExpectedEnd time.Time
	// Awaited says that a caller or the next step waits for this run alone, or for it longest.
	Awaited bool
}

// PollDelay gives how long to wait before a worker is asked again that has just answered.
//
// The load that it answers is that of calm hours: works of several tasks each, and room for all. A worker
// that is asked again at once answers at the end of each of its tasks, though a caller waits only for the
// last task of a work, and each question is paid for. A question that is sent shortly before the last task
// of a work should end hears of all that ended before as well. Where work waits for room, each end gives room,
// and the worker is asked at once.
func PollDelay(now time.Time, roomWanted bool, runs []Run) time.Duration {
	if roomWanted {
		return 0
	}
	pause := MaxPollDelay
	for _, r := range runs {
		if !r.Awaited {
			continue
		}
		if r.ExpectedEnd.IsZero() {
			return 0
		}
		pause = min(pause, max(r.ExpectedEnd.Sub(now)-margin, 0))
	}
	return pause
}
