package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/permit"
)

// The store takes 160 ms for an answer while checks come that need a permit, which takes 18 ms. If a check is
// made durable first and its start afterwards, the second commit waits for the first, and a check that has
// 600 ms to spare has lost more than half of them before it starts.
func TestStartJoinsAcceptance(t *testing.T) {
	play(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(800*time.Millisecond), "vm1")
		c.config.Queues[0].Permit = &job.PermitCost{Base: 8 * time.Millisecond, PerWorker: time.Millisecond}
		c.permits = func(q *permit.Question) ([]string, time.Duration) { return q.Workers, 18 * time.Millisecond }
		c.workers(16, 16)
		v := c.owner()
		time.Sleep(time.Second)
		v.store.Delay(160 * time.Millisecond)
		handed := make(map[string]time.Time)
		for i := range 40 {
			id := fmt.Sprintf("check%02d", i)
			handed[id] = time.Now()
			w := c.work(id, job.Step{Tasks: 2, Estimate: 800 * time.Millisecond})
			go func() {
				if err := v.front.Submit(t.Context(), w); err != nil {
					t.Errorf("submit %s: %v", id, err)
				}
			}()
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		var begun time.Duration
		for _, r := range c.floor.History() {
			begun += r.Begun.Sub(handed[r.Task.Work])
		}
		mean := begun / time.Duration(len(c.floor.History()))
		t.Logf("started %v after they were handed in", mean)
		is.True(mean < 260*time.Millisecond)
		is.Equal(len(c.endedAt()), len(handed))
		c.judge()
	})
}
