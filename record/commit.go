package record

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"turmericgap/store"
	"turmericgap/store/retry"
)

// run commits one group after the other, with one step of a snapshot between them.
func (j *Journal) run() {
	for j.result == nil && j.waitWork() {
		j.result = j.step()
	}
	rest := j.result
	if rest == nil {
		rest = ErrClosed
	}
	j.queue.end(rest)
	for left := j.queue.take(j.queueBytes); len(left) > 0; left = j.queue.take(j.queueBytes) {
		j.queue.release(left)
		for _, e := range left {
			e.done(rest)
		}
	}
}

// waitWork waits for entries or a step of a snapshot that is due; false ends the journal.
func (j *Journal) waitWork() bool {
	for {
		if !j.queue.empty() {
			return true
		}
		select {
		case <-j.closing:
			return false
		default:
		}
		var due <-chan time.Time
		if j.snap != nil {
			wait := time.Until(j.snap.notBefore)
			if wait <= 0 {
				return true
			}
			due = time.After(wait)
		}
		select {
		case <-j.queue.ready:
		case <-due:
		case <-j.closing:
		}
	}
}

// step takes its write allowance before its group, so that a group holds all that came meanwhile.
func (j *Journal) step() error {
	if j.queue.writes() && j.limiter.Wait(j.ctx) != nil {
		return ErrClosed
	}
	if group := j.queue.take(j.groupBytes - blockBytes); len(group) > 0 {
		if err := j.commitGroup(group); err != nil {
			return err
		}
	}
	if j.snap == nil || time.Until(j.snap.notBefore) > 0 {
		return nil
	}
	return j.snapshotStep()
}

func (j *Journal) commitGroup(group []entry) error {
	if len(group) == 1 && group[0].cut != nil {
		j.startSnapshot(group[0].cut)
		return nil
	}
	count, raw := 0, make([][]byte, 0, len(group))
	for _, e := range group {
		count += e.count
		raw = append(raw, e.raw)
	}
	var err error
	if count > 0 {
		err = j.commit(count, raw)
	}
	j.queue.release(group)
	for _, e := range group {
		e.done(err)
	}
	if !errors.Is(err, ErrUnknown) {
		return err
	}
	// What was queued behind the group was never sent.
	if j.ctx.Err() != nil {
		return ErrClosed
	}
	return ErrFenced
}

// commit writes one segment and returns nil only when it is durable.
func (j *Journal) commit(count int, raw [][]byte) error {
	value, err := encodeBlock(blockHeader{Writer: j.writer, Number: j.next, Count: count}, raw...)
	if err != nil {
		return err
	}
	started := time.Now()
	j.setInFlight(started)
	err = j.write(value)
	j.setInFlight(time.Time{})
	j.count(func(s *Stats) { s.Unresolved = false })
	if err != nil {
		j.log.Warn("journal: commit failed", zap.Uint64("segment", j.next), zap.Error(err))
		return err
	}
	j.next++
	j.addSegment(len(value))
	took := time.Since(started)
	j.count(func(s *Stats) {
		s.Commits++
		s.Records += int64(count)
		s.LastCommit = took
	})
	j.metrics.Counter(metricCommits).Inc(1)
	j.metrics.Counter(metricRecords).Inc(int64(count))
	j.metrics.Histogram(metricCommitMillis).Update(took.Milliseconds())
	return nil
}

func (j *Journal) setInFlight(t time.Time) {
	j.mu.Lock()
	j.inFlight = t
	j.mu.Unlock()
	j.measurePending()
}

func (j *Journal) measurePending() {
	s := j.Stats()
	j.metrics.Gauge(metricPendingMillis).Update(s.Pending.Milliseconds())
	j.metrics.Gauge(metricQueued).Update(int64(s.Queued))
}

// addSegment counts a segment that recovery would have to read.
func (j *Journal) addSegment(size int) {
	j.sizes = append(j.sizes, size)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stats.Segments++
	j.stats.SegmentBytes += size
	j.measureSegments()
}

func (j *Journal) measureSegments() {
	j.due = j.stats.Segments >= j.maxSegments || j.stats.SegmentBytes >= j.maxSegmentBytes
	j.metrics.Gauge(metricSegments).Update(int64(j.stats.Segments))
}

// verdict is what is known about a segment that was sent.
type verdict int

const (
	written  verdict = iota
	absent           // and it may be sent again
	replaced         // by a newer owner; it was not written and never will be
	lost             // a newer owner has removed what would tell
)

// write sends the segment until its outcome is known. The comparison with the segment's key keeps a
// copy that the network delivers late from being written twice.
func (j *Journal) write(value []byte) error {
	key := j.keys.segment(j.next)
	txn := store.Txn{
		Compares: []store.Compare{
			{Key: j.epochKey, Target: store.ModRevision, Revision: j.epochRevision},
			{Key: key, Target: store.CreateRevision, Revision: 0},
		},
		Then: []store.Op{{Key: key, Value: value}},
	}
	open := false // an earlier try may have taken effect
	b := retry.New()
	for {
		res, err := j.txn(txn)
		switch {
		case err == nil && res.Succeeded:
			return nil
		case err == nil && !open:
			return ErrFenced
		case err == nil || !store.NotApplied(err):
			open = true
			j.noteLost()
			if known, err := j.settle(key); known {
				return err
			}
		}
		j.measurePending()
		j.log.Warn("journal: commit is tried again", zap.Uint64("segment", j.next), zap.Bool("unresolved", open), zap.Error(err))
		if b.Wait(j.ctx) != nil {
			if open {
				return ErrUnknown
			}
			return ErrClosed
		}
	}
}

func (j *Journal) noteLost() {
	j.count(func(s *Stats) { s.Lost++; s.Unresolved = true })
	j.metrics.Counter(metricLost).Inc(1)
}

func (j *Journal) txn(t store.Txn) (store.TxnResult, error) {
	j.count(func(s *Stats) { s.Calls++ })
	ctx, cancel := context.WithTimeout(j.ctx, j.callTimeout)
	defer cancel()
	return j.store.Txn(ctx, t)
}

// settle reads what became of a segment; known is false when it is to be sent again.
func (j *Journal) settle(key string) (known bool, err error) {
	v, err := j.judge(key)
	if err != nil {
		return true, ErrUnknown // only when the journal is closed
	}
	switch v {
	case written:
		return true, nil
	case replaced:
		return true, ErrFenced
	case lost:
		return true, ErrUnknown
	default:
		return false, nil
	}
}

// judge reads the epoch first: once it has moved, nothing of ours can be written any more, and what
// the later reads find stays true. A newer owner may have read our segment, put it into a snapshot
// and removed it; a missing segment proves nothing once the head has passed its number.
func (j *Journal) judge(key string) (verdict, error) {
	epoch, err := j.readKey(j.ctx, j.epochKey)
	if err != nil {
		return lost, err
	}
	p, err := j.readKey(j.ctx, key)
	if err != nil {
		return lost, err
	}
	if p.ModRevision != 0 {
		b, err := decodeBlock(p.Value)
		if err == nil && b.Writer == j.writer {
			return written, nil
		}
		return replaced, nil
	}
	if epoch.ModRevision == j.epochRevision {
		return absent, nil
	}
	p, err = j.readKey(j.ctx, j.keys.head())
	if err != nil {
		return lost, err
	}
	if p.ModRevision == 0 {
		return replaced, nil
	}
	if h, err := decodeHead(p.Value); err != nil || h.First > j.next {
		return lost, nil
	}
	return replaced, nil
}
