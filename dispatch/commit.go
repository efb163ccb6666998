package dispatch

import (
	"bytes"
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"turmericgap/job"
	"turmericgap/store"
	"turmericgap/store/retry"
)

// pendingSave is an entry whose state waits for a commit, with what is to happen after it.
type pendingSave struct {
	entry   *entry
	since   time.Time
	effects []func()
}

// commitMarker is the value of a lane's key; it tells whose commit was the last.
type commitMarker struct {
	Fence  int64 `msgpack:"f"`
	Number int64 `msgpack:"n"`
}

const (
	// commitOverhead is two conditions and the write of the lane's key.
	commitOverhead = 3
	// maxOpsPerWork is how many entries of one work a commit may need: its end removes two and writes one.
	maxOpsPerWork = 3
	// commitRetryMin and commitRetryMax bound the pauses between tries of one commit.
	commitRetryMin = 10 * time.Millisecond
	commitRetryMax = 250 * time.Millisecond
)

// save marks an entry for the next commit; effect runs on the loop once it is durable.
func (t *term) save(e *entry, effect func()) {
	if e.pendingSave == nil {
		e.pendingSave = &pendingSave{entry: e, since: time.Now()}
		t.committer.queue = append(t.committer.queue, e.pendingSave)
	}
	if effect != nil {
		e.pendingSave.effects = append(e.pendingSave.effects, effect)
	}
}

// afterSaved runs effect once the present state of an entry is durable.
func (t *term) afterSaved(e *entry, effect func()) { t.save(e, effect) }

// commitBatch is what one commit writes.
type commitBatch struct {
	stream   *commitStream
	txn      store.Txn
	marker   []byte
	saves    []*pendingSave
	states   map[*entry]job.WorkState
	finished []*entry
	// created lists works that the commit makes durable, removed the ended records that it takes away.
	created []*entry
	removed []string
}

func (t *term) sendBatch(ch *commitBatch) {
	before, started := ch.stream.revision, time.Now()
	t.committer.lastSent, ch.stream.sentAt = started, started
	t.wg.Go(func() {
		revision, err := t.commit(ch, before)
		if errors.Is(err, store.ErrNotSent) {
			t.post(func() { t.onDeclined(ch) })
			return
		}
		if err != nil {
			if t.ctx.Err() == nil {
				t.post(func() { t.loseOwnership("a commit was refused", err) })
			}
			return
		}
		t.post(func() { t.onCommitted(ch, revision, time.Since(started)) })
	})
}

// buildBatch turns as many changes as one transaction holds into operations.
func (t *term) buildBatch(l *commitStream) *commitBatch {
	c := &t.committer
	ch := &commitBatch{stream: l, marker: encode(&commitMarker{t.tenure.Fence, c.number}), states: make(map[*entry]job.WorkState)}
	ch.txn.Compares = []store.Compare{
		t.tenure.Compare(),
		{Key: l.key, Target: store.ModRevision, Revision: l.revision},
	}
	ch.txn.Then = []store.Op{{Key: l.key, Value: ch.marker}}
	var left []*pendingSave
	now := time.Now()
	for _, s := range c.queue {
		if !t.canCommit(s.entry, now) || len(ch.txn.Then)+maxOpsPerWork > maxTxnOps-commitOverhead+1 {
			left = append(left, s)
			continue
		}
		t.addToBatch(ch, s.entry)
		ch.saves = append(ch.saves, s)
		s.entry.pendingSave, s.entry.committing = nil, true
	}
	c.queue = left
	for len(t.endedToRemove) > 0 && len(ch.txn.Then) < maxTxnOps-commitOverhead+1 {
		ch.txn.Then = append(ch.txn.Then, store.Op{Delete: true, Key: endedPrefix + t.endedToRemove[0]})
		ch.removed = append(ch.removed, t.endedToRemove[0])
		t.endedToRemove = t.endedToRemove[1:]
	}
	return ch
}

// onDeclined takes back a commit that the store surely did not carry out. The changes wait again, with what
// has come since, so that a new work among them can still be given up for certain; retried as it was, the
// commit would keep its callers until they have gone.
func (t *term) onDeclined(ch *commitBatch) {
	c := &t.committer
	c.inFlight--
	ch.stream.inFlight = false
	c.retryAt = time.Now().Add(c.backoff.Next())
	for e := range ch.states {
		e.committing = false
	}
	for _, e := range ch.created {
		e.needsCreate = !e.createdElsewhere
	}
	for _, e := range ch.finished {
		e.endQueued = false
	}
	for _, s := range ch.saves {
		if newer := s.entry.pendingSave; newer != nil {
			newer.effects, newer.since = append(s.effects, newer.effects...), s.since
			continue
		}
		s.entry.pendingSave = s
		c.queue = append(c.queue, s)
	}
	t.endedToRemove = append(ch.removed, t.endedToRemove...)
}

// addToBatch adds the state of one entry. The record of a work that has ended, with none of its runs left,
// takes the place of the work and its progress.
func (t *term) addToBatch(ch *commitBatch, e *entry) {
	id := e.work.ID
	ch.states[e] = e.reportedState()
	if e.needsCreate && !e.isRemovable() {
		e.needsCreate = false
		ch.created = append(ch.created, e)
		ch.txn.Then = append(ch.txn.Then, store.Op{Key: workPrefix + id, Value: encode(e.work)})
		if e.lastRun == 0 && e.occurrencesBegun <= 1 && !e.state.Final() {
			return // a work without a state has not started
		}
	}
	if !e.isRemovable() {
		ch.txn.Then = append(ch.txn.Then, store.Op{Key: statePrefix + id, Value: encode(e.toProgress())})
		return
	}
	if e.endQueued {
		return
	}
	e.endQueued = true
	end := Ended{State: e.state, At: time.Now(), Queue: e.work.Queue.Name}
	ch.finished = append(ch.finished, e)
	ch.txn.Then = append(ch.txn.Then,
		store.Op{Delete: true, Key: workPrefix + id},
		store.Op{Delete: true, Key: statePrefix + id},
		store.Op{Key: endedPrefix + id, Value: encode(&end)})
}

// reportedState is what a caller may be told of the state once it is durable.
func (e *entry) reportedState() job.WorkState {
	if !e.state.Final() && e.started {
		return job.WorkRunning
	}
	return e.state
}

// isRemovable reports whether the work has ended and its record may go. A completed one waits for nothing;
// of the others all runs must have ended, so that a successor goes on stopping them.
func (e *entry) isRemovable() bool {
	return e.state == job.WorkCompleted || (e.state.Final() && e.activeRuns == 0)
}

// onCommitted runs on the loop after a commit.
func (t *term) onCommitted(ch *commitBatch, revision int64, took time.Duration) {
	t.committer.inFlight--
	ch.stream.inFlight, ch.stream.revision = false, revision
	t.committer.backoff.Reset()
	t.o.Metrics.Histogram("dispatch.commitMillis").Update(took.Milliseconds())
	for e, state := range ch.states {
		e.durableState, e.committing = state, false
	}
	for _, e := range ch.finished {
		delete(t.entries, e.work.ID)
		t.countEnded(e, time.Now())
		t.addEnded(e.work.ID, Ended{State: e.state, At: time.Now(), Queue: e.work.Queue.Name})
		t.log.Info("dispatch: work ended", zap.String("id", e.work.ID), zap.String("queue", e.work.Queue.Name),
			zap.String("state", string(e.state)), zap.Duration("took", time.Since(e.work.Accepted)),
			zap.Stringer("class", e.class), zap.Duration("beforeGoal", time.Until(e.lastDeadline())))
	}
	for _, e := range ch.created {
		e.waiters = nil
	}
	for _, s := range ch.saves {
		for _, f := range s.effects {
			f()
		}
	}
}

func (t *term) addEnded(id string, end Ended) {
	if _, known := t.ended[id]; known {
		return
	}
	t.ended[id] = end
	t.endedOrder = append(t.endedOrder, id)
}

// commit sends a transaction until its outcome is certain, and gives the revision of its lane's key after
// it. An answer that was lost is resolved by trying again: the number in that key tells whether an
// earlier try went through, and once a later commit has changed it, no earlier try ever can.
func (t *term) commit(ch *commitBatch, before int64) (int64, error) {
	b := retry.New(retry.Bounds(commitRetryMin, commitRetryMax))
	for first := true; ; first = false {
		ctx, cancel := context.WithTimeout(t.ctx, storeTimeout)
		res, err := t.o.Store.Txn(ctx, ch.txn)
		if err == nil && !res.Succeeded {
			var revision int64
			if revision, err = t.resolve(ctx, ch, &res); err == nil {
				cancel()
				return revision, nil
			}
		}
		cancel()
		switch {
		case err == nil:
			return res.Revision, nil
		case errors.Is(err, errTermClosed):
			return 0, err
		case t.ctx.Err() != nil:
			return 0, t.ctx.Err()
		}
		t.o.Metrics.Counter("dispatch.commitRetries").Inc(1)
		if first && errors.Is(err, store.ErrNotSent) {
			t.log.Warn("dispatch: commit declined", zap.Int64("after", before), zap.Error(err))
			return 0, err
		}
		t.log.Warn("dispatch: commit without an answer", zap.Int64("after", before), zap.Error(err))
		retry.Sleep(t.ctx, b.Next())
	}
}

// resolve tells whether a refused transaction had gone through at an earlier try.
func (t *term) resolve(ctx context.Context, ch *commitBatch, res *store.TxnResult) (int64, error) {
	found := res.Existing
	if len(found) == 0 {
		r, err := t.o.Store.Range(ctx, store.Range{Key: ch.stream.key})
		if err != nil {
			return 0, err
		}
		found = r.Pairs
	}
	for i := range found {
		if found[i].Key == ch.stream.key && bytes.Equal(found[i].Value, ch.marker) {
			return found[i].ModRevision, nil
		}
	}
	return 0, errTermClosed
}
