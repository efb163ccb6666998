package memory

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"turmericgap/store"
)

// Default limits of the history.
const (
	// DefaultHistory is the number of revisions that are kept for watches to resume from.
	DefaultHistory = 4096
	// DefaultHistoryBytes limits the size of the keys and values in the history.
	DefaultHistoryBytes = 64 << 20
)

// Service is a key-value service with leases and a bounded history of changes.
type Service struct {
	maxHistory      int
	maxHistoryBytes int

	mu           sync.Mutex
	revision     int64
	pairs        map[string]store.Pair
	keys         []string // sorted
	leases       map[int64]*lease
	lastLease    int64
	history      []store.Batch // one per revision
	historyBytes int
	compacted    int64         // the newest revision that is no longer in the history
	changed      chan struct{} // closed at the next change
}

// lease is a lease with the timer that expires it.
type lease struct {
	ttl      time.Duration
	deadline time.Time
	timer    *time.Timer
	keys     map[string]struct{}
}

// New returns an empty service at revision 1.
func New(opts ...Option) *Service {
	s := &Service{
		maxHistory:      DefaultHistory,
		maxHistoryBytes: DefaultHistoryBytes,
		revision:        1,
		pairs:           make(map[string]store.Pair),
		leases:          make(map[int64]*lease),
		changed:         make(chan struct{}),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Store returns a client without faults.
func (s *Service) Store() *store.Store {
	return &store.Store{
		Range:     s.rangeKeys,
		Txn:       s.txn,
		Grant:     s.grant,
		KeepAlive: s.keepAlive,
		Revoke:    s.revoke,
		Watch:     s.watch,
	}
}

// Revision returns the current revision.
func (s *Service) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Size returns the number of keys and the total size of their values.
func (s *Service) Size() (keys, valueBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pairs {
		valueBytes += len(p.Value)
	}
	return len(s.pairs), valueBytes
}

// Compact discards the history, as the real service may do at any time.
func (s *Service) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.historyBytes, s.compacted = nil, 0, s.revision
}

func (s *Service) rangeKeys(_ context.Context, r store.Range) (store.RangeResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := store.RangeResult{Revision: s.revision}
	for _, key := range s.keysInRange(r.Key, r.End) {
		if r.Limit > 0 && int64(len(res.Pairs)) == r.Limit {
			res.More = true
			break
		}
		if p := s.pairs[key]; p.ModRevision > r.ChangedSince {
			res.Pairs = append(res.Pairs, p)
		}
	}
	return res, nil
}

// keysInRange returns the existing keys in [key, end), or only key if end is empty.
func (s *Service) keysInRange(key, end string) []string {
	from, found := slices.BinarySearch(s.keys, key)
	if end == "" {
		if !found {
			return nil
		}
		return s.keys[from : from+1]
	}
	to := len(s.keys)
	if end != allKeys {
		to, _ = slices.BinarySearch(s.keys, end)
	}
	return s.keys[from:max(from, to)]
}

// allKeys as the end of a range means that the range has no end.
const allKeys = "\x00"

func (s *Service) txn(_ context.Context, t store.Txn) (store.TxnResult, error) {
	if err := validate(t); err != nil {
		return store.TxnResult{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Compares {
		if s.revisionOf(c) != c.Revision {
			return store.TxnResult{Revision: s.revision, Existing: s.existing(t.Compares)}, nil
		}
	}
	for _, op := range t.Then {
		if _, ok := s.leases[op.Lease]; op.Lease != 0 && !ok {
			return store.TxnResult{}, store.ErrLeaseGone
		}
	}
	next := store.Batch{Revision: s.revision + 1}
	for _, op := range t.Then {
		if op.Delete {
			s.remove(&next, slices.Clone(s.keysInRange(op.Key, op.End)))
		} else {
			s.put(&next, op)
		}
	}
	s.publish(next)
	return store.TxnResult{Succeeded: true, Revision: s.revision}, nil
}

// existing returns the compared keys that exist.
func (s *Service) existing(compares []store.Compare) []store.Pair {
	var out []store.Pair
	for _, c := range compares {
		if p, ok := s.pairs[c.Key]; ok {
			out = append(out, p)
		}
	}
	return out
}

func validate(t store.Txn) error {
	if len(t.Then) > store.MaxTxnOps || len(t.Compares) > store.MaxTxnOps {
		return fmt.Errorf("too many operations or compares: %w", store.ErrInvalid)
	}
	for i, op := range t.Then {
		if op.Key == "" {
			return fmt.Errorf("empty key: %w", store.ErrInvalid)
		}
		if len(op.Value) > store.MaxValueBytes {
			return fmt.Errorf("value of %d bytes is too large: %w", len(op.Value), store.ErrInvalid)
		}
		for _, other := range t.Then[:i] {
			if overlap(op, other) {
				return fmt.Errorf("duplicate key %q in one transaction: %w", op.Key, store.ErrInvalid)
			}
		}
	}
	return nil
}

// overlap reports whether two operations affect the same key; two deletes are allowed to.
func overlap(a, b store.Op) bool {
	if a.Delete && b.Delete {
		return false
	}
	return covers(a, b.Key) || covers(b, a.Key)
}

func covers(op store.Op, key string) bool {
	if op.End == "" {
		return op.Key == key
	}
	return key >= op.Key && (key < op.End || op.End == allKeys)
}

func (s *Service) revisionOf(c store.Compare) int64 {
	if c.Target == store.CreateRevision {
		return s.pairs[c.Key].CreateRevision
	}
	return s.pairs[c.Key].ModRevision
}

func (s *Service) put(b *store.Batch, op store.Op) {
	old, ok := s.pairs[op.Key]
	p := store.Pair{
		Key: op.Key, Value: bytes.Clone(op.Value), Lease: op.Lease,
		CreateRevision: b.Revision, ModRevision: b.Revision, Version: old.Version + 1,
	}
	if ok {
		p.CreateRevision = old.CreateRevision
		s.detachLease(old)
	} else {
		at, _ := slices.BinarySearch(s.keys, op.Key)
		s.keys = slices.Insert(s.keys, at, op.Key)
	}
	if op.Lease != 0 {
		s.leases[op.Lease].keys[op.Key] = struct{}{}
	}
	s.pairs[op.Key] = p
	b.Events = append(b.Events, store.Event{Pair: p})
}

func (s *Service) detachLease(p store.Pair) {
	if l, ok := s.leases[p.Lease]; ok {
		delete(l.keys, p.Key)
	}
}

func (s *Service) remove(b *store.Batch, keys []string) {
	for _, key := range keys {
		s.detachLease(s.pairs[key])
		delete(s.pairs, key)
		at, _ := slices.BinarySearch(s.keys, key)
		s.keys = slices.Delete(s.keys, at, at+1)
		b.Events = append(b.Events, store.Event{Deleted: true, Pair: store.Pair{Key: key, ModRevision: b.Revision}})
	}
}

// publish makes b the current revision, adds it to the history and wakes the watches. It ignores an empty batch.
func (s *Service) publish(b store.Batch) {
	if len(b.Events) == 0 {
		return
	}
	s.revision = b.Revision
	s.history = append(s.history, b)
	s.historyBytes += size(b)
	for len(s.history) > s.maxHistory || s.historyBytes > s.maxHistoryBytes {
		s.historyBytes -= size(s.history[0])
		s.compacted = s.history[0].Revision
		s.history = slices.Delete(s.history, 0, 1)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func size(b store.Batch) int {
	n := 0
	for _, e := range b.Events {
		n += len(e.Pair.Key) + len(e.Pair.Value)
	}
	return n
}

func (s *Service) grant(_ context.Context, ttl time.Duration) (int64, error) {
	if ttl <= 0 {
		return 0, fmt.Errorf("lease TTL is not positive: %w", store.ErrInvalid)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id := s.lastLease
	l := &lease{ttl: ttl, deadline: time.Now().Add(ttl), keys: make(map[string]struct{})}
	l.timer = time.AfterFunc(ttl, func() { s.expire(id) })
	s.leases[id] = l
	return id, nil
}

// expire ends a lease, unless it was renewed between the timer's expiry and the lock.
func (s *Service) expire(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return
	}
	if left := time.Until(l.deadline); left > 0 {
		l.timer.Reset(left)
		return
	}
	s.endLease(id, l)
}

func (s *Service) endLease(id int64, l *lease) {
	l.timer.Stop()
	keys := make([]string, 0, len(l.keys))
	for key := range l.keys {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	delete(s.leases, id)
	next := store.Batch{Revision: s.revision + 1}
	s.remove(&next, keys)
	s.publish(next)
}

func (s *Service) keepAlive(_ context.Context, id int64) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return 0, store.ErrLeaseGone
	}
	l.deadline = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return l.ttl, nil
}

func (s *Service) revoke(_ context.Context, id int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return store.ErrLeaseGone
	}
	s.endLease(id, l)
	return nil
}

func (s *Service) watch(ctx context.Context, prefix string, from int64, each func(store.Batch)) error {
	if from == 0 {
		from = s.Revision() + 1
	}
	for {
		batches, next, changed, err := s.changesSince(prefix, from)
		if err != nil {
			return err
		}
		for _, b := range batches {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			each(b)
		}
		from = next
		if len(batches) > 0 {
			continue // more changes may have been made while each ran
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// changesSince returns the changes under prefix at or after revision from, the revision for the next call, and a
// channel that is closed at the next change.
func (s *Service) changesSince(prefix string, from int64) ([]store.Batch, int64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from <= s.compacted {
		return nil, 0, nil, store.ErrCompacted
	}
	at, _ := slices.BinarySearchFunc(s.history, from, func(b store.Batch, r int64) int { return int(b.Revision - r) })
	var out []store.Batch
	for _, b := range s.history[at:] {
		part := store.Batch{Revision: b.Revision}
		for _, e := range b.Events {
			if strings.HasPrefix(e.Pair.Key, prefix) {
				part.Events = append(part.Events, e)
			}
		}
		if len(part.Events) > 0 {
			out = append(out, part)
		}
	}
	return out, max(from, s.revision+1), s.changed, nil
}

// errConnectionLost is the error of a failed call. Unless it is joined with store.ErrNotSent, the client cannot know
// the outcome of the call.
var errConnectionLost = errors.New("connection to the store lost")
