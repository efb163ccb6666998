package quarantine

import (
	"slices"
	"time"
)

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
	// minDuration and maxDuration bound the duration of a quarantine, which doubles after each failed trial run, unless its
	// work had failed there before, which says little of the worker. Workers on which everything fails do so for several
	// seconds.
	minDuration = time.Second
	maxDuration = 4 * time.Second
	// trialWait is how long after a quarantine the trial run is kept for stages that have not failed, and then as long
	// again for those that need no other worker.
	trialWait = 500 * time.Millisecond
	// failedWait is how much longer a work that has failed on the worker waits for the trial run than the one that failed
	// before it; the difference to the first one is maxFailedWaits times that at most. maxFailedWorks bounds the works that
	// are remembered.
	failedWait     = 250 * time.Millisecond
	maxFailedWaits = 4
	maxFailedWorks = 32
	// A trial run that has been at work for proofFactor times as long as the failed runs before it were shows that the
	// worker is sound, though it may last much longer. minProof and maxProof bound that time.
	proofFactor = 2
	minProof    = time.Second
	maxProof    = 2 * time.Second
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
	// failedWorks are the works that have failed on the worker since a run was last done, the latest one last.
	failedWorks []string
	// longestFailure is how long the longest of their runs was at work.
	longestFailure time.Duration
	// duration is the duration of the latest quarantine, until its end.
	duration time.Duration
	until    time.Time
}

// Candidate is a stage that may have the trial run on a worker.
type Candidate struct {
	// Work is the ID of its work.
	Work string
	// Failed is true if one of its runs has failed. LastAttempt is true if another failure may end its work.
	Failed, LastAttempt bool
	// Gang is true if the run needs other workers as well.
	Gang bool
}

// AcceptsTrial reports whether a trial run on the worker may be of the candidate's stage. Those that it could cost most
// come last, but each comes: otherwise the worker would never be used again if nothing else needs it. A last attempt waits
// as after the longest quarantine. Of works that have failed on the worker, the one that has not for the longest time comes
// first, so that one that always fails does not take each trial.
func (r *Record) AcceptsTrial(c Candidate, now time.Time) bool {
	from, wait := r.until, time.Duration(0)
	switch {
	case c.LastAttempt:
		from, wait = r.until.Add(maxDuration-r.duration), 2*trialWait
	case c.Gang:
		wait = 2 * trialWait
	case c.Failed:
		wait = trialWait
	}
	if i := slices.Index(r.failedWorks, c.Work); i >= 0 {
		wait = max(wait, trialWait+time.Duration(min(i, maxFailedWaits))*failedWait)
	}
	return now.Sub(from) >= wait
}

// EndTrial ends the trial of a worker whose trial run has been at work for that long, and reports whether it did. The next
// failure of another work begins a quarantine again.
func (r *Record) EndTrial(atWork time.Duration) bool {
	if !r.IsOnTrial() || atWork < min(max(proofFactor*r.longestFailure, minProof), maxProof) {
		return false
	}
	r.FailedInARow, r.duration, r.longestFailure = After-1, 0, 0
	return true
}

// IsSuspect reports whether other workers are to be preferred.
func (r *Record) IsSuspect() bool { return r.failures > suspectFailures && r.failures > r.successes }

// IsOnTrial reports whether the worker gets only one run at a time until one is done or has been at work for long enough.
func (r *Record) IsOnTrial() bool { return r.FailedInARow >= After }

// IsActive reports whether the worker gets no new runs. A worker on which every start fails always has free capacity:
// without quarantine, the works of a full cell would go there and use up their attempts.
func (r *Record) IsActive(now time.Time) bool { return r.IsOnTrial() && now.Before(r.until) }

// AddSuccess records a run that was done.
func (r *Record) AddSuccess() {
	r.successes++
	r.FailedInARow, r.duration, r.longestFailure, r.failedWorks = 0, 0, 0, nil
	r.decay()
}

// AddFailure records a run of a work that has failed after atWork. It returns the duration of the quarantine that this
// begins or prolongs, or 0. mayBegin reports whether one more worker may be quarantined. Failures of the same work count
// once towards a quarantine, as they may be the work's own fault.
func (r *Record) AddFailure(work string, atWork time.Duration, now time.Time, mayBegin func() bool) time.Duration {
	r.failures++
	r.longestFailure = max(r.longestFailure, atWork)
	known := r.noteFailedWork(work)
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
	if r.duration = min(max(2*r.duration, minDuration), maxDuration); known {
		r.duration = minDuration
	}
	r.until = now.Add(r.duration)
	return r.duration
}

// noteFailedWork records that a work has failed on the worker, and reports whether it had before.
func (r *Record) noteFailedWork(work string) (known bool) {
	if i := slices.Index(r.failedWorks, work); i >= 0 {
		r.failedWorks, known = slices.Delete(r.failedWorks, i, i+1), true
	}
	r.failedWorks = append(r.failedWorks, work)
	if len(r.failedWorks) > maxFailedWorks {
		r.failedWorks = slices.Delete(r.failedWorks, 0, 1)
	}
	return known
}

func (r *Record) decay() {
	if r.successes+r.failures > endsWindow {
		r.successes, r.failures = r.successes/2, r.failures/2
	}
}

// MayBegin reports whether one more worker may be quarantined.
func MayBegin(quarantined, workers int) bool { return (quarantined+1)*Divisor <= workers }
