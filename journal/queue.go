package journal

import "sync"

// entry is one Append, or a mark in their order.
type entry struct {
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
	ended   error
}

func newQueue(maxBytes, maxRecords int) *queue {
	return &queue{maxBytes: maxBytes, maxRecords: maxRecords, ready: make(chan struct{}, 1)}
}

// add takes an entry, or gives the reason why not.
func (q *queue) add(e entry) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ended != nil {
		return q.ended
	}
	if e.count > 0 && (q.bytes+len(e.raw) > q.maxBytes || q.records+e.count > q.maxRecords) {
		return ErrBusy
	}
	q.entries = append(q.entries, e)
	q.bytes += len(e.raw)
	q.records += e.count
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return nil
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
	group := q.entries[:n:n]
	q.entries = q.entries[n:]
	if len(q.entries) == 0 {
		q.entries = nil
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

func (q *queue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.entries) == 0
}
