package dispatch

import (
	"strconv"
	"time"

	"turmericgap/store/retry"
)

// committer groups entry changes into transactions. Normally one transaction is in flight at a time. When the store is
// slow, more are sent concurrently, since changes of different entries are independent. An entry is in at most one of
// them.
type committer struct {
	queue    []*pendingSave
	streams  [maxStreams]commitStream
	inFlight int
	// number counts the commits of the term.
	number int64
	// retryAt is when the next commit may be sent after the store declined one; backoff computes the delays.
	retryAt time.Time
	backoff *retry.Backoff
	// wakeAt is when a timer triggers the next check of the queue.
	wakeAt time.Time
	// lastSent is when the latest commit was sent.
	lastSent time.Time
}

// commitStream is a sequence of transactions, each of which compares the revision of the previous one.
type commitStream struct {
	key      string
	inFlight bool
	sentAt   time.Time
	revision int64
}

const (
	// maxStreams bounds the transactions in flight. This many carry a burst of checks while the store is slow; a
	// single one could not.
	maxStreams = 8
	// streamOpenDelay is how long a change waits before another stream is used while a commit is in flight: three times
	// the usual store latency.
	streamOpenDelay = 12 * time.Millisecond
	// minCommitInterval is the minimum interval between commits that are not full; a change that arrives after a longer
	// pause is sent at once. Without it every change under light load would cost a commit of its own, and commits are
	// billed.
	minCommitInterval = 25 * time.Millisecond
)

// flush sends the commits that are due.
func (t *term) flush() {
	c := &t.committer
	for {
		stream := c.freeStream()
		if stream == nil || !t.isCommitDue() {
			return
		}
		c.inFlight++
		stream.inFlight = true
		c.number++
		t.sendBatch(t.buildBatch(stream))
	}
}

// isStuck reports whether a commit has been unanswered for too long.
func (c *committer) isStuck(now time.Time) bool {
	for i := range c.streams {
		if c.streams[i].inFlight && now.Sub(c.streams[i].sentAt) > commitStuckAfter {
			return true
		}
	}
	return false
}

// init sets the key of each stream and the backoff after declined commits.
func (c *committer) init() {
	c.backoff = retry.New(retry.Bounds(commitRetryMin, commitRetryMax))
	for i := range c.streams {
		c.streams[i].key = commitPrefix + strconv.Itoa(i)
	}
}

// setRevision records the last known revision of a stream's key.
func (c *committer) setRevision(key string, revision int64) {
	for i := range c.streams {
		if c.streams[i].key == key {
			c.streams[i].revision = revision
		}
	}
}

// freeStream returns an idle stream, or nil.
func (c *committer) freeStream() *commitStream {
	for i := range c.streams {
		if !c.streams[i].inFlight {
			return &c.streams[i]
		}
	}
	return nil
}

// isCommitDue reports whether a commit should be sent now: at once if none is in flight, otherwise when a full
// transaction is waiting or a change has waited longer than the store usually takes.
func (t *term) isCommitDue() bool {
	c := &t.committer
	if left := time.Until(c.retryAt); left > 0 {
		t.scheduleCommit(left)
		return false
	}
	ready, oldest := 0, time.Time{}
	now := time.Now()
	for _, s := range c.queue {
		if !t.canCommit(s.entry, now) {
			if s.entry.awaitsPermits(now) {
				t.scheduleCommit(permitJoinTimeout)
			}
			continue
		}
		if ready++; oldest.IsZero() {
			oldest = s.since
		}
	}
	switch {
	case ready == 0:
		return c.inFlight == 0 && len(t.endedToRemove) >= removalBatchSize
	case ready >= maxTxnOps-commitOverhead:
		return true
	}
	left := minCommitInterval - time.Since(c.lastSent)
	if c.inFlight > 0 {
		left = max(left, streamOpenDelay-time.Since(oldest))
	}
	if left > 0 {
		t.scheduleCommit(left)
	}
	return left <= 0
}

// scheduleCommit checks the queue again after a delay, unless an earlier check is already scheduled.
func (t *term) scheduleCommit(after time.Duration) {
	c := &t.committer
	at := time.Now().Add(after)
	if !c.wakeAt.IsZero() && !at.Before(c.wakeAt) {
		return
	}
	c.wakeAt = at
	time.AfterFunc(after, func() { t.post(func() { c.wakeAt = time.Time{} }) })
}

// removalBatchSize is the number of records of ended work from which a commit is sent only to delete them. Other
// commits delete as many as fit.
const removalBatchSize = 24
