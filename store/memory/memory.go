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

// Defaults.
const (
	// DefaultHistory is how many changes a watch can resume over.
	DefaultHistory = 4096
	// DefaultHistoryBytes bounds the values that the history keeps alive.
	DefaultHistoryBytes = 64 << 20
)

// Service holds keys, leases and a bounded history of changes.
type Service struct {
	maxHistory      int
	maxHistoryBytes int

	mu           sync.Mutex
	revision     int64
	pairs        map[string]store.Pair
	keys         []string // sorted
	leases       map[int64]*grant
	lastLease    int64
	history      []store.Batch // one per revision
	historyBytes int
	compacted    int64 // the newest revision that is no longer in the history
	changed      chan struct{}
}

// grant is one lease; its timer ends it.
type grant struct {
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
		leases:          make(map[int64]*grant),
		changed:         make(chan struct{}),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Store gives a client without faults.
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

// Revision gives the newest revision.
func (s *Service) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Size gives how many keys there are and the bytes of their values.
func (s *Service) Size() (keys, valueBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pairs {
		valueBytes += len(p.Value)
	}
	return len(s.pairs), valueBytes
}

// Compact forgets all history, as the service may do at any time.
func (s *Service) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.historyBytes, s.compacted = nil, 0, s.revision
}

func (s *Service) rangeKeys(_ context.Context, r store.Range) (store.RangeResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := store.RangeResult{Revision: s.revision}
	for _, key := range s.between(r.Key, r.End) {
		if r.Limit > 0 && int64(len(res.Pairs)) == r.Limit {
			res.More = true
			break
		}
		res.Pairs = append(res.Pairs, s.pairs[key])
	}
	return res, nil
}

// between gives the present keys from key up to, but without, end; only key when end is empty.
func (s *Service) between(key, end string) []string {
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

// allKeys as the end of a range stands for no end.
const allKeys = "\x00"

func (s *Service) txn(_ context.Context, t store.Txn) (store.TxnResult, error) {
	if err := check(t); err != nil {
		return store.TxnResult{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Compares {
		if s.revisionOf(c) != c.Revision {
			return store.TxnResult{Revision: s.revision, Existing: s.found(t.Compares)}, nil
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
			s.remove(&next, slices.Clone(s.between(op.Key, op.End)))
		} else {
			s.put(&next, op)
		}
	}
	s.publish(next)
	return store.TxnResult{Succeeded: true, Revision: s.revision}, nil
}

// found gives the compared keys that exist.
func (s *Service) found(compares []store.Compare) []store.Pair {
	var out []store.Pair
	for _, c := range compares {
		if p, ok := s.pairs[c.Key]; ok {
			out = append(out, p)
		}
	}
	return out
}

func check(t store.Txn) error {
	if len(t.Then) > store.MaxTxnOps || len(t.Compares) > store.MaxTxnOps {
		return fmt.Errorf("too many operations: %w", store.ErrInvalid)
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
				return fmt.Errorf("key %q twice in one transaction: %w", op.Key, store.ErrInvalid)
			}
		}
	}
	return nil
}

// overlap reports whether a put's key meets another operation; two deletes may overlap.
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
		s.unbind(old)
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

func (s *Service) unbind(p store.Pair) {
	if g, ok := s.leases[p.Lease]; ok {
		delete(g.keys, p.Key)
	}
}

func (s *Service) remove(b *store.Batch, keys []string) {
	for _, key := range keys {
		s.unbind(s.pairs[key])
		delete(s.pairs, key)
		at, _ := slices.BinarySearch(s.keys, key)
		s.keys = slices.Delete(s.keys, at, at+1)
		b.Events = append(b.Events, store.Event{Deleted: true, Pair: store.Pair{Key: key, ModRevision: b.Revision}})
	}
}

// publish makes a revision with changes the newest one and wakes the watches.
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
		return 0, fmt.Errorf("lease without a time to live: %w", store.ErrInvalid)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id := s.lastLease
	g := &grant{ttl: ttl, deadline: time.Now().Add(ttl), keys: make(map[string]struct{})}
	g.timer = time.AfterFunc(ttl, func() { s.lapse(id) })
	s.leases[id] = g
	return id, nil
}

// lapse ends a lease, unless a renewal came between the timer and the lock.
func (s *Service) lapse(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.leases[id]
	if !ok {
		return
	}
	if left := time.Until(g.deadline); left > 0 {
		g.timer.Reset(left)
		return
	}
	s.end(id, g)
}

func (s *Service) end(id int64, g *grant) {
	g.timer.Stop()
	keys := make([]string, 0, len(g.keys))
	for key := range g.keys {
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
	g, ok := s.leases[id]
	if !ok {
		return 0, store.ErrLeaseGone
	}
	g.deadline = time.Now().Add(g.ttl)
	g.timer.Reset(g.ttl)
	return g.ttl, nil
}

func (s *Service) revoke(_ context.Context, id int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.leases[id]
	if !ok {
		return store.ErrLeaseGone
	}
	s.end(id, g)
	return nil
}

func (s *Service) watch(ctx context.Context, prefix string, from int64, each func(store.Batch)) error {
	if from == 0 {
		from = s.Revision() + 1
	}
	for {
		batches, next, changed, err := s.since(prefix, from)
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
			continue // Changes may have come while each ran.
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// since gives the changes under prefix at or after revision from, the revision to ask for next,
// and a channel that is closed at the next change.
func (s *Service) since(prefix string, from int64) ([]store.Batch, int64, <-chan struct{}, error) {
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

// errLost is what a client sees of a call whose outcome it cannot know.
var errLost = errors.New("connection to the store lost")
