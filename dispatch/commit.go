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

// saving is an entry whose state waits for a commit, with what is to happen after it.
type saving struct {
	e       *entry
	since   time.Time
	effects []func()
}

// commitMark is the value of a lane's key; it tells whose commit was the last.
type commitMark struct {
	Fence  int64 `msgpack:"f"`
	Number int64 `msgpack:"n"`
}

const (
	// commitOverhead is two conditions and the write of the lane's key.
	commitOverhead = 3
	// opsMost is how many entries of one work a commit may need: its end removes two and writes one.
	opsMost = 3
	// commitAgain and commitAgainMost bound the pauses between tries of one commit.
	commitAgain     = 10 * time.Millisecond
	commitAgainMost = 250 * time.Millisecond
)

// save marks an entry for the next commit; effect runs on the loop once it is durable.
func (t *term) save(e *entry, effect func()) {
	if e.saving == nil {
		e.saving = &saving{e: e, since: time.Now()}
		t.commits.queue = append(t.commits.queue, e.saving)
	}
	if effect != nil {
		e.saving.effects = append(e.saving.effects, effect)
	}
}

// afterSaved runs effect once the present state of an entry is durable.
func (t *term) afterSaved(e *entry, effect func()) { t.save(e, effect) }

// change is what one commit writes.
type change struct {
	lane   *lane
	txn    store.Txn
	mark   []byte
	saved  []*saving
	shown  map[*entry]job.WorkState
	closed []*entry
	// created lists works that the commit makes durable, removed the ended records that it takes away.
	created []*entry
	removed []string
}

func (t *term) send(ch *change) {
	before, started := ch.lane.revision, time.Now()
	t.commits.sent, ch.lane.sent = started, started
	t.wg.Go(func() {
		revision, err := t.commit(ch, before)
		if errors.Is(err, store.ErrNotSent) {
			t.post(func() { t.declined(ch) })
			return
		}
		if err != nil {
			if t.ctx.Err() == nil {
				t.post(func() { t.lose("a commit was refused", err) })
			}
			return
		}
		t.post(func() { t.committed(ch, revision, time.Since(started)) })
	})
}

// collect turns as many changes as one transaction holds into operations.
func (t *term) collect(l *lane) *change {
	c := &t.commits
	ch := &change{lane: l, mark: encode(&commitMark{t.tenure.Fence, c.number}), shown: make(map[*entry]job.WorkState)}
	ch.txn.Compares = []store.Compare{
		t.tenure.Compare(),
		{Key: l.key, Target: store.ModRevision, Revision: l.revision},
	}
	ch.txn.Then = []store.Op{{Key: l.key, Value: ch.mark}}
	var left []*saving
	now := time.Now()
	for _, s := range c.queue {
		if !t.sendable(s.e, now) || len(ch.txn.Then)+opsMost > mostOps-commitOverhead+1 {
			left = append(left, s)
			continue
		}
		t.put(ch, s.e)
		ch.saved = append(ch.saved, s)
		s.e.saving, s.e.writing = nil, true
	}
	c.queue = left
	for len(t.removed) > 0 && len(ch.txn.Then) < mostOps-commitOverhead+1 {
		ch.txn.Then = append(ch.txn.Then, store.Op{Delete: true, Key: endedPrefix + t.removed[0]})
		ch.removed = append(ch.removed, t.removed[0])
		t.removed = t.removed[1:]
	}
	return ch
}

// declined takes back a commit that the store surely did not carry out. The changes wait again, with what
// has come since, so that a new work among them can still be given up for certain; retried as it was, the
// commit would keep its callers until they have gone.
func (t *term) declined(ch *change) {
	c := &t.commits
	c.busy--
	ch.lane.busy = false
	c.again = time.Now().Add(c.declines.Next())
	for e := range ch.shown {
		e.writing = false
	}
	for _, e := range ch.created {
		e.unwritten = !e.stored
	}
	for _, e := range ch.closed {
		e.settled = false
	}
	for _, s := range ch.saved {
		if newer := s.e.saving; newer != nil {
			newer.effects, newer.since = append(s.effects, newer.effects...), s.since
			continue
		}
		s.e.saving = s
		c.queue = append(c.queue, s)
	}
	t.removed = append(ch.removed, t.removed...)
}

// put adds the state of one entry. The record of a work that has ended, with none of its runs left,
// takes the place of the work and its progress.
func (t *term) put(ch *change, e *entry) {
	id := e.work.ID
	ch.shown[e] = e.visible()
	if e.unwritten && !e.over() {
		e.unwritten = false
		ch.created = append(ch.created, e)
		ch.txn.Then = append(ch.txn.Then, store.Op{Key: workPrefix + id, Value: encode(e.work)})
		if e.runs == 0 && e.begun <= 1 && !e.state.Final() {
			return // a work without a state has not started
		}
	}
	if !e.over() {
		ch.txn.Then = append(ch.txn.Then, store.Op{Key: statePrefix + id, Value: encode(e.record())})
		return
	}
	if e.settled {
		return
	}
	e.settled = true
	end := Ended{State: e.state, At: time.Now(), Queue: e.work.Queue.Name}
	ch.closed = append(ch.closed, e)
	ch.txn.Then = append(ch.txn.Then,
		store.Op{Delete: true, Key: workPrefix + id},
		store.Op{Delete: true, Key: statePrefix + id},
		store.Op{Key: endedPrefix + id, Value: encode(&end)})
}

// visible is what a caller may be told of the state once it is durable.
func (e *entry) visible() job.WorkState {
	if !e.state.Final() && e.started {
		return job.WorkRunning
	}
	return e.state
}

// over reports whether the work has ended and its record may go. A completed one waits for nothing;
// of the others all runs must have ended, so that a successor goes on stopping them.
func (e *entry) over() bool {
	return e.state == job.WorkCompleted || (e.state.Final() && e.held == 0)
}

// committed runs on the loop after a commit.
func (t *term) committed(ch *change, revision int64, took time.Duration) {
	t.commits.busy--
	ch.lane.busy, ch.lane.revision = false, revision
	t.commits.declines.Reset()
	t.o.Metrics.Histogram("dispatch.commitMillis").Update(took.Milliseconds())
	for e, state := range ch.shown {
		e.shown, e.writing = state, false
	}
	for _, e := range ch.closed {
		delete(t.entries, e.work.ID)
		t.judgeEnded(e, time.Now())
		t.noteEnded(e.work.ID, Ended{State: e.state, At: time.Now(), Queue: e.work.Queue.Name})
		t.log.Info("dispatch: work ended", zap.String("id", e.work.ID), zap.String("queue", e.work.Queue.Name),
			zap.String("state", string(e.state)), zap.Duration("took", time.Since(e.work.Accepted)),
			zap.Stringer("class", e.class), zap.Duration("beforeGoal", time.Until(e.lastGoal())))
	}
	for _, e := range ch.created {
		e.waiters = nil
	}
	for _, s := range ch.saved {
		for _, f := range s.effects {
			f()
		}
	}
}

func (t *term) noteEnded(id string, end Ended) {
	if _, known := t.ended[id]; known {
		return
	}
	t.ended[id] = end
	t.endedOrder = append(t.endedOrder, id)
}

// commit sends a transaction until its outcome is certain, and gives the revision of its lane's key after
// it. An answer that was lost is resolved by trying again: the number in that key tells whether an
// earlier try went through, and once a later commit has changed it, no earlier try ever can.
func (t *term) commit(ch *change, before int64) (int64, error) {
	b := retry.New(retry.Bounds(commitAgain, commitAgainMost))
	for first := true; ; first = false {
		ctx, cancel := context.WithTimeout(t.ctx, storeWithin)
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
func (t *term) resolve(ctx context.Context, ch *change, res *store.TxnResult) (int64, error) {
	found := res.Existing
	if len(found) == 0 {
		r, err := t.o.Store.Range(ctx, store.Range{Key: ch.lane.key})
		if err != nil {
			return 0, err
		}
		found = r.Pairs
	}
	for i := range found {
		if found[i].Key == ch.lane.key && bytes.Equal(found[i].Value, ch.mark) {
			return found[i].ModRevision, nil
		}
	}
	return 0, errTermClosed
}
