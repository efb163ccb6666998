package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"turmericgap/job"
	"turmericgap/store"
	"turmericgap/workrecord"
)

// crashesOnRecord returns the largest number of losses that the store holds against any task of a work.
func (c *cell) crashesOnRecord(id string) int {
	c.t.Helper()
	res, err := c.kv.Store().Range(c.t.Context(), store.Range{Key: workrecord.StatePrefix + id})
	if err != nil {
		c.t.Fatal(err)
	}
	most := 0
	for i := range res.Pairs {
		var p workrecord.Progress
		if err := msgpack.Unmarshal(res.Pairs[i].Value, &p); err != nil {
			c.t.Fatal(err)
		}
		for _, o := range p.Live {
			for _, s := range o.Steps {
				for _, u := range s.Crashes {
					most = max(most, u.Record.Crashes+u.Record.Losses)
				}
			}
		}
	}
	return most
}

// Guards against counting one crash of a worker again under each new owner, until sound works are given up for it, and
// against not counting it because an owner was lost before its count was durable.
func TestCrashIsCountedOnce(t *testing.T) {
	steps := map[string]job.Step{
		"tasks":    {Tasks: 1, Estimate: 8 * time.Second},
		"services": {Tasks: 1, Service: true},
		"gangs":    {Tasks: 2, Gang: true, Estimate: 8 * time.Second},
	}
	for name, step := range steps {
		for _, gap := range []time.Duration{50 * time.Millisecond, 400 * time.Millisecond, 1200 * time.Millisecond} {
			for _, unsaved := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %v between owners, unsaved %v", name, gap, unsaved), func(t *testing.T) {
					inBubble(t, func(t *testing.T) { loseOwnersAfterCrash(t, step, gap, unsaved) })
				})
			}
		}
	}
}

// loseOwnersAfterCrash crashes a worker once, and kills one owner after the other. Where unsaved is set, the store does not
// answer any of them but the last.
func loseOwnersAfterCrash(t *testing.T, step job.Step, gap time.Duration, unsaved bool) {
	t.Helper()
	c := newRestartCell(t, runsFor(8*time.Second))
	step.Label = c.ws[0].Info().ID
	var ids []string
	for i := range 4 / step.Tasks {
		ids = append(ids, fmt.Sprint("x", i))
		c.submit(c.v, c.newWork(ids[i], step))
	}
	time.Sleep(time.Second)
	c.ws[0].Crash(false)
	time.AfterFunc(time.Second, func() { c.restart(0) })
	for i := range 6 {
		c.v.store.Cut(unsaved)
		time.Sleep(gap)
		c.startVM(fmt.Sprint("later", i))
		c.takeOver()
	}
	time.Sleep(1500 * time.Millisecond)
	for _, id := range ids {
		if n := c.crashesOnRecord(id); n != 1 {
			t.Errorf("%s: %d crashes on record after one crash", id, n)
		}
	}
	want := job.WorkCompleted
	if step.Service {
		want = job.WorkRunning
	}
	for _, id := range ids {
		c.waitForState(c.v, id, want, 40*time.Second)
	}
	c.checkHistory()
}
