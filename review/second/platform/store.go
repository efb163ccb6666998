package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeLatency is how long the store takes for an answer.
	storeLatency = 4 * time.Millisecond
	// maxValueBytes and maxTxnEntries are the store's limits.
	maxValueBytes = 1 << 20
	maxTxnEntries = 32
	// pageItems and pageBytes limit one page of a range.
	pageItems = 500
	pageBytes = 1 << 20
	// maxCallBytes limits the body of a call to the store.
	maxCallBytes = 64 << 20
)

// item is a key of the store, or an event of a watch.
type item struct {
	Key      string
	Value    []byte
	Revision int64
	Created  int64
	LeaseId  int64
	Deleted  bool `json:",omitempty"`
}

// lease is a lease with the keys that are removed when it ends.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
	keys  map[string]bool
}

// store is the metadata store of the platform.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]*item
	events   []item
	leases   map[int64]*lease
	nextID   int64
	changed  chan struct{}
	// declined counts the transactions that were refused because they exceed a limit, declinedWhy tells why the last one was.
	declined    int
	declinedWhy string
}

func newStore() *store {
	return &store{revision: 1, items: make(map[string]*item), leases: make(map[int64]*lease), nextID: 100, changed: make(chan struct{})}
}

// put writes a key on behalf of the operator or a runner.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value, 0)
	s.notify()
}

// remove removes a key on behalf of a runner.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items[key] == nil {
		return
	}
	s.revision++
	s.unset(key)
	s.notify()
}

// ownerAt returns which of the names is in the value whose last change has a revision.
func (s *store) ownerAt(revision int64, names []string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.items {
		if i.Revision != revision {
			continue
		}
		for _, name := range names {
			if strings.Contains(string(i.Value), name) {
				return name
			}
		}
	}
	return ""
}

func (s *store) set(key string, value []byte, leaseID int64) {
	i := &item{Key: key, Value: value, Revision: s.revision, Created: s.revision, LeaseId: leaseID}
	if old := s.items[key]; old != nil {
		i.Created = old.Created
		if l := s.leases[old.LeaseId]; l != nil {
			delete(l.keys, key)
		}
	}
	s.items[key] = i
	if l := s.leases[leaseID]; l != nil {
		l.keys[key] = true
	}
	s.events = append(s.events, *i)
}

func (s *store) unset(key string) {
	if old := s.items[key]; old != nil {
		if l := s.leases[old.LeaseId]; l != nil {
			delete(l.keys, key)
		}
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

// notify wakes the watches. The caller holds mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endLease(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	if len(l.keys) > 0 {
		s.revision++
		for key := range l.keys {
			s.unset(key)
		}
		s.notify()
	}
	return true
}

// handler serves the store's calls.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /turmericgap/kv-key", s.serveKey)
	mux.HandleFunc("GET /turmericgap/kv-range", s.serveRange)
	mux.HandleFunc("GET /turmericgap/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /turmericgap/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /turmericgap/kv-lease", s.serveLease)
	mux.HandleFunc("POST /turmericgap/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /turmericgap/kv-lease-end/{id}", s.serveLeaseEnd)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		mux.ServeHTTP(w, r)
	})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.items[r.URL.Query().Get("Key")]
	if i == nil {
		reply(w, http.StatusNotFound, map[string]any{"At": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		At int64
	}{*i, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("PathPrefix"), r.URL.Query().Get("After")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := struct {
		Items   []*item `json:"items"`
		HasMore bool
		At      int64
	}{Items: []*item{}, At: s.revision}
	size := 0
	for _, key := range keys {
		i := s.items[key]
		if len(page.Items) == pageItems || len(page.Items) > 0 && size+len(i.Value) > pageBytes {
			page.HasMore = true
			break
		}
		size += len(i.Value)
		page.Items = append(page.Items, i)
	}
	reply(w, http.StatusOK, &page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		found, at, changed := s.eventsAfter(q.Get("PathPrefix"), after)
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "At": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			reply(w, http.StatusOK, map[string]any{"events": []item{}, "At": at})
			return
		}
	}
}

func (s *store) eventsAfter(prefix string, after int64) (found []item, at int64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, _ := slices.BinarySearchFunc(s.events, after+1, func(e item, revision int64) int { return int(e.Revision - revision) })
	for _, e := range s.events[first:] {
		if strings.HasPrefix(e.Key, prefix) {
			found = append(found, e)
		}
	}
	return found, s.revision, s.changed
}

// transaction is a call that changes keys on conditions.
type transaction struct {
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

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t transaction
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxCallBytes))
	if err == nil {
		err = json.Unmarshal(raw, &t)
	}
	if err == nil {
		err = t.check()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.declined, s.declinedWhy = s.declined+1, err.Error()
		reply(w, http.StatusBadRequest, map[string]any{"Error": err.Error()})
		return
	}
	current, met := []*item{}, true
	for _, e := range t.ExpectedRev {
		i := s.items[e.Key]
		if i == nil {
			i = &item{Key: e.Key}
		}
		current, met = append(current, i), met && i.Revision == e.Revision
	}
	if !met {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Write {
		if p.LeaseId != 0 && s.leases[p.LeaseId] == nil {
			reply(w, http.StatusNotFound, map[string]any{"Error": "no such lease"})
			return
		}
	}
	s.revision++
	for _, p := range t.Write {
		s.set(p.Key, p.Value, p.LeaseId)
	}
	for _, key := range t.Remove {
		s.unset(key)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"Revision": s.revision})
}

func (t *transaction) check() error {
	if n := len(t.ExpectedRev) + len(t.Write) + len(t.Remove); n > maxTxnEntries {
		return fmt.Errorf("the transaction has %d entries", n)
	}
	for _, p := range t.Write {
		if len(p.Value) > maxValueBytes {
			return fmt.Errorf("the value of %s has %d bytes, at most %d are allowed", p.Key, len(p.Value), maxValueBytes)
		}
	}
	return nil
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var in struct{ TtlMs int64 }
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.TtlMs <= 0 {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id, ttl := s.nextID, time.Duration(in.TtlMs)*time.Millisecond
	s.leases[id] = &lease{ttl: ttl, keys: make(map[string]bool), timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	reply(w, http.StatusOK, map[string]any{"LeaseId": id, "TtlMs": in.TtlMs})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil || !l.timer.Stop() {
		reply(w, http.StatusNotFound, nil)
		return
	}
	l.timer.Reset(l.ttl)
	reply(w, http.StatusOK, map[string]any{"TtlMs": l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if !s.endLease(id) {
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, map[string]any{})
}

func reply(w http.ResponseWriter, status int, body any) {
	if body == nil {
		body = map[string]any{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}
