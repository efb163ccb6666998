package queue

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/google/btree"

	"turmericgap/job"
)

// Bands run from Lowest to Highest; from Top on they go before late items of lower bands.
const (
	Lowest  = -8
	Highest = 8
	Top     = 5
	bands   = Highest - Lowest + 1
)

const (
	// lateTurn is how often late items go first: one of so many starts.
	lateTurn = 8
	// mostBlocked bounds the lanes tried in vain in one pass, and with them its time.
	mostBlocked = 128
	// mostLate bounds the late items looked at in one pass.
	mostLate = 128
	degree   = 16
)

// Key is what items of one lane have in common: one of them can start where any other can.
type Key struct {
	Band int
	// Pool is charged for the items.
	Pool string
	Rule string
	Zone string
	Each job.Resources
	// Gang is the number of tasks that start together, zero for no gang.
	Gang int
	// Spread says that tasks are spread over racks.
	Spread bool
}

// Item waits in a queue.
type Item[T any] struct {
	Value T
	// LateAt is when the item becomes late.
	LateAt time.Time

	lane *lane[T]
	seq  uint64
	at   int
}

// Queued reports whether the item waits.
func (it *Item[T]) Queued() bool { return it.lane != nil }

// Key gives the key under which the item waits.
func (it *Item[T]) Key() *Key { return &it.lane.key }

func (it *Item[T]) before(o *Item[T]) bool {
	if !it.LateAt.Equal(o.LateAt) {
		return it.LateAt.Before(o.LateAt)
	}
	return it.seq < o.seq
}

// Queue orders items. It is not safe for concurrent use.
type Queue[T any] struct {
	lanes   map[Key]*lane[T]
	bands   [bands][]*team[T]
	late    *btree.BTreeG[*Item[T]]
	blocked []*lane[T]
	cut     bool
	seq     uint64
	turn    int
	pass    Pass[T]
}

// New makes an empty queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{lanes: map[Key]*lane[T]{}, late: newTree[T]()}
}

func newTree[T any]() *btree.BTreeG[*Item[T]] {
	return btree.NewG(degree, func(a, b *Item[T]) bool { return a.before(b) })
}

// Len is the number of items.
func (q *Queue[T]) Len() int { return q.late.Len() }

// Each calls visit for all items, the first to be late first.
func (q *Queue[T]) Each(visit func(v T)) {
	q.late.Ascend(func(it *Item[T]) bool {
		visit(it.Value)
		return true
	})
}

// Push adds an item that does not wait yet.
func (q *Queue[T]) Push(it *Item[T], k Key) {
	k.Band = min(max(k.Band, Lowest), Highest)
	l, ok := q.lanes[k]
	if !ok {
		l = &lane[T]{key: k, team: q.team(k.Band, k.Pool)}
		l.team.lanes++
		q.lanes[k] = l
	}
	q.seq++
	it.lane, it.seq = l, q.seq
	l.insert(it)
	q.late.ReplaceOrInsert(it)
}

// Remove takes an item out, wherever it stands.
func (q *Queue[T]) Remove(it *Item[T]) {
	l := it.lane
	if l == nil {
		return
	}
	q.late.Delete(it)
	l.remove(it)
	it.lane = nil
	if len(l.heap) > 0 {
		return
	}
	delete(q.lanes, l.key)
	if at := slices.Index(q.blocked, l); at >= 0 {
		q.blocked = slices.Delete(q.blocked, at, at+1)
	}
	if l.team.lanes--; l.team.lanes == 0 {
		b := &q.bands[l.key.Band-Lowest]
		at := slices.Index(*b, l.team)
		*b = slices.Delete(*b, at, at+1)
	}
}

func (q *Queue[T]) team(band int, pool string) *team[T] {
	b := &q.bands[band-Lowest]
	at, ok := sort.Find(len(*b), func(i int) int { return strings.Compare(pool, (*b)[i].pool) })
	if !ok {
		*b = slices.Insert(*b, at, &team[T]{pool: pool, ready: newTree[T]()})
	}
	return (*b)[at]
}

// Unblock lets blocked lanes be tried again, since something was freed. If the last pass was cut
// short, only the top bands are: the others go on where it ended, so that each lane has its try.
func (q *Queue[T]) Unblock() {
	kept := q.blocked[:0]
	for _, l := range q.blocked {
		if q.cut && l.key.Band < Top {
			kept = append(kept, l)
			continue
		}
		l.blocked = false
		l.relink()
	}
	clear(q.blocked[len(kept):])
	q.blocked = kept
	q.cut = false
}
