package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/standin/floor"
)

// Guards against counting a run as over while its start order may still be carried out: the worker fell silent while the
// intent was waiting for the store, and its lease was about to expire when the order was sent. The order extends it.
func TestStartAtTheEndOfALease(t *testing.T) {
	for _, rate := range []float64{1, 0.98} {
		for _, before := range []time.Duration{500 * time.Millisecond, 700 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprintf("%v before, clock at %v", before, rate), func(t *testing.T) {
				inBubble(t, func(t *testing.T) { startBeforeLeaseEnd(t, before, rate) })
			})
		}
	}
}

// startBeforeLeaseEnd lets the intent of a run become durable shortly before the lease of its silent worker has surely
// expired. The worker carries the order out late.
func startBeforeLeaseEnd(t *testing.T, before time.Duration, rate float64) {
	is := is.New(t)
	c := newCell(t, runsFor(2*time.Second), "vm1")
	c.cluster.ClockRate = rate
	v := c.waitForOwner()
	time.Sleep(time.Second)
	c.submit(v, c.newWork("roster", job.Step{Tasks: 1}))
	v.commitAnswersLost.Store(true)
	late := c.addWorker("late", 4)
	time.Sleep(500 * time.Millisecond)
	late.SetFaults(floor.Faults{ResetConnections: true, LaunchDelay: 1200 * time.Millisecond})
	// Two holds fail at once; the second one is the last to extend the lease, for 10.7 s.
	time.Sleep(10900*time.Millisecond - before)
	is.Equal(c.countRuns("roster"), 0)
	c.addWorker("spare", 4)
	v.commitAnswersLost.Store(false)
	time.Sleep(4 * time.Second)
	late.SetFaults(floor.Faults{})
	c.waitForState(v, "roster", job.WorkCompleted, 30*time.Second)
	c.checkHistory()
}

// Guards against sending a start order long after its intent became durable, by an owner that was replaced meanwhile and
// does not know it. The worker that the next owner could not reach would start a task that now runs elsewhere.
func TestReplacedOwnerSendsNoStart(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(20*time.Second), "vm1", "vm2", "vm3")
		first := c.waitForOwner()
		time.Sleep(time.Second)
		c.submit(first, c.newWork("roster", job.Step{Tasks: 1}))
		first.commitAnswersHeld.Store(true)
		c.isolateOwnerWith(first, c.addWorker("near", 4))
		first.keyReadsSilent.Store(true)
		c.addWorker("far", 4)
		next := c.waitForSuccessor(first)
		time.Sleep(18 * time.Second)
		is.Equal(c.countRuns("roster"), 1)
		first.commitAnswersHeld.Store(false)
		time.Sleep(2 * time.Second)
		first.repliesCut.Store(false)
		c.waitForState(next, "roster", job.WorkCompleted, 30*time.Second)
		c.checkHistory()
	})
}
