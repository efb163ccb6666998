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

// Checks of callers in three zones are under way when one zone is cut off. Its callers are lost until the cut
// heals; the checks of the others must not wait for tasks on workers behind the cut, whose ends nobody can
// hear: spread over all workers more than half of them would.
func TestChecksStayInTheirCallersZone(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(800*time.Millisecond), "vm1")
		zones := []string{"kochi-hall", "alappuzha-hall", "kollam-hall"}
		var cut []*floor.Worker
		for i := range 24 {
			zone := zones[i%len(zones)]
			info := worker.Info{ID: fmt.Sprintf("w%02d", i), Address: fmt.Sprintf("w%02d", i), Zone: zone, Has: job.Resources{Millicores: 16000, MemoryMB: 64000}}
			w := c.floor.Add(info)
			c.register(worker.ListedWorker{Info: info, Pool: pool, Labels: []string{"a", "r1"}})
			if zone == zones[2] {
				cut = append(cut, w)
			}
		}
		v := c.owner()
		time.Sleep(time.Second)
		handed := make(map[string]time.Time)
		time.AfterFunc(1500*time.Millisecond, func() {
			for _, w := range cut {
				w.SetFaults(floor.Faults{Unreachable: true})
			}
		})
		for i := range 60 {
			w := c.work(fmt.Sprintf("check%02d", i), job.Step{Tasks: 2, Estimate: 800 * time.Millisecond})
			w.Zone = zones[i%len(zones)]
			if err := v.disp.Accept(t.Context(), w); err != nil {
				t.Fatal(err)
			}
			if w.Zone != zones[2] {
				handed[w.ID] = time.Now()
			}
			time.Sleep(25 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		ended, late := c.endedAt(), 0
		for id, at := range handed {
			if end, ok := ended[id]; !ok || end.Sub(at) > 1400*time.Millisecond {
				late++
			}
		}
		t.Logf("%d of %d checks of the other zones were late", late, len(handed))
		is.Equal(late, 0)
		c.checkHistory()
	})
}
