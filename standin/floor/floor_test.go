package floor

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/worker"
)

// Guards against checks that miss a violation: each kind is produced on purpose and must be reported, and a
// history without one must be clean.
func TestPlantedViolations(t *testing.T) {
	cases := map[string]struct {
		want string
		run  func(cluster *Cluster, a, b *worker.Agent, wa *Worker)
	}{
		"none": {"", func(_ *Cluster, a, b *worker.Agent, _ *Worker) {
			launch(a, "x", 1)
			time.Sleep(2 * time.Second)
			launch(b, "y", 1)
			time.Sleep(2 * time.Second)
		}},
		"concurrent runs": {"twice at once", func(_ *Cluster, a, b *worker.Agent, _ *Worker) {
			launch(a, "x", 1)
			launch(b, "x", 2)
		}},
		"restart after an acknowledged completion": {"started again after it was done", func(_ *Cluster, a, b *worker.Agent, _ *Worker) {
			launch(a, "x", 1)
			time.Sleep(2 * time.Second)
			hold(a, 1)
			launch(b, "x", 2)
		}},
		"restart after a completion lost with the lease": {"", func(_ *Cluster, a, b *worker.Agent, _ *Worker) {
			launch(a, "x", 1)
			time.Sleep(time.Minute)
			hold(a, 1)
			launch(b, "x", 2)
		}},
		"too many attempts": {"last attempt", func(cluster *Cluster, a, b *worker.Agent, _ *Worker) {
			cluster.BehaviourOf = func(worker.Task, int64) Behaviour {
				return Behaviour{Duration: time.Second, Ending: worker.OutcomeFailed, MaxAttempts: 1}
			}
			launch(a, "x", 1)
			time.Sleep(2 * time.Second)
			hold(a, 1)
			launch(b, "x", 2)
		}},
		"third start after three crashes": {"too often after its crashes", func(cluster *Cluster, _, _ *worker.Agent, _ *Worker) {
			cluster.BehaviourOf = func(worker.Task, int64) Behaviour { return Behaviour{Duration: time.Second, CrashesWorker: true} }
			startOnCrashingWorkers(cluster, 6)
		}},
		"second start after three crashes": {"", func(cluster *Cluster, _, _ *worker.Agent, _ *Worker) {
			cluster.BehaviourOf = func(worker.Task, int64) Behaviour { return Behaviour{Duration: time.Second, CrashesWorker: true} }
			startOnCrashingWorkers(cluster, 5)
		}},
		"account above its cap": {"above its cap", func(cluster *Cluster, a, b *worker.Agent, _ *Worker) {
			cluster.BehaviourOf, cluster.CapOf = withAccount, capOf(1500)
			launch(a, "x", 1)
			launch(b, "y", 1)
			launch(b, "z", 1)
		}},
		"one task above its cap": {"", func(cluster *Cluster, a, b *worker.Agent, _ *Worker) {
			cluster.BehaviourOf, cluster.CapOf = withAccount, capOf(1500)
			launch(a, "x", 1)
			launch(b, "y", 1)
		}},
		"no cap": {"", func(cluster *Cluster, a, b *worker.Agent, _ *Worker) {
			cluster.BehaviourOf, cluster.CapOf = withAccount, capOf(0)
			launch(a, "x", 1)
			launch(b, "y", 1)
			launch(b, "z", 1)
		}},
		"restart after it was shown as completed": {"shown as completed", func(cluster *Cluster, a, b *worker.Agent, _ *Worker) {
			launch(a, "x", 1)
			time.Sleep(2 * time.Second)
			cluster.ShowCompleted("x")
			time.Sleep(2 * time.Second)
			launch(b, "x", 2)
		}},
		"late start after it was shown as completed": {"", func(cluster *Cluster, a, _ *worker.Agent, wa *Worker) {
			launch(a, "x", 1)
			time.Sleep(2 * time.Second)
			cluster.ShowCompleted("x")
			wa.SetFaults(Faults{TransitOf: func(CallKind, int) Transit { return Transit{Late: 2 * time.Second} }})
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, _ = wa.client().Launch(ctx, &worker.Launch{Task: worker.Task{Work: "x"}, Run: 2, Until: 30 * time.Second, Fence: 1})
			time.Sleep(5 * time.Second)
		}},
		"checkpoint of another task": {"a checkpoint that is not the task's", func(cluster *Cluster, a, b *worker.Agent, _ *Worker) {
			cluster.BehaviourOf = withCheckpoints
			saved := runUntilStopped(a, "x")
			_, _ = b.Launch(context.Background(), &worker.Launch{Task: worker.Task{Work: "y"}, Run: 1, Until: 30 * time.Second, Fence: 1, Checkpoint: saved})
		}},
		"checkpoint of the task": {"", func(cluster *Cluster, a, b *worker.Agent, _ *Worker) {
			cluster.BehaviourOf = withCheckpoints
			saved := runUntilStopped(a, "x")
			_, _ = b.Launch(context.Background(), &worker.Launch{Task: worker.Task{Work: "x"}, Run: 2, Until: 30 * time.Second, Fence: 1, Checkpoint: saved})
		}},
		"capacity exceeded": {"too much on worker", func(cluster *Cluster, a, _ *worker.Agent, _ *Worker) {
			cluster.BehaviourOf = func(worker.Task, int64) Behaviour {
				return Behaviour{Duration: time.Second, Ending: worker.OutcomeDone, Resources: job.Resources{Millicores: 3000}}
			}
			launch(a, "x", 1)
			launch(a, "y", 1)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := New(func(worker.Task, int64) Behaviour {
					return Behaviour{Duration: time.Second, Ending: worker.OutcomeDone}
				})
				info := worker.Info{ID: "a", Has: job.Resources{Millicores: 4000}}
				wa := cluster.Add(info)
				other := info
				other.ID = "b"
				cluster.Add(other)
				c.run(cluster, cluster.Client(info), cluster.Client(other), wa)
				violations := strings.Join(cluster.Violations(), "\n")
				is.New(t).True(strings.Contains(violations, c.want) && (c.want != "" || violations == ""))
				time.Sleep(time.Hour)
			})
		})
	}
}

func withCheckpoints(worker.Task, int64) Behaviour {
	return Behaviour{Duration: 3 * time.Second, Ending: worker.OutcomeDone, CheckpointInterval: time.Second, StopTime: 100 * time.Millisecond}
}

// runUntilStopped runs a task for a while, stops it and returns its checkpoint.
func runUntilStopped(a *worker.Agent, id string) string {
	launch(a, id, 1)
	time.Sleep(1500 * time.Millisecond)
	_, _ = a.Halt(context.Background(), &worker.Halt{Task: worker.Task{Work: id}, Run: 1, Fence: 1})
	held, _ := a.Hold(context.Background(), &worker.Hold{Fence: 1, Wait: time.Second})
	return held.Ended[0].Checkpoint
}

// Checks that calls are executed late, in another order than they were sent, and that replies can overtake each other.
func TestTransit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cluster := New(withCheckpoints)
		info := worker.Info{ID: "a", Has: job.Resources{Millicores: 4000}}
		w := cluster.Add(info)
		late := map[CallKind]time.Duration{CallLaunch: 2 * time.Second, CallHalt: time.Second}
		w.SetFaults(Faults{TransitOf: func(kind CallKind, n int) Transit {
			if kind == CallHold {
				return Transit{Reply: time.Second / time.Duration(n)}
			}
			return Transit{Late: late[kind]}
		}})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		a := cluster.Client(info)
		_, err := a.Launch(ctx, &worker.Launch{Task: worker.Task{Work: "x"}, Run: 1, Until: 30 * time.Second, Fence: 1})
		is.True(err != nil)
		_, err = a.Halt(ctx, &worker.Halt{Task: worker.Task{Work: "x"}, Run: 1, Fence: 1})
		is.True(err != nil)
		replies := make(chan time.Duration, 2)
		for range 2 {
			go func() {
				held, err := a.Hold(context.Background(), &worker.Hold{Fence: 1})
				is.NoErr(err)
				replies <- held.Clock
			}()
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		is.Equal(len(cluster.History()), 0) // the halt arrived before the launch
		is.Equal(len(replies), 2)
		first, second := <-replies, <-replies
		is.True(first > second) // the reply to the second hold came first
	})
}

func withAccount(worker.Task, int64) Behaviour {
	return Behaviour{Duration: time.Second, Ending: worker.OutcomeDone, Resources: job.Resources{Millicores: 1000}, Account: "kochi"}
}

func capOf(millicores int64) func(string) job.Resources {
	return func(string) job.Resources { return job.Resources{Millicores: millicores} }
}

// startOnCrashingWorkers starts a task on one new worker after the other.
func startOnCrashingWorkers(cluster *Cluster, starts int) {
	for run := range int64(starts) {
		info := worker.Info{ID: "new" + strconv.FormatInt(run, 10)}
		cluster.Add(info)
		launch(cluster.Client(info), "x", run+1)
		time.Sleep(2 * time.Second)
	}
}

func launch(a *worker.Agent, id string, run int64) {
	_, _ = a.Launch(context.Background(), &worker.Launch{Task: worker.Task{Work: id}, Run: run, Until: 30 * time.Second, Fence: 1})
}

func hold(a *worker.Agent, observed int64) {
	_, _ = a.Hold(context.Background(), &worker.Hold{Fence: 1, Observed: observed})
}
