package floor

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/worker"
)

// The judge finds a planted violation of each kind, and nothing in a run without one.
func TestPlantedViolations(t *testing.T) {
	cases := map[string]struct {
		want string
		play func(f *Cluster, a, b *worker.Agent, wa *Worker)
	}{
		"none": {"", func(_ *Cluster, a, b *worker.Agent, _ *Worker) {
			launch(a, "x", 1)
			time.Sleep(2 * time.Second)
			launch(b, "y", 1)
			time.Sleep(2 * time.Second)
		}},
		"two at once": {"twice at once", func(_ *Cluster, a, b *worker.Agent, _ *Worker) {
			launch(a, "x", 1)
			launch(b, "x", 2)
		}},
		"again after a noted end": {"started again after it was done", func(_ *Cluster, a, b *worker.Agent, _ *Worker) {
			launch(a, "x", 1)
			time.Sleep(2 * time.Second)
			hold(a, 1)
			launch(b, "x", 2)
		}},
		"again after an end that lapsed unnoted": {"", func(_ *Cluster, a, b *worker.Agent, _ *Worker) {
			launch(a, "x", 1)
			time.Sleep(time.Minute)
			hold(a, 1)
			launch(b, "x", 2)
		}},
		"too many attempts": {"last attempt", func(f *Cluster, a, b *worker.Agent, _ *Worker) {
			f.BehaviourOf = func(worker.Task, int64) Behaviour {
				return Behaviour{Duration: time.Second, Ending: worker.EndingFailed, MaxAttempts: 1}
			}
			launch(a, "x", 1)
			time.Sleep(2 * time.Second)
			hold(a, 1)
			launch(b, "x", 2)
		}},
		"too much": {"too much on worker", func(f *Cluster, a, _ *worker.Agent, _ *Worker) {
			f.BehaviourOf = func(worker.Task, int64) Behaviour {
				return Behaviour{Duration: time.Second, Ending: worker.EndingDone, Resources: job.Resources{Millicores: 3000}}
			}
			launch(a, "x", 1)
			launch(a, "y", 1)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := New(func(worker.Task, int64) Behaviour { return Behaviour{Duration: time.Second, Ending: worker.EndingDone} })
				info := worker.Info{ID: "a", Has: job.Resources{Millicores: 4000}}
				wa := f.Add(info)
				other := info
				other.ID = "b"
				f.Add(other)
				c.play(f, f.Client(info), f.Client(other), wa)
				found := strings.Join(f.Violations(), "\n")
				is.New(t).True(strings.Contains(found, c.want) && (c.want != "" || found == ""))
				time.Sleep(time.Hour)
			})
		})
	}
}

func launch(a *worker.Agent, id string, run int64) {
	_, _ = a.Launch(context.Background(), &worker.Launch{Task: worker.Task{Work: id}, Run: run, Until: 30 * time.Second, Fence: 1})
}

func hold(a *worker.Agent, observed int64) {
	_, _ = a.Hold(context.Background(), &worker.Hold{Fence: 1, Observed: observed})
}
