package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeLatency = 4 * time.Millisecond
	pageItems    = 500
	maxEntries   = 32
	valueBytes   = 1 << 20
)

type item struct {
	Key      string
	Value    []byte
	Revision int64
	Created  int64
	LeaseId  int64 `json:",omitempty"`
	Deleted  bool  `json:",omitempty"`
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// Store is the platform's metadata store in memory.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]*item
	history  []item
	leases   map[int64]*lease
	changed  chan struct{}
}

func newStore() *Store {
	return &Store{revision: 1, items: map[string]*item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
}

// Put writes a key like the operator or a runner does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0)
	s.wake()
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.wake()
}

func (s *Store) put(key string, value []byte, leaseID int64) {
	created := s.revision
	if old := s.items[key]; old != nil {
		created = old.Created
	}
	it := &item{Key: key, Value: value, Revision: s.revision, Created: created, LeaseId: leaseID}
	s.items[key] = it
	s.history = append(s.history, *it)
}

func (s *Store) remove(key string) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler serves the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	const p = "/turmericgap/"
	mux.HandleFunc("GET "+p+"kv-key", s.serveKey)
	mux.HandleFunc("GET "+p+"kv-range", s.serveRange)
	mux.HandleFunc("GET "+p+"kv-watch", s.serveWatch)
	mux.HandleFunc("POST "+p+"kv-txn", s.serveTxn)
	mux.HandleFunc("POST "+p+"kv-lease", s.serveLease)
	mux.HandleFunc("POST "+p+"kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE "+p+"kv-lease-end/{id}", s.serveLeaseEnd)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		mux.ServeHTTP(w, r)
	})
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.items[r.URL.Query().Get("Key")]
	if it == nil {
		reply(w, http.StatusNotFound, map[string]any{"At": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		At int64
	}{*it, s.revision})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("PathPrefix")) && k > q.Get("After") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	items := []item{}
	for _, k := range keys[:min(len(keys), pageItems)] {
		items = append(items, *s.items[k])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "HasMore": more, "At": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timer := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, at, changed := []item{}, s.revision, s.changed
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(e item, rev int64) int { return int(e.Revision - rev) })
		for _, e := range s.history[first:] {
			if strings.HasPrefix(e.Key, q.Get("PathPrefix")) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "At": at})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer:
			reply(w, http.StatusOK, map[string]any{"events": events, "At": at})
			return
		case <-changed:
		}
	}
}

type txn struct {
	ExpectedRev []struct {
		Key      string
		Revision int64
	}
	Write []struct {
		Key     string
		Value   []byte
		LeaseId int64
	}
	Remove []string
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.ExpectedRev)+len(t.Write)+len(t.Remove) > maxEntries {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	now := []item{}
	for _, e := range t.ExpectedRev {
		it := item{Key: e.Key}
		if at := s.items[e.Key]; at != nil {
			it = *at
		}
		holds = holds && it.Revision == e.Revision
		now = append(now, it)
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": now})
		return
	}
	for _, p := range t.Write {
		if len(p.Value) > valueBytes {
			reply(w, http.StatusBadRequest, struct{}{})
			return
		}
		if p.LeaseId != 0 && s.leases[p.LeaseId] == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.revision++
	for _, p := range t.Write {
		s.put(p.Key, p.Value, p.LeaseId)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	s.wake()
	reply(w, http.StatusOK, map[string]any{"Revision": s.revision})
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var in struct{ TtlMs int64 }
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := 1000 + s.revision
	l := &lease{ttl: time.Duration(max(in.TtlMs, 1000)) * time.Millisecond}
	l.timer = time.AfterFunc(l.ttl, func() { s.endLease(id) })
	s.leases[id] = l
	reply(w, http.StatusOK, map[string]any{"LeaseId": id, "TtlMs": l.ttl.Milliseconds()})
}

func (s *Store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	l.timer.Reset(l.ttl)
	reply(w, http.StatusOK, map[string]any{"TtlMs": l.ttl.Milliseconds()})
}

func (s *Store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.endLease(id)
	reply(w, http.StatusOK, struct{}{})
}

// endLease ends a lease and removes its keys.
func (s *Store) endLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	s.revision++
	for k, it := range s.items {
		if it.LeaseId == id {
			s.remove(k)
		}
	}
	s.wake()
}
