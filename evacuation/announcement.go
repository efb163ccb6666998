package evacuation

import "time"

// seenDelay is how much later than it was written an entry may be seen.
const seenDelay = 300 * time.Millisecond

// Announcement is what the entry of a worker shows of its leaving. The zero value is none.
type Announcement struct {
	timeLeft time.Duration
	// written is the reading of the worker's clock in the entry, zero if unknown; seenAt is when the entry was seen.
	written time.Duration
	seenAt  time.Time
}

// Update records a new entry. A time left of zero means that none is announced, unless one was before.
func (a *Announcement) Update(leaving bool, timeLeft, written time.Duration, now time.Time) {
	switch {
	case !leaving || timeLeft <= 0 && !a.Announced():
		*a = Announcement{}
	case !a.Announced() || timeLeft != a.timeLeft || written != a.written:
		*a = Announcement{timeLeft, written, now}
	}
}

// Announced reports whether the worker has announced a time left.
func (a *Announcement) Announced() bool { return !a.seenAt.IsZero() }

// TimeLeft returns the least time until the worker leaves. clock is the reading of its clock at the time clockAt, zero if
// unknown.
func (a *Announcement) TimeLeft(clock time.Duration, clockAt, now time.Time) time.Duration {
	at := a.seenAt.Add(-seenDelay)
	if a.written > 0 && clock > 0 {
		at = clockAt.Add(a.written - clock)
		if at.After(a.seenAt) {
			at = a.seenAt
		}
	}
	return at.Add(a.timeLeft).Sub(now)
}
