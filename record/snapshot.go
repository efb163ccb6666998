package record

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"turmericgap/store"
	"turmericgap/store/retry"
)

// snapshotRequest holds the state that the owner passed to Snapshot.
type snapshotRequest struct{ records []Record }

// snapshot is a snapshot that is being written. Its key prefix contains the writer's identity, so that a delayed
// request can never write a part into another writer's snapshot.
type snapshot struct {
	records      []Record
	firstSegment uint64 // the first segment that the snapshot does not cover
	generation   string
	parts        uint64
	bytes        int
	encodedPart  []byte // the part that is not yet durable
	partRecords  int    // number of records in encodedPart
	notBefore    time.Time
	backoff      *retry.Backoff
}

// SnapshotDue reports whether the owner should call Snapshot.
func (j *Journal) SnapshotDue() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.snapshotDue && !j.snapshotPending
}

// Snapshot requests a snapshot with the given state, which must reflect exactly the records accepted so far: all
// accepted records and no rejected ones. It must be called on the goroutine that calls Append, and the records must
// not be modified afterwards. The journal writes the snapshot in the background and then deletes the segments and the
// snapshot that it replaces.
func (j *Journal) Snapshot(records []Record) error {
	for i := range records {
		if n := recordSize(&records[i]); n > j.groupBytes-blockOverheadBytes {
			return fmt.Errorf("record %q of %d bytes: %w", records[i].Key, n, ErrTooLarge)
		}
	}
	j.mu.Lock()
	busy := j.snapshotPending
	j.snapshotPending = true
	j.mu.Unlock()
	if busy {
		return ErrBusy
	}
	_, err := j.queue.add(entry{snapshot: &snapshotRequest{records}, done: func(error) {}})
	if err != nil {
		j.setSnapshotPending(false)
	}
	return err
}

func recordSize(r *Record) int { return len(r.Kind) + len(r.Key) + len(r.Data) + recordOverheadBytes }

func (j *Journal) setSnapshotPending(on bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.snapshotPending = on
}

// startSnapshot is called when all entries before the request are durable and none after it has been sent, so the
// next segment is the first one that the snapshot does not cover.
func (j *Journal) startSnapshot(c *snapshotRequest) {
	j.snap = &snapshot{
		records:      c.records,
		firstSegment: j.nextSegment,
		generation:   number(j.head.Number+1) + "-" + j.writer,
		backoff:      retry.New(),
	}
	j.snap.notBefore = time.Now().Add(j.snapLimiter.Reserve().Delay())
}

// snapshotStep performs one write: the next part, or the head if all parts are durable.
func (j *Journal) snapshotStep() error {
	s := j.snap
	if s.encodedPart == nil && (len(s.records) > 0 || s.parts == 0) {
		if err := j.encodePart(s); err != nil {
			return err
		}
	}
	var done bool
	var err error
	if s.encodedPart != nil {
		done, err = j.writePart(s)
	} else {
		done, err = j.writeHead(s)
	}
	if err != nil {
		j.log.Warn("journal: snapshot failed", zap.String("generation", s.generation), zap.Error(err))
		return err
	}
	pause := time.Duration(0)
	if done {
		s.backoff.Reset()
	} else {
		pause = s.backoff.Next()
	}
	s.notBefore = time.Now().Add(max(pause, j.snapLimiter.Reserve().Delay()))
	return nil
}

func (j *Journal) encodePart(s *snapshot) error {
	size := 0
	s.partRecords = 0
	for s.partRecords < len(s.records) {
		size += recordSize(&s.records[s.partRecords])
		if size > j.groupBytes-blockOverheadBytes {
			break
		}
		s.partRecords++
	}
	raw, err := encodeRecords(s.records[:s.partRecords])
	if err != nil {
		return err
	}
	s.encodedPart, err = encodeBlock(blockHeader{Writer: j.writer, Number: s.parts, Count: s.partRecords}, raw)
	return err
}

// writePart writes the encoded part. Repeating the write is safe, because only this writer uses the key prefix.
func (j *Journal) writePart(s *snapshot) (bool, error) {
	res, err := j.txn(store.Txn{
		Compares: []store.Compare{{Key: j.epochKey, Target: store.ModRevision, Revision: j.epochRevision}},
		Then:     []store.Op{{Key: j.keys.part(s.generation, s.parts), Value: s.encodedPart}},
	})
	if err != nil {
		return false, nil
	}
	if !res.Succeeded {
		return false, ErrFenced
	}
	s.parts++
	s.bytes += len(s.encodedPart)
	s.records = s.records[s.partRecords:]
	s.encodedPart = nil
	return true, nil
}

// writeHead makes the snapshot the current one and deletes, in the same transaction, the segments and snapshots that
// it replaces. The compare on the head's revision prevents a delayed duplicate request from restoring an older head,
// whose snapshot and segments no longer exist.
func (j *Journal) writeHead(s *snapshot) (bool, error) {
	next := head{Writer: j.writer, Generation: s.generation, Number: j.head.Number + 1, Parts: s.parts, First: s.firstSegment}
	value, err := encodeHead(next)
	if err != nil {
		return false, err
	}
	prefix := j.keys.parts(s.generation)
	res, err := j.txn(store.Txn{
		Compares: []store.Compare{
			{Key: j.epochKey, Target: store.ModRevision, Revision: j.epochRevision},
			{Key: j.keys.head(), Target: store.ModRevision, Revision: j.headRevision},
		},
		Then: []store.Op{
			{Key: j.keys.head(), Value: value},
			deleteRange(j.keys.segments(), j.keys.segment(s.firstSegment)),
			deleteRange(j.keys.snapshots(), prefix),
			deleteRange(store.PrefixEnd(prefix), store.PrefixEnd(j.keys.snapshots())),
		},
	})
	if err == nil && res.Succeeded {
		j.finishSnapshot(s, next, res.Revision)
		return true, nil
	}
	if store.NotApplied(err) {
		return false, nil
	}
	return j.confirmHead(s, next)
}

// confirmHead checks whether a head write whose response was lost, or whose compare failed, has taken effect.
func (j *Journal) confirmHead(s *snapshot, want head) (bool, error) {
	epoch, err := j.readKey(j.ctx, j.epochKey)
	if err != nil {
		return false, ErrClosed
	}
	p, err := j.readKey(j.ctx, j.keys.head())
	if err != nil {
		return false, ErrClosed
	}
	if p.ModRevision != 0 {
		if found, err := decodeHead(p.Value); err == nil && found == want {
			j.finishSnapshot(s, want, p.ModRevision)
			return true, nil
		}
	}
	if epoch.ModRevision != j.epochRevision || p.ModRevision != j.headRevision {
		return false, ErrFenced
	}
	return false, nil
}

func (j *Journal) finishSnapshot(s *snapshot, h head, revision int64) {
	covered := int(s.firstSegment - j.head.First)
	removed := 0
	for _, n := range j.segmentSizes[:covered] {
		removed += n
	}
	j.segmentSizes = append([]int(nil), j.segmentSizes[covered:]...)
	j.head, j.headRevision, j.snap = h, revision, nil
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stats.Snapshots++
	j.stats.SnapshotBytes = s.bytes
	j.stats.Segments -= covered
	j.stats.SegmentBytes -= removed
	j.updateSnapshotDue()
	j.snapshotPending = false
	j.metrics.Counter(metricSnapshots).Inc(1)
}
