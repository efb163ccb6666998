package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/owner"
	"turmericgap/presence"
)

// Guards against a lease that outlives what its owner or a successor assumes: the worker's clock may be 2% slow, and the
// owner's latest reading of it may be old, as it is after the owner's VM stood still. A hold is sent after a pause and may
// arrive late, but the time that it carries is fixed when it is ordered. A successor counts from the last time at which the
// tenure was confirmed, which the test takes to be the time of the order.
func TestLeaseEndsInTime(t *testing.T) {
	for _, rate := range []float64{1, 0.98} {
		for _, age := range []time.Duration{0, time.Second, 4 * time.Second, 15 * time.Second, time.Minute} {
			for _, pause := range []time.Duration{0, 800 * time.Millisecond} {
				t.Run(fmt.Sprintf("clock at %v, read %v ago, hold after %v", rate, age, pause), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { extendAtAge(t, rate, age, pause) })
				})
			}
		}
	}
}

// extendAtAge orders a hold and a start at some time after the latest reading of a worker's clock.
func extendAtAge(t *testing.T, rate float64, age, pause time.Duration) {
	is := is.New(t)
	tm := newTerm(t.Context(), newOptions(nil), &owner.Tenure{Fence: 1, Confirmed: func(time.Duration) bool { return true }})
	defer tm.cancelCtx()
	const reading = time.Hour
	n := &node{holdOrders: make(chan holdOrder, 1), synced: true, clock: reading, clockAt: time.Now()}
	// reaches returns when the worker's clock reaches a time.
	readAt := n.clockAt
	reaches := func(at time.Duration) time.Time { return readAt.Add(time.Duration(float64(at-reading) / rate)) }
	time.Sleep(age)
	ordered := time.Now()
	tm.sendNextHold(n, 0, pause)
	order := <-n.holdOrders
	if until := order.hold.Until; until > 0 {
		is.True(!reaches(until).After(n.leaseEnd))
		is.True(!reaches(until).After(ordered.Add(presence.MaxSpan(tm.o.MaxHold))))
	}
	is.True(order.hold.Until > 0 || age > 4*time.Second)
	until := n.clockNow(ordered) + launchValidity
	is.True(!reaches(until).After(n.lastTimeOf(until)))
}
