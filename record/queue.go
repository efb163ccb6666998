package record

import (
	"cmp"
	"slices"
	"sync"
)

// entry is one Append, a Flush marker, or a snapshot request.
type entry struct {
	seq     uint64
	encoded []byte
	count   int
	done    func(error)
	// snapshot is the state after all earlier entries; it is never in the same group as records.
	snapshot *snapshotRequest
}

// queue is the bounded queue between the owner and the journal's goroutine. Entries that were taken count against
// its limits until they are released.
type queue struct {
	maxBytes   int
	maxRecords int
	ready      chan struct{}

	mu           sync.Mutex
	entries      []entry
	bytes        int
	records      int
	lastSeq      uint64 // sequence number of the newest entry
	lastSnapshot uint64 // sequence number of the newest snapshot request
	closedErr    error
}

func newQueue(maxBytes, maxRecords int) *queue {
	return &queue{maxBytes: maxBytes, maxRecords: maxRecords, ready: make(chan struct{}, 1)}
}

// add queues an entry and returns its sequence number, or an error if the queue is closed or full.
func (q *queue) add(e entry) (uint64, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closedErr != nil {
		return 0, q.closedErr
	}
	if e.count > 0 && (q.bytes+len(e.encoded) > q.maxBytes || q.records+e.count > q.maxRecords) {
		return 0, ErrBusy
	}
	q.lastSeq++
	e.seq = q.lastSeq
	if e.snapshot != nil {
		q.lastSnapshot = e.seq
	}
	q.entries = append(q.entries, e)
	q.bytes += len(e.encoded)
	q.records += e.count
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return e.seq, nil
}

// cancel removes an entry that has not been taken into a group. An entry before a snapshot request cannot be
// canceled, because the snapshot's state already includes its effect.
func (q *queue) cancel(seq uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	at, found := slices.BinarySearchFunc(q.entries, seq, func(e entry, n uint64) int { return cmp.Compare(e.seq, n) })
	if !found || seq < q.lastSnapshot {
		return false
	}
	q.bytes -= len(q.entries[at].encoded)
	q.records -= q.entries[at].count
	q.entries = slices.Delete(q.entries, at, at+1)
	return true
}

// nextGroup removes and returns the entries of the next group: entries of at most maxBytes in total, or a single
// snapshot request.
func (q *queue) nextGroup(maxBytes int) []entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	n, size := 0, 0
	for n < len(q.entries) {
		e := q.entries[n]
		if n > 0 && (e.snapshot != nil || size+len(e.encoded) > maxBytes) {
			break
		}
		size += len(e.encoded)
		n++
		if e.snapshot != nil {
			break
		}
	}
	group := slices.Clone(q.entries[:n])
	q.entries = slices.Delete(q.entries, 0, n)
	if len(q.entries) == 0 {
		q.entries = nil // free the memory that a burst has allocated
	}
	return group
}

// release subtracts a group whose outcome is known from the queue's totals.
func (q *queue) release(group []entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range group {
		q.bytes -= len(e.encoded)
		q.records -= e.count
	}
}

// close makes add return err for all further entries; if it is called again, the first error remains.
func (q *queue) close(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closedErr == nil {
		q.closedErr = err
	}
}

func (q *queue) size() (records, bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.records, q.bytes
}

// needsWrite reports whether the next group contains records; Flush markers and snapshot requests need no commit.
func (q *queue) needsWrite() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range q.entries {
		if e.count > 0 || e.snapshot != nil {
			return e.snapshot == nil
		}
	}
	return false
}

func (q *queue) isEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.entries) == 0
}
