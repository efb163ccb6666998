package record

import (
	"cmp"
	"slices"
	"sync"
)

// entry is one Append, or a mark in their order.
type entry struct {
	seq   uint64
	raw   []byte
	count int
	done  func(error)
	// cut is the state after all entries before this one; it never shares a group with records.
	cut *cut
}

// queue is the bounded ring between the owner and the journal's goroutine. What was taken counts
// against its bounds until it is released.
type queue struct {
	maxBytes   int
	maxRecords int
	ready      chan struct{}

	mu      sync.Mutex
	entries []entry
	bytes   int
	records int
	last    uint64 // the newest entry's seq
	cut     uint64 // the newest cut's seq
	ended   error
}

func newQueue(maxBytes, maxRecords int) *queue {
	return &queue{maxBytes: maxBytes, maxRecords: maxRecords, ready: make(chan struct{}, 1)}
}

// add takes an entry, or gives the reason why not.
func (q *queue) add(e entry) (uint64, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ended != nil {
		return 0, q.ended
	}
	if e.count > 0 && (q.bytes+len(e.raw) > q.maxBytes || q.records+e.count > q.maxRecords) {
		return 0, ErrBusy
	}
	q.last++
	e.seq = q.last
	if e.cut != nil {
		q.cut = e.seq
	}
	q.entries = append(q.entries, e)
	q.bytes += len(e.raw)
	q.records += e.count
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return e.seq, nil
}

// withdraw takes an entry back that is in no group yet. One before a cut stays: the cut's state
// already holds its effect.
func (q *queue) withdraw(seq uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	at, found := slices.BinarySearchFunc(q.entries, seq, func(e entry, n uint64) int { return cmp.Compare(e.seq, n) })
	if !found || seq < q.cut {
		return false
	}
	q.bytes -= len(q.entries[at].raw)
	q.records -= q.entries[at].count
	q.entries = slices.Delete(q.entries, at, at+1)
	return true
}

// take gives the entries of the next group: at most maxBytes, or one cut alone.
func (q *queue) take(maxBytes int) []entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	n, size := 0, 0
	for n < len(q.entries) {
		e := q.entries[n]
		if n > 0 && (e.cut != nil || size+len(e.raw) > maxBytes) {
			break
		}
		size += len(e.raw)
		n++
		if e.cut != nil {
			break
		}
	}
	group := slices.Clone(q.entries[:n])
	q.entries = slices.Delete(q.entries, 0, n)
	if len(q.entries) == 0 {
		q.entries = nil // a burst's room is given back
	}
	return group
}

// release frees the room of a group whose outcome is known.
func (q *queue) release(group []entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range group {
		q.bytes -= len(e.raw)
		q.records -= e.count
	}
}

// end refuses all further entries with err; the first reason stays.
func (q *queue) end(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ended == nil {
		q.ended = err
	}
}

func (q *queue) size() (records, bytes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.records, q.bytes
}

// writes reports whether the next group needs a write; marks alone need none.
func (q *queue) writes() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range q.entries {
		if e.count > 0 || e.cut != nil {
			return e.cut == nil
		}
	}
	return false
}

func (q *queue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.entries) == 0
}
