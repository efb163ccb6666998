package queue

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/google/btree"

	"turmericgap/job"
)

// Bands run from MinBand to MaxBand; from UrgentBand on they go before late items of lower bands.
const (
	MinBand    = -8
	MaxBand    = 8
	UrgentBand = 5
	bands      = MaxBand - MinBand + 1
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
	Pool    string
	Rule    string
	Zone    string
	Request job.Resources
	// GangSize is the number of tasks that start together, zero for no gang.
	GangSize int
	// Spread says that tasks are spread over racks.
	Spread bool
	// Limited says that a limit or quota may hold the items back although they fit.
	Limited bool
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
	stamp   uint64
	round   uint64
	// chances holds the lanes that had a chance in this round, once asked.
	chances []*lane[T]
	asked   bool
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

// EachLate calls visit for the late items, the one that is so for longest first, while it returns true.
func (q *Queue[T]) EachLate(now time.Time, visit func(v T) bool) {
	q.late.Ascend(func(it *Item[T]) bool { return !it.LateAt.After(now) && visit(it.Value) })
}

// Push adds an item that does not wait yet.
func (q *Queue[T]) Push(it *Item[T], k Key) {
	k.Band = min(max(k.Band, MinBand), MaxBand)
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
	if l.blocked {
		q.forget(l)
		l.blocked = false
	}
	if l.team.lanes--; l.team.lanes == 0 {
		b := &q.bands[l.key.Band-MinBand]
		at := slices.Index(*b, l.team)
		*b = slices.Delete(*b, at, at+1)
	}
}

func (q *Queue[T]) team(band int, pool string) *team[T] {
	b := &q.bands[band-MinBand]
	at, ok := sort.Find(len(*b), func(i int) int { return strings.Compare(pool, (*b)[i].pool) })
	if !ok {
		*b = slices.Insert(*b, at, &team[T]{pool: pool, ready: newTree[T]()})
	}
	return (*b)[at]
}

// BeginRound begins a round of Open, since something was freed.
func (q *Queue[T]) BeginRound() {
	q.round++
	clear(q.chances)
	q.chances, q.asked = q.chances[:0], false
}

// UnblockCandidates lets one blocked lane of each team and band be tried again: the first that has a chance and
// was not tried in this round. It reports whether there was any. After a small thing was freed this
// saves trying all lanes in vain. Chances only fall during a round, so that one look at all lanes
// is enough.
func (q *Queue[T]) UnblockCandidates(chance func(k *Key) bool) bool {
	from := q.chances
	if !q.asked {
		from, q.asked = q.blocked, true
	}
	kept := q.chances[:0]
	var opened []*lane[T]
	for _, l := range from {
		if !l.blocked || l.tried == q.round || !chance(&l.key) {
			continue
		}
		kept = append(kept, l)
		switch first := l.team.first; {
		case first == nil:
			opened = append(opened, l)
			l.team.first = l
		case l.heap[0].before(first.heap[0]):
			opened[slices.Index(opened, first)] = l
			l.team.first = l
		}
	}
	q.chances = kept
	for _, l := range opened {
		l.team.first = nil
		q.open(l)
	}
	return len(opened) > 0
}

// UnblockAll lets all blocked lanes be tried again. If the last pass was cut short, only the top bands
// are: the others go on where it ended, so that each lane has its try.
func (q *Queue[T]) UnblockAll() {
	for i := len(q.blocked) - 1; i >= 0; i-- {
		if l := q.blocked[i]; !q.cut || l.key.Band >= UrgentBand {
			q.open(l)
		}
	}
	q.cut = false
}

func (q *Queue[T]) block(l *lane[T]) {
	l.blocked, l.tried, l.place = true, q.round, len(q.blocked)
	q.blocked = append(q.blocked, l)
	l.relink()
}

func (q *Queue[T]) open(l *lane[T]) {
	q.forget(l)
	l.blocked = false
	l.relink()
}

func (q *Queue[T]) forget(l *lane[T]) {
	last := len(q.blocked) - 1
	moved := q.blocked[last]
	q.blocked[l.place], moved.place = moved, l.place
	q.blocked[last] = nil
	q.blocked = q.blocked[:last]
}
