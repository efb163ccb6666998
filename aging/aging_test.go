package aging

import (
	"testing"

	"github.com/matryer/is"
)

// sizes has seen a queue's works of 1 to 10, many times.
func sizes() *Sizes {
	z := New()
	for range 10 {
		for size := range 10 {
			z.Note("rosters", float64(size+1))
		}
	}
	return z
}

// A small work's turn comes early, a large one's later, within bounds.
func TestWait(t *testing.T) {
	is := is.New(t)
	z := sizes()
	is.True(z.Wait("rosters", 1) < z.Wait("rosters", 5))
	is.True(z.Wait("rosters", 5) < z.Wait("rosters", 9))
	is.Equal(z.Wait("rosters", 0.01), waitLeast)
	is.Equal(z.Wait("rosters", 1000), float64(waitMost))
	is.Equal(z.Wait("unknown", 1), 1.0)
}

// Under an overload that lasts, the large works are done too late, and nobody is served of them while most of
// the others are. They get an early turn, only they, and only until they are served as often again.
func TestLargeWorksAreNotStarved(t *testing.T) {
	for name, size := range map[string]float64{"the largest": 10, "the next": 8} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			z := sizes()
			usual := z.Wait("rosters", size)
			for range 10 {
				z.Served("rosters", 3, true)
				z.Served("rosters", size, false)
			}
			is.Equal(z.Wait("rosters", size), fairWait)
			is.True(z.Wait("rosters", 3) > fairWait)
			for range 40 {
				z.Served("rosters", 3, true)
				z.Served("rosters", size, true)
			}
			is.Equal(z.Wait("rosters", size), usual)
		})
	}
}

// Where hardly anything is served, the large works fare no worse than the others, and nothing changes.
func TestOverloadOfAll(t *testing.T) {
	is := is.New(t)
	z := sizes()
	usual := z.Wait("rosters", 10)
	for range 20 {
		z.Served("rosters", 3, false)
		z.Served("rosters", 10, false)
	}
	is.Equal(z.Wait("rosters", 10), usual)
}
