package dispatch

import (
	"strconv"
	"time"

	"turmericgap/store/retry"
)

// commits groups the changes of entries into transactions. One is under way at a time while the store
// answers as usual; more are opened when it is slow, since changes of different entries do not depend on
// each other. An entry is in one of them at most.
type commits struct {
	queue []*saving
	lanes [mostLanes]lane
	busy  int
	// number counts the commits of the term.
	number int64
	// again is when a commit may be sent after one that the store declined, declines the pauses.
	again    time.Time
	declines *retry.Backoff
	// wakesAt is when a timer will look at the queue again.
	wakesAt time.Time
	// sent is when the newest commit was sent.
	sent time.Time
}

// lane is a line of transactions, each of which compares the one before it.
type lane struct {
	key      string
	busy     bool
	sent     time.Time
	revision int64
}

const (
	// mostLanes bounds the transactions under way: so many carry a burst of checks at a slow store, which one alone
	// does not.
	mostLanes = 8
	// laneWait is how long a change waits before another lane is opened beside those under way: three
	// times the usual answer of the store.
	laneWait = 12 * time.Millisecond
	// commitEvery is the least pause between two commits that are not full. What comes after a pause is
	// sent at once. Without it each change of a calm day would make its own commit, which is paid for.
	commitEvery = 25 * time.Millisecond
)

// flush sends the commits that are due.
func (t *term) flush() {
	c := &t.commits
	for {
		free := c.free()
		if free == nil || !t.due() {
			return
		}
		c.busy++
		free.busy = true
		c.number++
		t.send(t.collect(free))
	}
}

// stuck reports whether a commit has been without an answer for too long.
func (c *commits) stuck(now time.Time) bool {
	for i := range c.lanes {
		if c.lanes[i].busy && now.Sub(c.lanes[i].sent) > stuckAfter {
			return true
		}
	}
	return false
}

// name gives the lanes their keys, and pauses after commits that were declined.
func (c *commits) name() {
	c.declines = retry.New(retry.Bounds(commitAgain, commitAgainMost))
	for i := range c.lanes {
		c.lanes[i].key = commitPrefix + strconv.Itoa(i)
	}
}

// resume notes the last change of a lane's key.
func (c *commits) resume(key string, revision int64) {
	for i := range c.lanes {
		if c.lanes[i].key == key {
			c.lanes[i].revision = revision
		}
	}
}

// free gives a lane that may be used, or nil.
func (c *commits) free() *lane {
	for i := range c.lanes {
		if !c.lanes[i].busy {
			return &c.lanes[i]
		}
	}
	return nil
}

// due reports whether a commit should be sent now: at once if none is under way, else when as much
// waits as one holds or when it has waited for longer than the store usually takes.
func (t *term) due() bool {
	c := &t.commits
	if left := time.Until(c.again); left > 0 {
		t.wakeCommits(left)
		return false
	}
	ready, oldest := 0, time.Time{}
	now := time.Now()
	for _, s := range c.queue {
		if !t.sendable(s.e, now) {
			if s.e.joins(now) {
				t.wakeCommits(joinMost)
			}
			continue
		}
		if ready++; oldest.IsZero() {
			oldest = s.since
		}
	}
	switch {
	case ready == 0:
		return c.busy == 0 && len(t.removed) >= removeTogether
	case ready >= mostOps-commitOverhead:
		return true
	}
	left := commitEvery - time.Since(c.sent)
	if c.busy > 0 {
		left = max(left, laneWait-time.Since(oldest))
	}
	if left > 0 {
		t.wakeCommits(left)
	}
	return left <= 0
}

// wakeCommits looks at the queue again after a while, or earlier if that is asked for already.
func (t *term) wakeCommits(after time.Duration) {
	c := &t.commits
	at := time.Now().Add(after)
	if !c.wakesAt.IsZero() && !at.Before(c.wakesAt) {
		return
	}
	c.wakesAt = at
	time.AfterFunc(after, func() { t.post(func() { c.wakesAt = time.Time{} }) })
}

// removeTogether is how many records of ended work are removed by one commit.
const removeTogether = 24
