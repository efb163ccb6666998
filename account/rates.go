package account

import (
	"math"
	"slices"
	"time"
)

// rateWindow is the span in which the submissions of an account are counted against its rate.
const rateWindow = time.Second

// Rates tells which submissions exceed the rate of their account. It is not safe for concurrent use.
//
// Load pattern: one account sends many times its usual. What exceeds its rate is served last and refused first, so that
// the other accounts see nothing of it.
type Rates struct {
	windows map[string]*window
}

// window holds the times of the latest submissions of an account that were within its rate, oldest first.
type window struct{ times []time.Time }

// NewRates returns Rates without submissions.
func NewRates() *Rates { return &Rates{windows: make(map[string]*window)} }

// Exceeds counts a submission and reports whether it exceeds the rate of its account, in submissions per second. A rate
// of zero is not limited, and neither are submissions without an account.
func (r *Rates) Exceeds(name string, perSecond float64, at time.Time) bool {
	if name == "" || perSecond <= 0 {
		return false
	}
	if r.IsUsedUp(name, perSecond, at) {
		return true
	}
	w := r.windows[name]
	if w == nil {
		w = &window{}
		r.windows[name] = w
	}
	// Entry VMs' clocks differ a little, so submissions do not arrive in the order of their times.
	i, _ := slices.BinarySearchFunc(w.times, at, time.Time.Compare)
	w.times = slices.Insert(w.times, i, at)
	return false
}

// IsUsedUp reports whether a submission would exceed the rate of its account, and counts nothing.
func (r *Rates) IsUsedUp(name string, perSecond float64, at time.Time) bool {
	w := r.windows[name]
	if w == nil || perSecond <= 0 {
		return false
	}
	w.dropBefore(at.Add(-rateWindow))
	return len(w.times) >= max(int(math.Round(perSecond)), 1)
}

func (w *window) dropBefore(t time.Time) {
	n := 0
	for n < len(w.times) && !w.times[n].After(t) {
		n++
	}
	w.times = w.times[n:]
}

// Forget drops the accounts without recent submissions.
func (r *Rates) Forget(now time.Time) {
	for name, w := range r.windows {
		if w.dropBefore(now.Add(-rateWindow)); len(w.times) == 0 {
			delete(r.windows, name)
		}
	}
}
