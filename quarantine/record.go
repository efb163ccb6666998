package quarantine

import "time"

const (
	// suspectFailures is the number of recent failures above which a worker is suspect, if they also outnumber its
	// successes. Up to one run in twenty fails through the fault of its work.
	suspectFailures = 2
	// endsWindow is the number of recent ends after which all counts are halved. A worker has about three ends a
	// second.
	endsWindow = 16
	// After is the number of consecutive failures of different works after which a worker is quarantined. If one run in
	// twenty fails through the fault of its work, three failures in a row occur by chance once in 8,000 runs.
	After = 3
	// minDuration and maxDuration bound the duration of a quarantine, which doubles after each failed trial run. Workers
	// on which everything fails do so for several seconds.
	minDuration = time.Second
	maxDuration = 4 * time.Second
	// Divisor limits quarantine to one worker in this many. If more of them fail, the workers are not the cause, and work
	// must not wait for a quarantine to end.
	Divisor = 4
)

// Record is the state of a worker derived from the ends of its runs.
type Record struct {
	// failures and successes count recent ends of runs. Both are halved when their sum exceeds endsWindow.
	failures, successes float64
	// FailedInARow counts the works that have failed on the worker since the last success.
	FailedInARow int
	// lastFailedWork is the ID of the latest of them.
	lastFailedWork string
	// duration is the duration of the latest quarantine, until its end.
	duration time.Duration
	until    time.Time
}

// IsSuspect reports whether other workers are to be preferred.
func (r *Record) IsSuspect() bool { return r.failures > suspectFailures && r.failures > r.successes }

// IsOnTrial reports whether the worker gets only one run at a time until one succeeds.
func (r *Record) IsOnTrial() bool { return r.FailedInARow >= After }

// IsActive reports whether the worker gets no new runs. A worker on which every start fails always has free capacity:
// without quarantine, the works of a full cell would go there and use up their attempts.
func (r *Record) IsActive(now time.Time) bool { return r.IsOnTrial() && now.Before(r.until) }

// AddSuccess records a run that was done.
func (r *Record) AddSuccess() {
	r.successes++
	r.FailedInARow, r.duration = 0, 0
	r.decay()
}

// AddFailure records a failed run of a work. It returns the duration of the quarantine that this begins, or 0.
// mayBegin reports whether one more worker may be quarantined. Failures of the same work count once towards a
// quarantine, as they may be the work's own fault.
func (r *Record) AddFailure(work string, now time.Time, mayBegin func() bool) time.Duration {
	r.failures++
	r.decay()
	if r.lastFailedWork == work && !r.IsOnTrial() {
		return 0
	}
	r.lastFailedWork = work
	if !r.IsOnTrial() && r.FailedInARow+1 >= After && !mayBegin() {
		return 0
	}
	if r.FailedInARow++; !r.IsOnTrial() {
		return 0
	}
	r.duration = min(max(2*r.duration, minDuration), maxDuration)
	r.until = now.Add(r.duration)
	return r.duration
}

func (r *Record) decay() {
	if r.successes+r.failures > endsWindow {
		r.successes, r.failures = r.successes/2, r.failures/2
	}
}

// MayBegin reports whether one more worker may be quarantined.
func MayBegin(quarantined, workers int) bool { return (quarantined+1)*Divisor <= workers }
