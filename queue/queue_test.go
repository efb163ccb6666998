package queue

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var now = time.Unix(1_800_000_000, 0)

func terms(share map[string]float64, over string) PoolUsage {
	return PoolUsage{
		Share:       func(pool string) float64 { return share[pool] },
		WithinQuota: func(k *Key) bool { return k.Pool != over },
	}
}

// drain starts or blocks everything in order and gives the names.
func drain(q *Queue[string], t PoolUsage, blocks bool) []string {
	var got []string
	p := q.BeginPass(now, t)
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
	got := drain(q, terms(map[string]float64{"a": 0.5, "b": 0.1}, "over"), false)
	is.Equal(got, []string{"check", "late", "batch of b", "batch of a", "borrowed"})
	is.Equal(q.Len(), 0)
	is.Equal(len(q.lanes), 0)
}

// Checks arrive without end. If only bands counted, a late job of a lower band would never start.
func TestLateItemsGetTheirTurn(t *testing.T) {
	is := is.New(t)
	q := New[string]()
	push(q, "late", -3, "a", -time.Second)
	for range 20 {
		push(q, "check", 6, "a", time.Hour)
	}
	got := drain(q, terms(nil, ""), false)
	is.Equal(got[lateTurn], "late")
}

func TestBlockedLanesArePassedOver(t *testing.T) {
	is := is.New(t)
	q := New[string]()
	push(q, "first", 0, "a", time.Hour)
	push(q, "second", 0, "a", 2*time.Hour)
	push(q, "other", 0, "b", 3*time.Hour)
	is.Equal(drain(q, terms(nil, ""), true), []string{"first", "other"})
	is.Equal(len(drain(q, terms(nil, ""), true)), 0)
	q.BeginRound()
	is.True(q.UnblockCandidates(func(k *Key) bool { return k.Pool == "b" }))
	is.Equal(drain(q, terms(nil, ""), true), []string{"other"})
	is.True(!q.UnblockCandidates(func(k *Key) bool { return k.Pool == "b" })) // tried in this round
	q.UnblockAll()
	is.Equal(len(drain(q, terms(nil, ""), false)), 3)
}
