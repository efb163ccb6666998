package queue

import (
	"container/heap"

	"github.com/google/btree"
)

// lane holds items of the same key in a heap ordered by the time at which they become late.
type lane[T any] struct {
	key  Key
	pool *poolLanes[T]
	// heap is ordered by Item.before.
	heap []*Item[T]
	// readyItem is the item by which the lane is stored in the ready tree of its pool, nil if it is not stored.
	readyItem *Item[T]
	// blocked is set if the first item could not start.
	blocked bool
	// triedRound is the round in which the lane was last blocked.
	triedRound uint64
	// blockedIndex is the index in Queue.blocked.
	blockedIndex int
}

func (l *lane[T]) Len() int           { return len(l.heap) }
func (l *lane[T]) Less(i, j int) bool { return l.heap[i].before(l.heap[j]) }
func (l *lane[T]) Swap(i, j int) {
	l.heap[i], l.heap[j] = l.heap[j], l.heap[i]
	l.heap[i].heapIndex, l.heap[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (l *lane[T]) Push(x any) {
	it, _ := x.(*Item[T])
	it.heapIndex = len(l.heap)
	l.heap = append(l.heap, it)
}

// Pop implements heap.Interface.
func (l *lane[T]) Pop() any {
	last := len(l.heap) - 1
	it := l.heap[last]
	l.heap[last] = nil
	l.heap = l.heap[:last]
	return it
}

func (l *lane[T]) insert(it *Item[T]) {
	heap.Push(l, it)
	l.updateReady()
}

func (l *lane[T]) remove(it *Item[T]) {
	heap.Remove(l, it.heapIndex)
	l.updateReady()
}

// updateReady stores the lane in the ready tree by its current first item, or removes it if it is blocked or empty.
func (l *lane[T]) updateReady() {
	var head *Item[T]
	if len(l.heap) > 0 && !l.blocked {
		head = l.heap[0]
	}
	if head == l.readyItem {
		return
	}
	if l.readyItem != nil {
		l.pool.ready.Delete(l.readyItem)
	}
	if l.readyItem = head; head != nil {
		l.pool.ready.ReplaceOrInsert(head)
	}
}

// poolLanes holds the lanes of one pool in one band.
type poolLanes[T any] struct {
	name      string
	laneCount int
	// share is the pool's quota share as of pass sharePass.
	share     float64
	sharePass uint64
	// candidate is used only by UnblockCandidates.
	candidate *lane[T]
	ready     *btree.BTreeG[*Item[T]]
}
