package aging

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// sizes has seen a queue's works of 1 to 10, many times.
func sizes() *SizeStats {
	z := New()
	for range 50 {
		for size := range 10 {
			z.Observe("rosters", float64(size+1))
		}
	}
	return z
}

// A small work's turn comes early, a large one's later, within bounds.
func TestWait(t *testing.T) {
	is := is.New(t)
	z := sizes()
	is.True(z.WaitFactor("rosters", 1) < z.WaitFactor("rosters", 5))
	is.True(z.WaitFactor("rosters", 5) < z.WaitFactor("rosters", 9))
	is.Equal(z.WaitFactor("rosters", 0.01), waitLeast)
	is.Equal(z.WaitFactor("rosters", 1000), float64(waitMost))
	is.Equal(z.WaitFactor("unknown", 1), 1.0)
}

// begin gives n turns to works of all classes that wait without end, and counts them by class.
func begin(z *SizeStats, n int, waiting ...Class) map[Class]int {
	got := make(map[Class]int)
	for range n {
		c := waiting[z.Order("rosters", waiting)[0]]
		z.RecordStart("rosters", c)
		got[c]++
	}
	return got
}

// An overload lasts, so that works of all classes wait at each moment, the small ones with the earlier turn. By
// that turn alone no large work would ever begin. Each class has turns as often as its works arrive.
func TestLargeWorksHaveTheirTurns(t *testing.T) {
	is := is.New(t)
	z := sizes()
	arrive := make(map[Class]int)
	for i := range 100 {
		size := float64(i%10 + 1)
		z.Observe("rosters", size)
		arrive[z.Class("rosters", size)]++
	}
	got := begin(z, 100, Usual, Usual, Usual, Large, Largest)
	for c := range NumClasses {
		is.True(arrive[c] > 0)
		is.True(math.Abs(float64(got[c]-arrive[c])) <= 5)
	}
}

// No large work waits for an hour. If the turns that their class did not use were owed to it, large works alone
// would begin for long, and all small ones wait.
func TestUnusedTurnsAreNotOwed(t *testing.T) {
	is := is.New(t)
	z := sizes()
	begin(z, 1000, Usual)
	got := begin(z, 100, Usual, Large)
	is.True(got[Usual] >= 70)
	is.True(got[Large] >= 17)
}

// A class that has the cell for itself for long is not made to wait for that either.
func TestUsedTurnsAreNotHeldAgainst(t *testing.T) {
	is := is.New(t)
	z := sizes()
	begin(z, 1000, Largest)
	got := begin(z, 100, Usual, Largest)
	is.True(got[Largest] >= 8)
}

func TestShareKeepsTheOrderOfAClass(t *testing.T) {
	for name, waiting := range map[string][]Class{
		"nothing waits": {}, "one class": {Large, Large, Large}, "all": {Usual, Largest, Usual, Large, Usual, Largest, Large},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			order := sizes().Order("rosters", waiting)
			is.Equal(len(order), len(waiting))
			last := map[Class]int{Usual: -1, Large: -1, Largest: -1}
			for _, i := range order {
				is.True(i > last[waiting[i]])
				last[waiting[i]] = i
			}
		})
	}
}

// Works of a queue may have two sizes only. The larger ones are then all in one class, which is no tenth of them.
func TestSharesFollowArrivals(t *testing.T) {
	is := is.New(t)
	z := New()
	for i := range 400 {
		z.Observe("rosters", float64(1+i%2))
	}
	small, large := z.Class("rosters", 1), z.Class("rosters", 2)
	is.True(small != large)
	got := begin(z, 100, small, large)
	is.True(got[large] >= 45 && got[large] <= 55)
}

// Works of one class wait all the time, those of the others come and go as they like. Whatever they do, the class
// has its share of the turns, but for those that each of the others may be ahead by.
func TestWaitingClassAlwaysHasItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := New()
		for _, size := range rapid.SliceOfN(rapid.Float64Range(1, 1000), 30, 200).Draw(t, "sizes") {
			z.Observe("rosters", size)
		}
		waits := Class(rapid.IntRange(0, int(NumClasses)-1).Draw(t, "class"))
		const turns = 200
		got := 0
		for range turns {
			waiting := []Class{waits}
			for c := range NumClasses {
				if c != waits && rapid.Bool().Draw(t, "waits") {
					waiting = append(waiting, c)
				}
			}
			c := waiting[z.Order("rosters", waiting)[0]]
			z.RecordStart("rosters", c)
			if c == waits {
				got++
			}
		}
		q, all := z.queues["rosters"], 0.0
		for c := range NumClasses {
			all += 1 / q.turn(c)
		}
		if want := turns / q.turn(waits) / all; float64(got) < want-float64(NumClasses) {
			t.Fatalf("%v had %d of %d turns, its share is %.1f", waits, got, turns, want)
		}
	})
}
