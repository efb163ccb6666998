package aging

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// newTestStats returns a SizeStats that has seen works of sizes 1 to 10 many times.
func newTestStats() *SizeStats {
	s := New()
	for range 50 {
		for size := range 10 {
			s.Observe("rosters", float64(size+1))
		}
	}
	return s
}

// Small works may wait less than large ones, within bounds.
func TestWaitFactor(t *testing.T) {
	is := is.New(t)
	s := newTestStats()
	is.True(s.WaitFactor("rosters", 1) < s.WaitFactor("rosters", 5))
	is.True(s.WaitFactor("rosters", 5) < s.WaitFactor("rosters", 9))
	is.Equal(s.WaitFactor("rosters", 0.01), minWaitFactor)
	is.Equal(s.WaitFactor("rosters", 1000), float64(maxWaitFactor))
	is.Equal(s.WaitFactor("unknown", 1), 1.0)
}

// countStarts simulates n starts while works of the given classes always wait, and counts the starts by class.
func countStarts(s *SizeStats, n int, waiting ...Class) map[Class]int {
	got := make(map[Class]int)
	for range n {
		c := waiting[s.Order("rosters", waiting)[0]]
		s.RecordStart("rosters", c)
		got[c]++
	}
	return got
}

// Under lasting overload, works of all classes always wait and small ones come first by WaitFactor alone, so that no
// large work would ever start. Each class must start as often as its works arrive.
func TestLargeWorksStart(t *testing.T) {
	is := is.New(t)
	s := newTestStats()
	arrivals := make(map[Class]int)
	for i := range 100 {
		size := float64(i%10 + 1)
		s.Observe("rosters", size)
		arrivals[s.Class("rosters", size)]++
	}
	got := countStarts(s, 100, Usual, Usual, Usual, Large, Largest)
	for c := range NumClasses {
		is.True(arrivals[c] > 0)
		is.True(math.Abs(float64(got[c]-arrivals[c])) <= 5)
	}
}

// No large work waits for an hour. If their class saved up its unused starts, only large works would start for a long
// time afterwards, and all small ones would wait.
func TestIdleClassSavesNoStarts(t *testing.T) {
	is := is.New(t)
	s := newTestStats()
	countStarts(s, 1000, Usual)
	got := countStarts(s, 100, Usual, Large)
	is.True(got[Usual] >= 70)
	is.True(got[Large] >= 17)
}

// A class that was the only one to start works for a long time must not have to wait for that later.
func TestPastStartsAreNotPenalized(t *testing.T) {
	is := is.New(t)
	s := newTestStats()
	countStarts(s, 1000, Largest)
	got := countStarts(s, 100, Usual, Largest)
	is.True(got[Largest] >= 8)
}

func TestOrderIsStableWithinClass(t *testing.T) {
	for name, waiting := range map[string][]Class{
		"nothing waits": {}, "one class": {Large, Large, Large}, "all": {Usual, Largest, Usual, Large, Usual, Largest, Large},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			order := newTestStats().Order("rosters", waiting)
			is.Equal(len(order), len(waiting))
			last := map[Class]int{Usual: -1, Large: -1, Largest: -1}
			for _, i := range order {
				is.True(i > last[waiting[i]])
				last[waiting[i]] = i
			}
		})
	}
}

// If the works of a queue have only two sizes, all larger ones are in one class, which is far more than a tenth of
// them.
func TestSharesFollowArrivals(t *testing.T) {
	is := is.New(t)
	s := New()
	for i := range 400 {
		s.Observe("rosters", float64(1+i%2))
	}
	small, large := s.Class("rosters", 1), s.Class("rosters", 2)
	is.True(small != large)
	got := countStarts(s, 100, small, large)
	is.True(got[large] >= 45 && got[large] <= 55)
}

// Works of one class always wait, and works of the others come and go at random. The class must get its share of the
// starts, except for one start that each other class may be ahead by.
func TestWaitingClassAlwaysHasItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		for _, size := range rapid.SliceOfN(rapid.Float64Range(1, 1000), 30, 200).Draw(t, "sizes") {
			s.Observe("rosters", size)
		}
		waits := Class(rapid.IntRange(0, int(NumClasses)-1).Draw(t, "class"))
		const starts = 200
		got := 0
		for range starts {
			waiting := []Class{waits}
			for c := range NumClasses {
				if c != waits && rapid.Bool().Draw(t, "waits") {
					waiting = append(waiting, c)
				}
			}
			c := waiting[s.Order("rosters", waiting)[0]]
			s.RecordStart("rosters", c)
			if c == waits {
				got++
			}
		}
		q, all := s.queues["rosters"], 0.0
		for c := range NumClasses {
			all += 1 / q.startCost(c)
		}
		if want := starts / q.startCost(waits) / all; float64(got) < want-float64(NumClasses) {
			t.Fatalf("%v had %d of %d starts, its share is %.1f", waits, got, starts, want)
		}
	})
}
