package dispatch

import (
	"time"

	"turmericgap/commitstream"
	"turmericgap/store/retry"
	"turmericgap/workrecord"
)

// committer groups entry changes into transactions. An entry is in at most one transaction in flight.
type committer struct {
	queue   []*pendingSave
	streams *commitstream.Streams
	// wakeAt is when a timer triggers the next check of the queue.
	wakeAt time.Time
}

func newCommitter() committer {
	return committer{streams: commitstream.New(workrecord.CommitPrefix, retry.New(retry.Bounds(commitRetryMin, commitRetryMax)))}
}

// flush sends the commits that are due.
func (t *term) flush() {
	for {
		stream := t.committer.streams.Free()
		if stream == nil || !t.isCommitDue() {
			return
		}
		t.sendBatch(t.buildBatch(stream, t.committer.streams.Send(stream, time.Now())))
	}
}

// isCommitDue reports whether a commit should be sent now: at once if none is in flight, otherwise when a full
// transaction is waiting or a change has waited longer than the store usually takes.
func (t *term) isCommitDue() bool {
	c := &t.committer
	now := time.Now()
	if left := c.streams.RetryDelay(now); left > 0 {
		t.scheduleCommit(left)
		return false
	}
	ready, oldest := 0, time.Time{}
	for _, s := range c.queue {
		if !t.canCommit(s.entry, now) {
			if s.entry.awaitsPermits(now) {
				t.scheduleCommit(permitJoinTimeout)
			}
			if pause := s.entry.commitAfter.Sub(now); pause > 0 {
				t.scheduleCommit(pause)
			}
			continue
		}
		if ready++; oldest.IsZero() {
			oldest = s.since
		}
	}
	switch {
	case ready == 0:
		return c.streams.Idle() && len(t.endedToRemove) >= removalBatchSize
	case ready >= maxTxnOps-commitOverhead:
		return true
	}
	left := c.streams.Delay(ready, oldest, time.Now())
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
