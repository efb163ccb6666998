package queue

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/google/btree"

	"turmericgap/job"
)

// Bands run from MinBand to MaxBand. Bands from UrgentBand on take precedence over late items of lower bands.
const (
	MinBand    = -8
	MaxBand    = 8
	UrgentBand = 5
	numBands   = MaxBand - MinBand + 1
)

const (
	// lateInterval is the number of starts after which a late item goes first.
	lateInterval = 8
	// maxBlockedPerPass limits the lanes that one pass tries without success, and thus its duration.
	maxBlockedPerPass = 128
	// maxLateScanned limits the late items that one phase of a pass skips.
	maxLateScanned = 128
	btreeDegree    = 16
)

// Key identifies a lane by the requirements of its items. Any item of a lane can start where any other can.
type Key struct {
	Band int
	// Pool is charged for the items.
	Pool    string
	Rule    string
	Zone    string
	Request job.Resources
	// GangSize is the number of tasks that start together, zero if the item is not a gang.
	GangSize int
	// Spread is set if tasks are spread over racks.
	Spread bool
	// Limited is set if a limit or quota may prevent a start even if the items fit.
	Limited bool
}

// Item is an element of a queue.
type Item[T any] struct {
	Value T
	// LateAt is the time at which the item becomes late.
	LateAt time.Time

	lane      *lane[T]
	seq       uint64
	heapIndex int
}

// Queued reports whether the item is in a queue.
func (it *Item[T]) Queued() bool { return it.lane != nil }

// Key returns the key of the item's lane. The item must be queued.
func (it *Item[T]) Key() *Key { return &it.lane.key }

func (it *Item[T]) before(o *Item[T]) bool {
	if !it.LateAt.Equal(o.LateAt) {
		return it.LateAt.Before(o.LateAt)
	}
	return it.seq < o.seq
}

// Queue orders waiting items. It is not safe for concurrent use.
type Queue[T any] struct {
	lanes    map[Key]*lane[T]
	bands    [numBands][]*poolLanes[T]
	byLateAt *btree.BTreeG[*Item[T]]
	blocked  []*lane[T]
	// passTruncated is set if the last pass reached maxBlockedPerPass.
	passTruncated   bool
	seq             uint64
	startsSinceLate int
	passSeq         uint64
	round           uint64
	// candidates holds the blocked lanes that may start in this round, if candidatesKnown is set.
	candidates      []*lane[T]
	candidatesKnown bool
	pass            Pass[T]
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{lanes: map[Key]*lane[T]{}, byLateAt: newTree[T]()}
}

func newTree[T any]() *btree.BTreeG[*Item[T]] {
	return btree.NewG(btreeDegree, func(a, b *Item[T]) bool { return a.before(b) })
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return q.byLateAt.Len() }

// EachLate calls visit for the late items, the longest late first, until it returns false.
func (q *Queue[T]) EachLate(now time.Time, visit func(v T) bool) {
	q.byLateAt.Ascend(func(it *Item[T]) bool { return !it.LateAt.After(now) && visit(it.Value) })
}

// Push adds an item that is not queued.
func (q *Queue[T]) Push(it *Item[T], k Key) {
	k.Band = min(max(k.Band, MinBand), MaxBand)
	l, ok := q.lanes[k]
	if !ok {
		l = &lane[T]{key: k, pool: q.poolLanes(k.Band, k.Pool)}
		l.pool.laneCount++
		q.lanes[k] = l
	}
	q.seq++
	it.lane, it.seq = l, q.seq
	l.insert(it)
	q.byLateAt.ReplaceOrInsert(it)
}

// Remove removes an item, if it is queued.
func (q *Queue[T]) Remove(it *Item[T]) {
	l := it.lane
	if l == nil {
		return
	}
	q.byLateAt.Delete(it)
	l.remove(it)
	it.lane = nil
	if len(l.heap) > 0 {
		return
	}
	delete(q.lanes, l.key)
	if l.blocked {
		q.removeBlocked(l)
		l.blocked = false
	}
	if l.pool.laneCount--; l.pool.laneCount == 0 {
		b := &q.bands[l.key.Band-MinBand]
		at := slices.Index(*b, l.pool)
		*b = slices.Delete(*b, at, at+1)
	}
}

func (q *Queue[T]) poolLanes(band int, pool string) *poolLanes[T] {
	b := &q.bands[band-MinBand]
	at, ok := sort.Find(len(*b), func(i int) int { return strings.Compare(pool, (*b)[i].name) })
	if !ok {
		*b = slices.Insert(*b, at, &poolLanes[T]{name: pool, ready: newTree[T]()})
	}
	return (*b)[at]
}

// BeginRound starts a new round of UnblockCandidates after capacity was freed.
func (q *Queue[T]) BeginRound() {
	q.round++
	clear(q.candidates)
	q.candidates, q.candidatesKnown = q.candidates[:0], false
}

// UnblockCandidates unblocks one lane per pool and band: the first one for which mayStart returns true and that was not
// tried in this round. It reports whether it unblocked any. If little capacity was freed, this avoids trying all lanes.
// During a round, a lane that may not start cannot become one that may, so the first call examines all blocked lanes
// and later calls only the candidates.
func (q *Queue[T]) UnblockCandidates(mayStart func(k *Key) bool) bool {
	from := q.candidates
	if !q.candidatesKnown {
		from, q.candidatesKnown = q.blocked, true
	}
	kept := q.candidates[:0]
	var unblocked []*lane[T]
	for _, l := range from {
		if !l.blocked || l.triedRound == q.round || !mayStart(&l.key) {
			continue
		}
		kept = append(kept, l)
		switch first := l.pool.candidate; {
		case first == nil:
			unblocked = append(unblocked, l)
			l.pool.candidate = l
		case l.heap[0].before(first.heap[0]):
			unblocked[slices.Index(unblocked, first)] = l
			l.pool.candidate = l
		}
	}
	q.candidates = kept
	for _, l := range unblocked {
		l.pool.candidate = nil
		q.unblock(l)
	}
	return len(unblocked) > 0
}

// UnblockAll unblocks all lanes. If the last pass reached its limit, it unblocks only the urgent bands, so that the
// next pass continues with the lanes that have not been tried yet.
func (q *Queue[T]) UnblockAll() {
	for i := len(q.blocked) - 1; i >= 0; i-- {
		if l := q.blocked[i]; !q.passTruncated || l.key.Band >= UrgentBand {
			q.unblock(l)
		}
	}
	q.passTruncated = false
}

func (q *Queue[T]) block(l *lane[T]) {
	l.blocked, l.triedRound, l.blockedIndex = true, q.round, len(q.blocked)
	q.blocked = append(q.blocked, l)
	l.updateReady()
}

func (q *Queue[T]) unblock(l *lane[T]) {
	q.removeBlocked(l)
	l.blocked = false
	l.updateReady()
}

func (q *Queue[T]) removeBlocked(l *lane[T]) {
	last := len(q.blocked) - 1
	moved := q.blocked[last]
	q.blocked[l.blockedIndex], moved.blockedIndex = moved, l.blockedIndex
	q.blocked[last] = nil
	q.blocked = q.blocked[:last]
}
