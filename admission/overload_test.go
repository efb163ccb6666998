package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// observeLag reports a lag ten times a second.
func observeLag(d *OverloadDetector, now *time.Time, lag time.Duration, seconds int) {
	for range 10 * seconds {
		*now = now.Add(100 * time.Millisecond)
		d.Observe(*now, lag)
	}
}

// Short waits and single bursts must reject nothing. A loop that stays late must reject more and more, the same
// fraction of each kind and never all, and all work must be admitted again soon after it has caught up.
func TestBehind(t *testing.T) {
	is := is.New(t)
	var d OverloadDetector
	var s Shedder
	now := time.Unix(1000, 0)
	observeLag(&d, &now, 30*time.Millisecond, 5)
	is.Equal(d.RejectRatio(), 0.0)
	d.Observe(now, 2*time.Second) // a burst
	observeLag(&d, &now, 30*time.Millisecond, 1)
	is.Equal(d.RejectRatio(), 0.0)
	observeLag(&d, &now, 400*time.Millisecond, 2)
	is.Equal(d.RejectRatio(), 0.75)
	observeLag(&d, &now, 4*time.Second, 2)
	is.Equal(d.RejectRatio(), maxRejectRatio)
	admitted := map[string]int{}
	for range 1000 {
		for _, kind := range []string{"check", "roster"} {
			ok, retryAfter := s.Admit(kind, d.RejectRatio())
			if ok {
				admitted[kind]++
				continue
			}
			is.True(retryAfter >= minRetryAfter && retryAfter <= 2*minRetryAfter+retryAfterSpread)
		}
	}
	for _, n := range admitted {
		is.True(n > 30 && n < 70) // 1 in 20
	}
	observeLag(&d, &now, 0, 6)
	is.Equal(d.RejectRatio(), 0.0)
	ok, _ := s.Admit("check", d.RejectRatio())
	is.True(ok)
}
