package floor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/worker"
)

// Guards against a stand-in on which a single task is not as slow as its worker, or a gang not as slow as its slowest one.
func TestSlowWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := New(func(task worker.Task, _ int64) Behaviour {
			b := Behaviour{Duration: time.Second, Ending: worker.OutcomeDone}
			if task.Work == "gang" {
				b.GangSize = 2
			}
			return b
		})
		cluster.SlownessOf = func(i worker.Info) float64 { return map[string]float64{"fast": 0.6, "slow": 1.6}[i.ID] }
		for index, id := range []string{"fast", "slow"} {
			info := worker.Info{ID: id, Has: job.Resources{Millicores: 4000}}
			cluster.Add(info)
			a := cluster.Client(info)
			launch(a, id, 1)
			_, err := a.Launch(context.Background(), &worker.Launch{Task: worker.Task{Work: "gang", Index: index}, Run: 1, Until: 30 * time.Second, Fence: 1})
			is.NoErr(err)
		}
		time.Sleep(10 * time.Second)
		took := make(map[string]time.Duration)
		for _, r := range cluster.History() {
			took[r.Task.Work] = r.Ended.Sub(r.Started)
		}
		is.Equal(took, map[string]time.Duration{"fast": 600 * time.Millisecond, "slow": 1600 * time.Millisecond, "gang": 1600 * time.Millisecond})
	})
}
