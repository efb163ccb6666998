package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// lagging notes a lag ten times a second.
func lagging(b *OverloadDetector, now *time.Time, lag time.Duration, seconds int) {
	for range 10 * seconds {
		*now = now.Add(100 * time.Millisecond)
		b.Observe(*now, lag)
	}
}

// Short waits and single bursts turn nothing away; a loop that stays late turns away more and more, of each kind the
// same part and never all; and all is taken again soon after it has caught up.
func TestBehind(t *testing.T) {
	is := is.New(t)
	var b OverloadDetector
	var g Shedder
	now := time.Unix(1000, 0)
	lagging(&b, &now, 30*time.Millisecond, 5)
	is.Equal(b.RejectRatio(), 0.0)
	b.Observe(now, 2*time.Second) // a burst
	lagging(&b, &now, 30*time.Millisecond, 1)
	is.Equal(b.RejectRatio(), 0.0)
	lagging(&b, &now, 400*time.Millisecond, 2)
	is.Equal(b.RejectRatio(), 0.75)
	lagging(&b, &now, 4*time.Second, 2)
	is.Equal(b.RejectRatio(), mostShare)
	taken := map[string]int{}
	for range 1000 {
		for _, kind := range []string{"check", "roster"} {
			ok, again := g.Admit(kind, b.RejectRatio())
			if ok {
				taken[kind]++
				continue
			}
			is.True(again >= retryLeast && again <= 2*retryLeast+retrySpread)
		}
	}
	for _, n := range taken {
		is.True(n > 30 && n < 70) // one of twenty
	}
	lagging(&b, &now, 0, 6)
	is.Equal(b.RejectRatio(), 0.0)
	ok, _ := g.Admit("check", b.RejectRatio())
	is.True(ok)
}
