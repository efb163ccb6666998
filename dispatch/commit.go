package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"turmericgap/commitstream"
	"turmericgap/job"
	"turmericgap/rpc"
	"turmericgap/store"
	"turmericgap/store/retry"
	"turmericgap/workrecord"
)

// pendingSave is an entry that waits for a commit, with the effects that run after it.
type pendingSave struct {
	entry   *entry
	since   time.Time
	effects []func()
}

// marker is the value of a stream's key; it identifies the last commit.
type marker struct {
	Fence  int64 `msgpack:"f"`
	Number int64 `msgpack:"n"`
}

const (
	// commitOverhead covers two compares and the write of the stream's key.
	commitOverhead = 3
	// maxOpsPerWork is the maximum number of operations for one work: its end deletes two keys and writes one.
	maxOpsPerWork = 3
	// maxBatchBytes is the size from which a commit takes no more works. A large record then delays few others.
	maxBatchBytes = 256 << 10
	// commitRetryMin and commitRetryMax bound the backoff between attempts of a commit.
	commitRetryMin = 10 * time.Millisecond
	commitRetryMax = 250 * time.Millisecond
)

// save adds an entry to the next commit. effect runs on the loop once the entry is durable.
func (t *term) save(e *entry, effect func()) {
	if e.pendingSave == nil {
		e.pendingSave = &pendingSave{entry: e, since: time.Now()}
		t.committer.queue = append(t.committer.queue, e.pendingSave)
	}
	if effect != nil {
		e.pendingSave.effects = append(e.pendingSave.effects, effect)
	}
}

// batch is the content of one commit.
type batch struct {
	stream *commitstream.Stream
	txn    store.Txn
	marker []byte
	// bytes is the size of the values of works in the transaction. alone is true if it may hold one work only.
	bytes    int
	alone    bool
	saves    []*pendingSave
	states   map[*entry]job.WorkState
	finished []*entry
	// created lists the works that the commit creates; removed lists the IDs whose records of ended work it deletes.
	created []*entry
	removed []string
}

func (t *term) sendBatch(b *batch) {
	before, started := b.stream.Revision, time.Now()
	t.wg.Go(func() {
		revision, err := t.commit(b, before)
		switch {
		case errors.Is(err, store.ErrInvalid):
			t.post(func() { t.onRejected(b, err) })
			return
		case errors.Is(err, store.ErrNotSent):
			t.post(func() {
				t.committer.streams.Decline(b.stream, time.Now())
				t.requeueChanges(b)
			})
			return
		}
		if err != nil {
			if t.ctx.Err() == nil {
				t.post(func() { t.loseOwnership("a commit was refused", err) })
			}
			return
		}
		t.post(func() { t.onCommitted(b, revision, time.Since(started)) })
	})
}

// buildBatch builds a transaction from as many pending changes as fit.
func (t *term) buildBatch(stream *commitstream.Stream, number int64) *batch {
	c := &t.committer
	b := &batch{stream: stream, marker: workrecord.Encode(&marker{t.tenure.Fence, number}), states: make(map[*entry]job.WorkState)}
	b.txn.Compares = []store.Compare{
		t.tenure.Compare(),
		{Key: stream.Key, Target: store.ModRevision, Revision: stream.Revision},
	}
	b.txn.Then = []store.Op{{Key: stream.Key, Value: b.marker}}
	var left []*pendingSave
	now := time.Now()
	for _, s := range c.queue {
		full := len(b.txn.Then)+maxOpsPerWork > maxTxnOps-commitOverhead+1 || b.bytes > maxBatchBytes || b.alone
		if !t.canCommit(s.entry, now) || full || s.entry.commitAlone && len(b.saves) > 0 {
			left = append(left, s)
			continue
		}
		t.addToBatch(b, s.entry)
		b.alone = s.entry.commitAlone
		b.saves = append(b.saves, s)
		s.entry.pendingSave, s.entry.inFlight = nil, s
	}
	c.queue = left
	for len(t.endedToRemove) > 0 && !b.alone && len(b.txn.Then) < maxTxnOps-commitOverhead+1 {
		b.txn.Then = append(b.txn.Then, store.Op{Delete: true, Key: workrecord.EndedPrefix + t.endedToRemove[0]})
		b.removed = append(b.removed, t.endedToRemove[0])
		t.endedToRemove = t.endedToRemove[1:]
	}
	return b
}

// onRejected handles a commit that the store will never apply. If it holds several works, each goes into a commit of its
// own next, so that one whose record the store does not take keeps no other back.
func (t *term) onRejected(b *batch, cause error) {
	if len(b.saves) == 0 || b.saves[0].entry.unwritable {
		t.committer.streams.Decline(b.stream, time.Now()) // the next one may be rejected as well
	} else {
		t.committer.streams.Reject(b.stream)
	}
	t.o.Metrics.Counter("dispatch.commitsRejected").Inc(1)
	t.log.Warn("dispatch: commit rejected", zap.Int("works", len(b.saves)), zap.Int("bytes", b.bytes), zap.Error(cause))
	t.requeueChanges(b)
	for _, s := range b.saves {
		s.entry.commitAlone = true
	}
	if len(b.saves) == 1 {
		t.onUnwritable(b.saves[0].entry, b.bytes)
	}
}

// onUnwritable ends a work whose record the store does not take. One that is not durable yet never was accepted.
func (t *term) onUnwritable(e *entry, bytes int) {
	t.log.Error("dispatch: the record of a work cannot be written", zap.String("id", e.work.ID), zap.String("queue", e.work.Queue.Name),
		zap.Int("bytes", bytes), zap.Int("running", e.activeRuns), zap.Bool("accepted", !e.needsCreate))
	t.o.Metrics.Counter("dispatch.recordsUnwritable").Inc(1)
	switch {
	case e.needsCreate:
		t.withdraw(e, &rpc.Fault{Code: rpc.CodeInvalid, Reason: fmt.Sprintf("the record of the submission has %d bytes, more than the store takes", bytes)})
	case !e.state.Final():
		e.failure = workrecord.RecordTooLarge
		t.finish(e, job.WorkFailed)
	}
	e.unwritable = true
}

// requeueChanges queues the changes of a commit again that the store has certainly not applied, merged with newer ones, so
// that a new work among them can still be withdrawn safely. Retrying the same commit instead would keep callers waiting
// until they time out.
func (t *term) requeueChanges(b *batch) {
	c := &t.committer
	for e := range b.states {
		e.inFlight = nil
	}
	for _, e := range b.created {
		e.needsCreate = !e.createdElsewhere
	}
	for _, e := range b.finished {
		e.endQueued = false
	}
	for _, s := range b.saves {
		if newer := s.entry.pendingSave; newer != nil {
			newer.effects, newer.since = append(s.effects, newer.effects...), s.since
			continue
		}
		s.entry.pendingSave = s
		c.queue = append(c.queue, s)
	}
	t.endedToRemove = append(b.removed, t.endedToRemove...)
}

// addToBatch adds the state of one entry. Once a work has ended and none of its runs is left, a record of its end
// replaces the work and its progress.
func (t *term) addToBatch(b *batch, e *entry) {
	id := e.work.ID
	b.states[e] = e.reportedState()
	if e.needsCreate && !e.isRemovable() {
		e.needsCreate = false
		b.created = append(b.created, e)
		b.put(workrecord.WorkPrefix+id, workrecord.Encode(e.work))
		if e.wasRefused {
			b.txn.Then = append(b.txn.Then, store.Op{Delete: true, Key: workrecord.RefusedPrefix + id})
		}
		if e.lastRun == 0 && e.occurrencesBegun <= 1 && !e.state.Final() {
			return // a work without progress has not started
		}
	}
	if !e.isRemovable() {
		raw := workrecord.Encode(e.toProgress(t.o.MaxRecordBytes, true))
		if len(raw) > workrecord.Usable(t.o.MaxRecordBytes) {
			raw = workrecord.Encode(e.toProgress(t.o.MaxRecordBytes, false))
		}
		e.room.Recorded(len(raw))
		if pause := workrecord.Pause(len(raw)); pause > 0 {
			e.commitAfter = time.Now().Add(pause)
		}
		b.put(workrecord.StatePrefix+id, raw)
		return
	}
	if e.endQueued {
		return
	}
	e.endQueued = true
	end := workrecord.Ended{State: e.state, At: time.Now(), Queue: e.work.Queue.Name, Account: e.work.Account, Failure: e.failure}
	b.finished = append(b.finished, e)
	b.txn.Then = append(b.txn.Then,
		store.Op{Delete: true, Key: workrecord.WorkPrefix + id},
		store.Op{Delete: true, Key: workrecord.StatePrefix + id},
		store.Op{Key: workrecord.EndedPrefix + id, Value: workrecord.Encode(&end)})
}

// put adds the record of a work.
func (b *batch) put(key string, value []byte) {
	b.txn.Then = append(b.txn.Then, store.Op{Key: key, Value: value})
	b.bytes += len(value)
}

// reportedState is the state that callers see once it is durable.
func (e *entry) reportedState() job.WorkState {
	if !e.state.Final() && e.started {
		return job.WorkRunning
	}
	return e.state
}

// isRemovable reports whether the work has ended and may be replaced by its record. A completed work needs nothing
// more. For others all runs must have ended, so that a successor continues to stop them.
func (e *entry) isRemovable() bool {
	return e.state == job.WorkCompleted || (e.state.Final() && e.activeRuns == 0)
}

// onCommitted handles a successful commit on the loop.
func (t *term) onCommitted(b *batch, revision int64, took time.Duration) {
	t.committer.streams.Succeed(b.stream, revision)
	t.o.Metrics.Histogram("dispatch.commitMillis").Update(took.Milliseconds())
	for e, state := range b.states {
		e.durableState, e.inFlight, e.commitAlone = state, nil, false
	}
	for _, e := range b.finished {
		delete(t.entries, e.work.ID)
		t.memory.Remove(e.work.ID)
		t.countEnded(e, time.Now())
		t.addEnded(e.work.ID, workrecord.Ended{State: e.state, At: time.Now(), Queue: e.work.Queue.Name, Account: e.work.Account, Failure: e.failure})
		t.log.Info("dispatch: work ended", zap.String("id", e.work.ID), zap.String("queue", e.work.Queue.Name),
			zap.String("state", string(e.state)), zap.String("failure", string(e.failure)), zap.Duration("took", time.Since(e.work.Accepted)),
			zap.Stringer("class", e.class), zap.Duration("beforeGoal", time.Until(e.lastDue())))
	}
	for _, e := range b.created {
		e.waiters = nil
	}
	for _, s := range b.saves {
		for _, f := range s.effects {
			f()
		}
	}
}

func (t *term) addEnded(id string, end workrecord.Ended) {
	if _, known := t.ended[id]; known {
		return
	}
	t.ended[id] = end
	t.endedOrder = append(t.endedOrder, id)
}

// commit sends a transaction until its outcome is certain and returns the resulting revision of its stream's key. After
// a lost answer it tries again: the marker in the key shows whether an earlier attempt was applied, and once a later
// commit has changed the key, no earlier attempt can be applied any more.
func (t *term) commit(b *batch, before int64) (int64, error) {
	backoff := retry.New(retry.Bounds(commitRetryMin, commitRetryMax))
	for first := true; ; first = false {
		ctx, cancel := context.WithTimeout(t.ctx, storeTimeout)
		sent := time.Now()
		res, err := t.o.Store.Txn(ctx, b.txn)
		if err == nil && !res.Succeeded {
			var revision int64
			if revision, err = t.resolve(ctx, b, &res); err == nil {
				cancel()
				return revision, nil
			}
		}
		cancel()
		switch {
		case err == nil:
			t.tenure.RecordKept(sent)
			return res.Revision, nil
		case errors.Is(err, errTermClosed), errors.Is(err, store.ErrInvalid):
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
		retry.Sleep(t.ctx, backoff.Next())
	}
}

// resolve returns the revision of the stream's key if an earlier attempt of a rejected transaction was applied, and
// errTermClosed if none was.
func (t *term) resolve(ctx context.Context, b *batch, res *store.TxnResult) (int64, error) {
	found := res.Existing
	if len(found) == 0 {
		r, err := t.o.Store.Range(ctx, store.Range{Key: b.stream.Key})
		if err != nil {
			return 0, err
		}
		found = r.Pairs
	}
	for i := range found {
		if found[i].Key == b.stream.Key && bytes.Equal(found[i].Value, b.marker) {
			return found[i].ModRevision, nil
		}
	}
	return 0, errTermClosed
}
