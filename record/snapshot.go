package record

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"turmericgap/store"
	"turmericgap/store/retry"
)

// cut is a state that the owner handed over.
type cut struct{ records []Record }

// snapshot is one that is being written. Its folder bears the writer's identity: a part that the
// network delivers late can never land in the snapshot of another.
type snapshot struct {
	records    []Record
	first      uint64 // the first segment that it does not cover
	generation string
	parts      uint64
	bytes      int
	part       []byte // encoded and not yet durable
	taken      int    // of records, by part
	notBefore  time.Time
	backoff    *retry.Backoff
}

// SnapshotDue reports whether the owner should hand over its state with Snapshot.
func (j *Journal) SnapshotDue() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.due && !j.cutting
}

// Snapshot takes the owner's state as the effect of exactly the records that were appended so far,
// accepted ones all, refused ones none. The goroutine that appends calls it between two Appends;
// the records must not be changed after. The journal writes them in the background and then removes
// what they replace.
func (j *Journal) Snapshot(records []Record) error {
	for i := range records {
		if n := recordSize(&records[i]); n > j.groupBytes-blockBytes {
			return fmt.Errorf("record %q of %d bytes: %w", records[i].Key, n, ErrTooLarge)
		}
	}
	j.mu.Lock()
	busy := j.cutting
	j.cutting = true
	j.mu.Unlock()
	if busy {
		return ErrBusy
	}
	_, err := j.queue.add(entry{cut: &cut{records}, done: func(error) {}})
	if err != nil {
		j.setCutting(false)
	}
	return err
}

func recordSize(r *Record) int { return len(r.Kind) + len(r.Key) + len(r.Data) + recordBytes }

func (j *Journal) setCutting(on bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.cutting = on
}

// startSnapshot runs when all entries before the cut are durable and none after it was sent, so
// that the next segment is the first that the state does not hold.
func (j *Journal) startSnapshot(c *cut) {
	j.snap = &snapshot{
		records:    c.records,
		first:      j.next,
		generation: number(j.head.Number+1) + "-" + j.writer,
		backoff:    retry.New(),
	}
	j.snap.notBefore = time.Now().Add(j.snapLimiter.Reserve().Delay())
}

// snapshotStep makes one write: a part, or the head when all parts are durable.
func (j *Journal) snapshotStep() error {
	s := j.snap
	if s.part == nil && (len(s.records) > 0 || s.parts == 0) {
		if err := j.encodePart(s); err != nil {
			return err
		}
	}
	var done bool
	var err error
	if s.part != nil {
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
	s.taken = 0
	for s.taken < len(s.records) {
		size += recordSize(&s.records[s.taken])
		if size > j.groupBytes-blockBytes {
			break
		}
		s.taken++
	}
	raw, err := encodeRecords(s.records[:s.taken])
	if err != nil {
		return err
	}
	s.part, err = encodeBlock(blockHeader{Writer: j.writer, Number: s.parts, Count: s.taken}, raw)
	return err
}

// writePart may send the same part again without looking: only this writer uses the folder.
func (j *Journal) writePart(s *snapshot) (bool, error) {
	res, err := j.txn(store.Txn{
		Compares: []store.Compare{{Key: j.epochKey, Target: store.ModRevision, Revision: j.epochRevision}},
		Then:     []store.Op{{Key: j.keys.part(s.generation, s.parts), Value: s.part}},
	})
	if err != nil {
		return false, nil
	}
	if !res.Succeeded {
		return false, ErrFenced
	}
	s.parts++
	s.bytes += len(s.part)
	s.records = s.records[s.taken:]
	s.part = nil
	return true, nil
}

// writeHead makes the snapshot the newest and removes, in the same transaction, all that it
// replaces. The comparison with the head's revision keeps a copy that the network delivers late
// from bringing back an older head, whose snapshot and segments are gone.
func (j *Journal) writeHead(s *snapshot) (bool, error) {
	next := head{Writer: j.writer, Generation: s.generation, Number: j.head.Number + 1, Parts: s.parts, First: s.first}
	value, err := encodeHead(next)
	if err != nil {
		return false, err
	}
	folder := j.keys.parts(s.generation)
	res, err := j.txn(store.Txn{
		Compares: []store.Compare{
			{Key: j.epochKey, Target: store.ModRevision, Revision: j.epochRevision},
			{Key: j.keys.head(), Target: store.ModRevision, Revision: j.headRevision},
		},
		Then: []store.Op{
			{Key: j.keys.head(), Value: value},
			remove(j.keys.segments(), j.keys.segment(s.first)),
			remove(j.keys.snapshots(), folder),
			remove(store.PrefixEnd(folder), store.PrefixEnd(j.keys.snapshots())),
		},
	})
	if err == nil && res.Succeeded {
		j.finishSnapshot(s, next, res.Revision)
		return true, nil
	}
	if store.NotApplied(err) {
		return false, nil
	}
	return j.findHead(s, next)
}

// findHead looks whether a head whose answer was lost, or whose comparison failed, is in force.
func (j *Journal) findHead(s *snapshot, want head) (bool, error) {
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
	covered := int(s.first - j.head.First)
	removed := 0
	for _, n := range j.sizes[:covered] {
		removed += n
	}
	j.sizes = append([]int(nil), j.sizes[covered:]...)
	j.head, j.headRevision, j.snap = h, revision, nil
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stats.Snapshots++
	j.stats.SnapshotBytes = s.bytes
	j.stats.Segments -= covered
	j.stats.SegmentBytes -= removed
	j.measureSegments()
	j.cutting = false
	j.metrics.Counter(metricSnapshots).Inc(1)
}
