package queue

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var now = time.Unix(1_800_000_000, 0)

func newUsage(share map[string]float64, over string) PoolUsage {
	return PoolUsage{
		Share:       func(pool string) float64 { return share[pool] },
		WithinQuota: func(k *Key) bool { return k.Pool != over },
	}
}

// drain starts or blocks all items and returns their names in order.
func drain(q *Queue[string], usage PoolUsage, blocks bool) []string {
	var got []string
	p := q.BeginPass(now, usage)
	for it := p.Next(); it != nil; it = p.Next() {
		got = append(got, it.Value)
		if blocks {
			p.BlockLane(it)
			continue
		}
		k := *it.Key()
		q.Remove(it)
		p.MarkStarted(&k)
	}
	return got
}

func push(q *Queue[string], name string, band int, pool string, late time.Duration) {
	q.Push(&Item[string]{Value: name, LateAt: now.Add(late)}, Key{Band: band, Pool: pool})
}

func TestOrder(t *testing.T) {
	is := is.New(t)
	q := New[string]()
	push(q, "batch of a", 0, "a", time.Hour)
	push(q, "batch of b", 0, "b", 2*time.Hour)
	push(q, "borrowed", 6, "over", time.Hour)
	push(q, "late", -3, "a", -time.Second)
	push(q, "check", 6, "a", time.Hour)
	got := drain(q, newUsage(map[string]float64{"a": 0.5, "b": 0.1}, "over"), false)
	is.Equal(got, []string{"check", "late", "batch of b", "batch of a", "borrowed"})
	is.Equal(q.Len(), 0)
	is.Equal(len(q.lanes), 0)
}

// Urgent items arrive without end. With bands alone a late item of a lower band would never start.
func TestLateItemsAreNotStarved(t *testing.T) {
	is := is.New(t)
	q := New[string]()
	push(q, "late", -3, "a", -time.Second)
	for range 20 {
		push(q, "check", 6, "a", time.Hour)
	}
	got := drain(q, newUsage(nil, ""), false)
	is.Equal(got[lateInterval], "late")
}

func TestBlockedLanesAreSkipped(t *testing.T) {
	is := is.New(t)
	q := New[string]()
	push(q, "first", 0, "a", time.Hour)
	push(q, "second", 0, "a", 2*time.Hour)
	push(q, "other", 0, "b", 3*time.Hour)
	is.Equal(drain(q, newUsage(nil, ""), true), []string{"first", "other"})
	is.Equal(len(drain(q, newUsage(nil, ""), true)), 0)
	q.BeginRound()
	is.True(q.UnblockCandidates(func(k *Key) bool { return k.Pool == "b" }))
	is.Equal(drain(q, newUsage(nil, ""), true), []string{"other"})
	is.True(!q.UnblockCandidates(func(k *Key) bool { return k.Pool == "b" })) // already tried in this round
	q.UnblockAll()
	is.Equal(len(drain(q, newUsage(nil, ""), false)), 3)
}
