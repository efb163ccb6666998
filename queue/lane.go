package queue

import (
	"container/heap"

	"github.com/google/btree"
)

// lane holds items of the same key, the first to be late at the top.
type lane[T any] struct {
	key  Key
	team *team[T]
	// heap is ordered by less.
	heap []*Item[T]
	// head is the item under which the lane stands in its team's tree, nil if it does not.
	head *Item[T]
	// blocked says that its first item could not start.
	blocked bool
	// tried is the round in which it was last tried in vain.
	tried uint64
	// place is where it stands among the blocked ones.
	place int
}

func (l *lane[T]) Len() int           { return len(l.heap) }
func (l *lane[T]) Less(i, j int) bool { return l.heap[i].before(l.heap[j]) }
func (l *lane[T]) Swap(i, j int) {
	l.heap[i], l.heap[j] = l.heap[j], l.heap[i]
	l.heap[i].at, l.heap[j].at = i, j
}

// Push is for container/heap alone.
func (l *lane[T]) Push(x any) {
	it, _ := x.(*Item[T])
	it.at = len(l.heap)
	l.heap = append(l.heap, it)
}

// Pop is for container/heap alone.
func (l *lane[T]) Pop() any {
	last := len(l.heap) - 1
	it := l.heap[last]
	l.heap[last] = nil
	l.heap = l.heap[:last]
	return it
}

func (l *lane[T]) insert(it *Item[T]) {
	heap.Push(l, it)
	l.relink()
}

func (l *lane[T]) remove(it *Item[T]) {
	heap.Remove(l, it.at)
	l.relink()
}

// relink puts the lane where its first item belongs; a blocked or empty one stands nowhere.
func (l *lane[T]) relink() {
	var head *Item[T]
	if len(l.heap) > 0 && !l.blocked {
		head = l.heap[0]
	}
	if head == l.head {
		return
	}
	if l.head != nil {
		l.team.ready.Delete(l.head)
	}
	if l.head = head; head != nil {
		l.team.ready.ReplaceOrInsert(head)
	}
}

// team holds the lanes of one pool in one band that may start something.
type team[T any] struct {
	pool  string
	lanes int
	// share is the pool's share as it was asked for at stamp.
	share float64
	stamp uint64
	// first is for Open alone.
	first *lane[T]
	ready *btree.BTreeG[*Item[T]]
}
