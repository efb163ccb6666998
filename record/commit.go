package record

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"turmericgap/store"
	"turmericgap/store/retry"
)

// run commits groups until the journal ends. It writes at most one part of a snapshot between two groups.
func (j *Journal) run() {
	for j.runErr == nil && j.waitForWork() {
		j.runErr = j.step()
	}
	closeErr := j.runErr
	if closeErr == nil {
		closeErr = ErrClosed
	}
	j.queue.close(closeErr)
	for group := j.queue.nextGroup(j.queueBytes); len(group) > 0; group = j.queue.nextGroup(j.queueBytes) {
		j.queue.release(group)
		for _, e := range group {
			e.done(closeErr)
		}
	}
}

// waitForWork blocks until entries are queued or a snapshot write is due. It returns false when the journal is
// closed and its queue is empty.
func (j *Journal) waitForWork() bool {
	for {
		if !j.queue.isEmpty() {
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

// step commits the next group and performs the next snapshot write, if due. It waits for the rate limiter before it
// takes the group, so that the group includes the entries queued meanwhile.
func (j *Journal) step() error {
	if j.queue.needsWrite() && j.limiter.Wait(j.ctx) != nil {
		return ErrClosed
	}
	if group := j.queue.nextGroup(j.groupBytes - blockOverheadBytes); len(group) > 0 {
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
	if len(group) == 1 && group[0].snapshot != nil {
		j.startSnapshot(group[0].snapshot)
		return nil
	}
	count, raw := 0, make([][]byte, 0, len(group))
	for _, e := range group {
		count += e.count
		raw = append(raw, e.encoded)
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
	// The entries queued after this group were never sent, so their outcome is known.
	if j.ctx.Err() != nil {
		return ErrClosed
	}
	return ErrFenced
}

// commit writes one segment and returns nil only if the segment is durable.
func (j *Journal) commit(count int, raw [][]byte) error {
	value, err := encodeBlock(blockHeader{Writer: j.writer, Number: j.nextSegment, Count: count}, raw...)
	if err != nil {
		return err
	}
	started := time.Now()
	j.setInFlight(started)
	err = j.write(value)
	j.setInFlight(time.Time{})
	j.updateStats(func(s *Stats) { s.Unresolved = false })
	if err != nil {
		j.log.Warn("journal: commit failed", zap.Uint64("segment", j.nextSegment), zap.Error(err))
		return err
	}
	j.nextSegment++
	j.addSegment(len(value))
	took := time.Since(started)
	j.updateStats(func(s *Stats) {
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
	j.updatePendingMetrics()
}

func (j *Journal) updatePendingMetrics() {
	s := j.Stats()
	j.metrics.Gauge(metricPendingMillis).Update(s.Pending.Milliseconds())
	j.metrics.Gauge(metricQueued).Update(int64(s.Queued))
}

// addSegment adds a segment to the totals that decide when the next snapshot is due.
func (j *Journal) addSegment(size int) {
	j.segmentSizes = append(j.segmentSizes, size)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stats.Segments++
	j.stats.SegmentBytes += size
	j.updateSnapshotDue()
}

// updateSnapshotDue updates snapshotDue and the segment metric; the caller holds mu.
func (j *Journal) updateSnapshotDue() {
	j.snapshotDue = j.stats.Segments >= j.maxSegments || j.stats.SegmentBytes >= j.maxSegmentBytes
	j.metrics.Gauge(metricSegments).Update(int64(j.stats.Segments))
}

// segmentOutcome is the known state of a segment that was sent.
type segmentOutcome int

const (
	outcomeWritten segmentOutcome = iota
	outcomeMissing                // not written; it may be sent again
	outcomeFenced                 // not written and never will be, because a newer owner has taken over
	outcomeUnknown                // cannot be determined, because a newer owner's snapshot covers the segment number
)

// write sends the segment until its outcome is known. The compare on the segment's key prevents a delayed duplicate
// request from writing the segment a second time.
func (j *Journal) write(value []byte) error {
	key := j.keys.segment(j.nextSegment)
	txn := store.Txn{
		Compares: []store.Compare{
			{Key: j.epochKey, Target: store.ModRevision, Revision: j.epochRevision},
			{Key: key, Target: store.CreateRevision, Revision: 0},
		},
		Then: []store.Op{{Key: key, Value: value}},
	}
	unresolved := false // an earlier attempt may have taken effect
	b := retry.New()
	for {
		res, err := j.txn(txn)
		switch {
		case err == nil && res.Succeeded:
			return nil
		case err == nil && !unresolved:
			return ErrFenced
		case err == nil || !store.NotApplied(err):
			unresolved = true
			j.countLostAnswer()
			if known, err := j.resolve(key); known {
				return err
			}
		}
		j.updatePendingMetrics()
		j.log.Warn("journal: commit is tried again",
			zap.Uint64("segment", j.nextSegment), zap.Bool("unresolved", unresolved), zap.Error(err))
		if b.Wait(j.ctx) != nil {
			if unresolved {
				return ErrUnknown
			}
			return ErrClosed
		}
	}
}

func (j *Journal) countLostAnswer() {
	j.updateStats(func(s *Stats) { s.Lost++; s.Unresolved = true })
	j.metrics.Counter(metricLost).Inc(1)
}

func (j *Journal) txn(t store.Txn) (store.TxnResult, error) {
	j.updateStats(func(s *Stats) { s.Calls++ })
	ctx, cancel := context.WithTimeout(j.ctx, j.callTimeout)
	defer cancel()
	return j.store.Txn(ctx, t)
}

// resolve determines the outcome of a segment whose response was lost; known is false if it must be sent again.
func (j *Journal) resolve(key string) (known bool, err error) {
	outcome, err := j.readOutcome(key)
	if err != nil {
		return true, ErrUnknown // reads fail only after the journal is closed
	}
	switch outcome {
	case outcomeWritten:
		return true, nil
	case outcomeFenced:
		return true, ErrFenced
	case outcomeUnknown:
		return true, ErrUnknown
	default:
		return false, nil
	}
}

// readOutcome determines whether the segment stored under key was written by this owner. It reads the epoch before the
// segment: once the epoch has changed, this owner's requests can no longer take effect, so the results of the later
// reads remain valid. A newer owner may have included the segment in a snapshot and deleted it, so a missing segment
// proves nothing if head.First is greater than its number.
func (j *Journal) readOutcome(key string) (segmentOutcome, error) {
	epoch, err := j.readKey(j.ctx, j.epochKey)
	if err != nil {
		return outcomeUnknown, err
	}
	p, err := j.readKey(j.ctx, key)
	if err != nil {
		return outcomeUnknown, err
	}
	if p.ModRevision != 0 {
		b, err := decodeBlock(p.Value)
		if err == nil && b.Writer == j.writer {
			return outcomeWritten, nil
		}
		return outcomeFenced, nil
	}
	if epoch.ModRevision == j.epochRevision {
		return outcomeMissing, nil
	}
	p, err = j.readKey(j.ctx, j.keys.head())
	if err != nil {
		return outcomeUnknown, err
	}
	if p.ModRevision == 0 {
		return outcomeFenced, nil
	}
	if h, err := decodeHead(p.Value); err != nil || h.First > j.nextSegment {
		return outcomeUnknown, nil
	}
	return outcomeFenced, nil
}
