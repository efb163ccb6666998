package account

import (
	"container/heap"
	"math"
	"slices"
)

// Shares divides the starts of a full cell between accounts by their weights, by start-time fair queueing. It is not safe
// for concurrent use.
//
// Load pattern: more work than the cell holds, most of it of few accounts. An account gets the part of the starts that
// its weight is of all waiting weights; what it does not use goes to the others, and it saves up nothing.
type Shares struct {
	// times holds the virtual time of each account: the core-seconds started, divided by its weight.
	times map[string]float64
	// seen is the latest pass in which an account waited.
	seen map[string]int64
	pass int64
	// floor is the least virtual time of the accounts that waited in the previous pass, least that of the present pass.
	// An account that waited for nothing begins at floor.
	floor, least float64
	// The other fields are buffers of Order: the accounts that wait, the next step of the same account after each step,
	// and the result.
	turns  turnHeap
	turnOf map[string]int
	next   []int
	order  []int
}

// Waiting is a step that waits to start.
type Waiting struct {
	Account string
	// Weight is the weight of its account, Cost what it will use in core-seconds.
	Weight, Cost float64
}

// NewShares returns Shares without starts.
func NewShares() *Shares {
	return &Shares{times: make(map[string]float64), seen: make(map[string]int64), least: math.Inf(1), turnOf: make(map[string]int)}
}

// Begin begins a pass, in which Order is called for each group of steps of equal rank.
func (s *Shares) Begin() {
	if !math.IsInf(s.least, 1) {
		s.floor = max(s.floor, s.least)
	}
	s.pass++
	s.least = math.Inf(1)
}

// time returns the virtual time of an account that waits in the present pass.
func (s *Shares) time(name string) float64 {
	at := s.times[name]
	if s.seen[name] < s.pass-1 {
		at = max(at, s.floor)
		s.times[name] = at
	}
	s.seen[name] = s.pass
	s.least = min(s.least, at)
	return at
}

// Order returns the order in which waiting steps start, as indices. Steps of one account keep their order. The list is
// valid until the next call.
func (s *Shares) Order(waiting []Waiting) []int {
	clear(s.turnOf)
	turns := s.turns[:0]
	s.next = slices.Grow(s.next[:0], len(waiting))[:len(waiting)]
	for i := range waiting {
		name := waiting[i].Account
		s.next[i] = none
		at, known := s.turnOf[name]
		if !known {
			s.turnOf[name] = len(turns)
			turns = append(turns, turn{at: s.time(name), first: i, last: i})
			continue
		}
		s.next[turns[at].last] = i
		turns[at].last = i
	}
	s.turns = turns
	heap.Init(&s.turns)
	order := s.order[:0]
	for len(s.turns) > 0 {
		t := &s.turns[0]
		order = append(order, t.first)
		t.at += waiting[t.first].cost()
		if t.first = s.next[t.first]; t.first == none {
			heap.Pop(&s.turns)
			continue
		}
		heap.Fix(&s.turns, 0)
	}
	s.order = order
	return order
}

// cost returns how far a start advances the virtual time of its account.
func (w *Waiting) cost() float64 {
	if w.Weight <= 0 {
		return w.Cost / defaultWeight
	}
	return w.Cost / w.Weight
}

// defaultWeight is the weight of accounts without one, and of all works that came through public queues together.
const defaultWeight = 1

// Record counts a start.
func (s *Shares) Record(w *Waiting) { s.times[w.Account] = max(s.times[w.Account], s.floor) + w.cost() }

// Undo takes a start back that never came true.
func (s *Shares) Undo(w *Waiting) { s.times[w.Account] -= w.cost() }

// none ends a list of steps.
const none = -1

// turn is an account with its first and last waiting step and the virtual time at which the first one starts.
type turn struct {
	at          float64
	first, last int
}

// turnHeap implements heap.Interface; of equal times, the account whose step is first in the given order comes first.
type turnHeap []turn

// Len implements heap.Interface.
func (h turnHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h turnHeap) Less(i, k int) bool {
	if h[i].at != h[k].at {
		return h[i].at < h[k].at
	}
	return h[i].first < h[k].first
}

// Swap implements heap.Interface.
func (h turnHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *turnHeap) Push(x any) { *h = append(*h, x.(turn)) }

// Pop implements heap.Interface.
func (h *turnHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}
