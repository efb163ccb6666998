package dispatch

import (
	"strconv"
	"time"

	"turmericgap/store/retry"
)

// committer groups the changes of entries into transactions. One is under way at a time while the store
// answers as usual; more are opened when it is slow, since changes of different entries do not depend on
// each other. An entry is in one of them at most.
type committer struct {
	queue    []*pendingSave
	streams  [maxStreams]commitStream
	inFlight int
	// number counts the commits of the term.
	number int64
	// retryAt is when a commit may be sent after one that the store declined, declines the pauses.
	retryAt time.Time
	backoff *retry.Backoff
	// wakeAt is when a timer will look at the queue again.
	wakeAt time.Time
	// lastSent is when the newest commit was lastSent.
	lastSent time.Time
}

// commitStream is a line of transactions, each of which compares the one before it.
type commitStream struct {
	key      string
	inFlight bool
	sentAt   time.Time
	revision int64
}

const (
	// maxStreams bounds the transactions under way: so many carry a burst of checks at a slow store, which one alone
	// does not.
	maxStreams = 8
	// streamOpenDelay is how long a change waits before another lane is opened beside those under way: three
	// times the usual answer of the store.
	streamOpenDelay = 12 * time.Millisecond
	// minCommitInterval is the least pause between two commits that are not full. What comes after a pause is
	// sent at once. Without it each change of a calm day would make its own commit, which is paid for.
	minCommitInterval = 25 * time.Millisecond
)

// flush sends the commits that are due.
func (t *term) flush() {
	c := &t.committer
	for {
		free := c.freeStream()
		if free == nil || !t.isCommitDue() {
			return
		}
		c.inFlight++
		free.inFlight = true
		c.number++
		t.sendBatch(t.buildBatch(free))
	}
}

// isStuck reports whether a commit has been without an answer for too long.
func (c *committer) isStuck(now time.Time) bool {
	for i := range c.streams {
		if c.streams[i].inFlight && now.Sub(c.streams[i].sentAt) > commitStuckAfter {
			return true
		}
	}
	return false
}

// init gives the lanes their keys, and pauses after commits that were declined.
func (c *committer) init() {
	c.backoff = retry.New(retry.Bounds(commitRetryMin, commitRetryMax))
	for i := range c.streams {
		c.streams[i].key = commitPrefix + strconv.Itoa(i)
	}
}

// setRevision notes the last change of a lane's key.
func (c *committer) setRevision(key string, revision int64) {
	for i := range c.streams {
		if c.streams[i].key == key {
			c.streams[i].revision = revision
		}
	}
}

// freeStream gives a lane that may be used, or nil.
func (c *committer) freeStream() *commitStream {
	for i := range c.streams {
		if !c.streams[i].inFlight {
			return &c.streams[i]
		}
	}
	return nil
}

// isCommitDue reports whether a commit should be sent now: at once if none is under way, else when as much
// waits as one holds or when it has waited for longer than the store usually takes.
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
		return c.inFlight == 0 && len(t.endedToRemove) >= removeBatch
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

// scheduleCommit looks at the queue again after a while, or earlier if that is asked for already.
func (t *term) scheduleCommit(after time.Duration) {
	c := &t.committer
	at := time.Now().Add(after)
	if !c.wakeAt.IsZero() && !at.Before(c.wakeAt) {
		return
	}
	c.wakeAt = at
	time.AfterFunc(after, func() { t.post(func() { c.wakeAt = time.Time{} }) })
}

// removeBatch is how many records of ended work are removed by one commit.
const removeBatch = 24
