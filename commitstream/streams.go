package commitstream

import (
	"strconv"
	"time"

	"turmericgap/store/retry"
)

const (
	// maxStreams bounds the transactions in flight. This many carry a burst of checks while the store is slow; a
	// single one could not.
	maxStreams = 8
	// openDelay is how long a change waits before another stream is used while a commit is in flight: three times the
	// usual store latency.
	openDelay = 12 * time.Millisecond
	// minInterval is the minimum interval between commits that are not full; a change that arrives after a longer pause
	// is sent at once. Without it every change under light load would cost a commit of its own, and commits are billed.
	minInterval = 25 * time.Millisecond
	// From manyChanges on, a commit costs little for each of them, and the changes of a busy cell need not wait for more:
	// busyInterval limits the commits to 125 a second, whatever the load.
	manyChanges  = 6
	busyInterval = 8 * time.Millisecond
)

// Streams paces commits. Normally one transaction is in flight at a time. When the store is slow, more are sent
// concurrently, since changes of different entries are independent. It is not safe for concurrent use.
type Streams struct {
	streams  [maxStreams]Stream
	inFlight int
	// number counts the commits.
	number int64
	// retryAt is when the next commit may be sent after the store declined one; backoff computes the delays.
	retryAt time.Time
	backoff *retry.Backoff
	// lastSent is when the latest commit was sent.
	lastSent time.Time
}

// Stream is a sequence of transactions, each of which compares the revision of the previous one.
type Stream struct {
	// Key is the key that each transaction of the stream compares and rewrites, Revision its last known revision.
	Key      string
	Revision int64
	inFlight bool
	sentAt   time.Time
}

// New returns Streams with keys of a common prefix. backoff computes the delays after declined commits.
func New(prefix string, backoff *retry.Backoff) *Streams {
	s := &Streams{backoff: backoff}
	for i := range s.streams {
		s.streams[i].Key = prefix + strconv.Itoa(i)
	}
	return s
}

// SetRevision records the last known revision of a stream's key.
func (s *Streams) SetRevision(key string, revision int64) {
	for i := range s.streams {
		if s.streams[i].Key == key {
			s.streams[i].Revision = revision
		}
	}
}

// Free returns an idle stream, or nil.
func (s *Streams) Free() *Stream {
	for i := range s.streams {
		if !s.streams[i].inFlight {
			return &s.streams[i]
		}
	}
	return nil
}

// Idle reports whether no commit is in flight.
func (s *Streams) Idle() bool { return s.inFlight == 0 }

// IsStuck reports whether a commit has been unanswered for longer than the limit.
func (s *Streams) IsStuck(now time.Time, limit time.Duration) bool {
	for i := range s.streams {
		if s.streams[i].inFlight && now.Sub(s.streams[i].sentAt) > limit {
			return true
		}
	}
	return false
}

// RetryDelay returns how long no commit may be sent because the store declined one; it is not positive if one may.
func (s *Streams) RetryDelay(now time.Time) time.Duration { return s.retryAt.Sub(now) }

// Delay returns how long a commit that is not full waits for more changes; it is not positive if the commit is due.
// oldest is when the oldest of the waiting changes arrived.
func (s *Streams) Delay(waiting int, oldest, now time.Time) time.Duration {
	interval := minInterval
	if waiting >= manyChanges {
		interval = busyInterval
	}
	delay := interval - now.Sub(s.lastSent)
	if !s.Idle() {
		delay = max(delay, openDelay-now.Sub(oldest))
	}
	return delay
}

// Send marks a commit on a stream as sent and returns its number.
func (s *Streams) Send(c *Stream, now time.Time) int64 {
	s.inFlight++
	s.number++
	s.lastSent = now
	c.inFlight, c.sentAt = true, now
	return s.number
}

// Succeed records that the commit on a stream has led to a new revision of its key.
func (s *Streams) Succeed(c *Stream, revision int64) {
	s.inFlight--
	c.inFlight, c.Revision = false, revision
	s.backoff.Reset()
}

// Decline records that the store has certainly not applied the commit on a stream.
func (s *Streams) Decline(c *Stream, now time.Time) {
	s.inFlight--
	c.inFlight = false
	s.retryAt = now.Add(s.backoff.Next())
}

// Reject records that the store will never apply the commit on a stream. The changes may be sent again at once in others.
func (s *Streams) Reject(c *Stream) {
	s.inFlight--
	c.inFlight = false
}
