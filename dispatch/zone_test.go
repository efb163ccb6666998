package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/standin/floor"
	"turmericgap/worker"
)

// Guards against spreading checks over all zones: when one zone is cut off, more than half of the checks of callers in
// the other zones would wait for tasks in that zone, whose ends the owner cannot learn.
func TestChecksStayInTheirCallersZone(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(800*time.Millisecond), "vm1")
		zones := []string{"kochi-hall", "alappuzha-hall", "kollam-hall"}
		var cut []*floor.Worker
		for i := range 24 {
			zone := zones[i%len(zones)]
			info := worker.Info{ID: fmt.Sprintf("w%02d", i), Address: fmt.Sprintf("w%02d", i), Zone: zone, Has: job.Resources{Millicores: 16000, MemoryMB: 64000}}
			w := c.cluster.Add(info)
			c.register(worker.ListedWorker{Info: info, Pool: pool, Labels: []string{"a", "r1"}})
			if zone == zones[2] {
				cut = append(cut, w)
			}
		}
		v := c.waitForOwner()
		time.Sleep(time.Second)
		submitted := make(map[string]time.Time)
		time.AfterFunc(1500*time.Millisecond, func() {
			for _, w := range cut {
				w.SetFaults(floor.Faults{Unreachable: true})
			}
		})
		for i := range 60 {
			w := c.newWork(fmt.Sprintf("check%02d", i), job.Step{Tasks: 2, Estimate: 800 * time.Millisecond})
			w.Zone = zones[i%len(zones)]
			if err := v.dispatcher.Accept(t.Context(), w); err != nil {
				t.Fatal(err)
			}
			if w.Zone != zones[2] {
				submitted[w.ID] = time.Now()
			}
			time.Sleep(25 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		ended, late := c.endTimes(), 0
		for id, at := range submitted {
			if end, ok := ended[id]; !ok || end.Sub(at) > 1400*time.Millisecond {
				late++
			}
		}
		t.Logf("%d of %d checks of the other zones were late", late, len(submitted))
		is.Equal(late, 0)
		c.checkHistory()
	})
}
