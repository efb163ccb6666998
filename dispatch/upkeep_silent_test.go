package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/maintenance"
	"turmericgap/standin/floor"
	"turmericgap/worker"
)

// Guards against stopping a service task for maintenance while another one of its step is away: its worker has crashed
// and has been silent for longer than a caller accepts, but its lease has not expired.
func TestUpkeepCountsSilentServices(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, func(worker.Task, int64) floor.Behaviour {
			return floor.Behaviour{Duration: time.Hour, Ending: worker.OutcomeDone, FullProgress: true, Resources: job.Resources{Millicores: 1000}}
		})
		ws := c.addWorkers(2, 4)
		c.cloud = newFakeCloud(c, ws, 1)
		c.startVM("vm1")
		v := c.waitForOwner()
		time.Sleep(3 * time.Second)
		c.submit(v, c.newWork("desk", job.Step{Tasks: 2, Service: true, MaxPerWorker: 1, MaxUnavailable: 1}))
		time.Sleep(2 * time.Second)
		is.Equal(c.countRuns("desk"), 2)
		c.addWorker("spare", 4)
		ws[0].Crash(false)
		time.Sleep(4 * time.Second)
		c.putWave(maintenance.Wave{Number: 1, VMs: []string{"host1"}, TimeLimit: 5 * time.Second, MaxUnavailable: 1})
		for range 400 {
			time.Sleep(50 * time.Millisecond)
			present := 0
			for _, r := range c.cluster.History() {
				if r.Ended.IsZero() {
					present++
				}
			}
			is.True(present > 0) // the last task that is at work was stopped
		}
		is.True(c.isWaveCompleted(1))
	})
}
