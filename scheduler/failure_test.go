package scheduler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/planner"
	"turmericgap/route"
	"turmericgap/rpc"
	"turmericgap/rule"
	_ "turmericgap/rule/retry"
	standin "turmericgap/standin/worker"
	"turmericgap/worker"
)

// fault is a test case: a fault in a zone that runs a mixed load, and the outcomes that its callers may see.
type fault struct {
	name string
	// inject is called while the load is running, one second after it was submitted.
	inject func(c *cell, a, b *node)
	// repeatable and once are the allowed outcomes of the two kinds of jobs.
	repeatable, once []job.Outcome
}

var (
	onlyDone      = []job.Outcome{job.Done}
	doneOrUnknown = []job.Outcome{job.Done, job.Unknown}
)

func killOwner(c *cell, a, b *node) {
	a.sched.Kill()
	c.makeOwner(b)
}

var faults = []fault{
	{"nothing", func(*cell, *node, *node) {}, onlyDone, onlyDone},
	// The owner dies while attempts are running. The next owner finds them from the journal and the workers.
	{"owner killed", killOwner, onlyDone, onlyDone},
	// The owner dies, and its successor dies right after taking over.
	{"owner killed twice", func(c *cell, a, b *node) {
		killOwner(c, a, b)
		time.Sleep(150 * time.Millisecond)
		d := c.add()
		killOwner(c, b, d)
	}, onlyDone, onlyDone},
	// The owner is paused between its ownership check and its sends. Another owner takes over and runs the work;
	// then the old starts are sent. They repeat attempts that are known.
	{"owner frozen before its sends", func(c *cell, a, b *node) {
		release := a.holdStarts()
		c.submitMore()
		time.Sleep(time.Second)
		c.makeOwner(b)
		time.Sleep(30 * time.Second)
		release()
	}, onlyDone, onlyDone},
	// The same, but the late starts arrive while the next owner is still recovering.
	{"owner frozen shortly before its sends", func(c *cell, a, b *node) {
		release := a.holdStarts()
		c.submitMore()
		time.Sleep(time.Second)
		c.makeOwner(b)
		time.Sleep(500 * time.Millisecond)
		release()
	}, onlyDone, onlyDone},
	// The store carries out writes but the responses are lost, in the second case all of them for a while.
	{"store loses answers", func(_ *cell, a, _ *node) { a.store.LoseNext(5) }, onlyDone, onlyDone},
	{"store loses answers, owner killed", func(c *cell, a, b *node) {
		a.store.LoseAnswer(true)
		time.Sleep(time.Second)
		killOwner(c, a, b)
	}, onlyDone, onlyDone},
	{"store down for a minute", func(_ *cell, a, _ *node) {
		a.store.Down(true)
		time.Sleep(time.Minute)
		a.store.Down(false)
	}, onlyDone, onlyDone},
	{"store slow", func(_ *cell, a, _ *node) { a.store.Delay(time.Second) }, onlyDone, onlyDone},
	// A worker restarts and loses its state: whether its tasks had ended is unknown.
	{"worker restarts", func(c *cell, _, _ *node) { c.workers[0].Restart() }, onlyDone, doneOrUnknown},
	{"worker restarts while the owner changes", func(c *cell, a, b *node) {
		a.sched.Kill()
		c.workers[0].Restart()
		c.makeOwner(b)
	}, onlyDone, doneOrUnknown},
	// The owner forbids attempts that a restarted worker has lost, and dies before that is durable. The next owner
	// finds forbidden attempts, which do not prove that nothing ran before the restart.
	{"worker restarts, owner dies after forbidding", func(c *cell, a, b *node) {
		a.store.Down(true)
		c.workers[0].Restart()
		time.Sleep(3 * time.Second)
		killOwner(c, a, b)
	}, onlyDone, doneOrUnknown},
	// A worker is silent for longer than its leases. It stops its tasks, and only then do they run elsewhere.
	{"worker cut off for two minutes", func(c *cell, _, _ *node) {
		c.workers[0].SetFault(standin.Fault{Down: true})
		time.Sleep(2 * time.Minute)
		c.workers[0].SetFault(standin.Fault{})
	}, onlyDone, doneOrUnknown},
	{"worker cut off for ten seconds", func(c *cell, _, _ *node) {
		c.workers[0].SetFault(standin.Fault{Down: true})
		time.Sleep(10 * time.Second)
		c.workers[0].SetFault(standin.Fault{})
	}, onlyDone, onlyDone},
	{"worker frozen for two minutes", func(c *cell, _, _ *node) {
		c.workers[0].SetFault(standin.Fault{Frozen: true})
		time.Sleep(2 * time.Minute)
		c.workers[0].SetFault(standin.Fault{})
	}, onlyDone, doneOrUnknown},
	{"worker loses answers", func(c *cell, _, _ *node) {
		for _, w := range c.workers {
			w.SetFault(standin.Fault{LoseAnswers: 10})
		}
	}, onlyDone, onlyDone},
	{"worker slow, messages arrive after their sender gave up", func(c *cell, _, _ *node) {
		c.workers[0].SetFault(standin.Fault{DelayMillis: 2500})
		time.Sleep(20 * time.Second)
		c.workers[0].SetFault(standin.Fault{})
	}, onlyDone, doneOrUnknown},
	// Starts stay in the socket buffers of a frozen VM for longer than any lease, and take effect when it resumes.
	// The tasks must not run elsewhere meanwhile, whatever the leases say.
	{"worker frozen with starts in its socket buffers", func(c *cell, _, _ *node) {
		time.Sleep(3 * time.Second) // until the worker has free capacity
		c.workers[0].SetFault(standin.Fault{Frozen: true})
		c.submit(spec("late-60", 12, func(s *job.Submission) { s.RunSeconds = 60 }))
		time.Sleep(80 * time.Second)
		c.workers[0].SetFault(standin.Fault{})
	}, onlyDone, doneOrUnknown},
	// A start is in flight while its worker restarts, and arrives in the new boot.
	{"worker restarts with starts in flight", func(c *cell, _, _ *node) {
		time.Sleep(3 * time.Second) // until the worker has free capacity
		c.workers[0].SetFault(standin.Fault{DelayMillis: 2900})
		c.submit(spec("late-10", 12, func(s *job.Submission) { s.RunSeconds = 10 }))
		time.Sleep(500 * time.Millisecond)
		c.workers[0].Restart()
		time.Sleep(5 * time.Second)
		c.workers[0].SetFault(standin.Fault{})
	}, onlyDone, doneOrUnknown},
	{"40 answers truncated", func(c *cell, _, _ *node) { c.workers[0].SetFault(standin.Fault{Truncate: 40}) }, onlyDone, doneOrUnknown},
	{"2 answers truncated", func(c *cell, _, _ *node) { c.workers[0].SetFault(standin.Fault{Truncate: 2}) }, onlyDone, doneOrUnknown},
	// The owner's lease is not confirmed for a while. The owner sends nothing, and then continues where it stopped.
	{"ownership unconfirmed for a while", func(_ *cell, a, _ *node) {
		a.setInvalid(true)
		time.Sleep(20 * time.Second)
		a.setInvalid(false)
	}, onlyDone, onlyDone},
	{"worker fails everything", func(c *cell, _, _ *node) { c.workers[0].SetFault(standin.Fault{FailAll: true}) }, onlyDone, onlyDone},
}

// Guards against jobs that end wrongly or never under a fault. Repeatable jobs must be done; jobs that may run only
// once must be done, or unknown where the outcome cannot be known. The checker fails if a worker is overcommitted,
// a task runs in two places, a job that may run once runs twice, or an answer is false.
func TestFaults(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFaults(t, []fault{f}) })
		})
	}
}

// Like TestFaults with three random faults from fixed seeds. A failing seed stays in the list.
func TestFaultSchedules(t *testing.T) {
	for seed := uint64(1); seed <= numSchedules; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, seed))
			list := []fault{faults[random.IntN(len(faults))]}
			for len(list) < 3 {
				f := faults[random.IntN(len(faults))]
				if !changesOwner(f.name) || !slices.ContainsFunc(list, func(g fault) bool { return changesOwner(g.name) }) {
					list = append(list, f)
				}
			}
			synctest.Test(t, func(t *testing.T) { runFaults(t, list) })
		})
	}
}

const numSchedules = 150

// Like TestFaults with two faults, the second while the first is active or still being recovered from.
func TestFaultPairs(t *testing.T) {
	for _, f := range faults[1:] {
		for _, g := range faults[1:] {
			if changesOwner(f.name) && changesOwner(g.name) {
				continue
			}
			t.Run(f.name+", "+g.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runFaults(t, []fault{f, g}) })
			})
		}
	}
}

// changesOwner reports whether a fault needs the first two schedulers for itself.
func changesOwner(name string) bool {
	switch name {
	case "owner killed", "owner killed twice", "owner frozen before its sends", "owner frozen shortly before its sends",
		"store loses answers, owner killed", "worker restarts while the owner changes",
		"worker restarts, owner dies after forbidding":
		return true
	}
	return false
}

func (c *cell) submitMore() {
	for _, s := range []*job.Submission{spec("more", 2), spec("more-once", 2, notRepeatable)} {
		c.submit(s)
	}
}

func runFaults(t *testing.T, list []fault) {
	c := newCell(t, 3)
	a, b := c.add(), c.add()
	c.makeOwner(a)
	ids := map[string]bool{}
	for _, s := range []*job.Submission{spec("o1", 3, notRepeatable, long), spec("r1", 6), spec("r2", 3, long), spec("g1", 5, gang), spec("o2", 1, notRepeatable)} {
		ids[c.submit(s)] = s.Repeatable
	}
	time.Sleep(time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, f := range list[1:] {
			time.Sleep(300 * time.Millisecond)
			f.inject(c, a, b)
		}
	}()
	list[0].inject(c, a, b)
	<-done
	for id, repeatable := range ids {
		st := c.await(id, 10*time.Minute)
		allowed := false
		for _, f := range list {
			for _, o := range map[bool][]job.Outcome{true: f.repeatable, false: f.once}[repeatable] {
				allowed = allowed || st.Outcome == o
			}
		}
		if !allowed {
			t.Errorf("job %s (repeatable %v) ended %q: %s", id, repeatable, st.Outcome, st.Reason)
		}
	}
	if err := c.stop(); err != nil {
		t.Error(err)
	}
}

// Guards against accepting a job whose record is only in memory, which would be lost with the owner. While the store is
// down the job's record cannot become durable, although the owner's lease still holds; the caller must be told at once
// that its job was not run, and when to retry.
func TestRefusedWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, 1)
		a := c.add()
		c.makeOwner(a)
		c.await(c.submit(spec("first", 1)), time.Minute)
		time.Sleep(5 * time.Second) // nothing is being committed
		a.store.Down(true)
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		queued := make(chan error, 1)
		go func() {
			time.Sleep(100 * time.Millisecond)
			_, err := a.sched.Submit(ctx, spec("queued", 1), "")
			queued <- err
		}()
		_, err := a.sched.Submit(ctx, spec("second", 1), "")
		is.Equal(rpc.AsFault(err).Code, rpc.CodeUnknown)      // its record is being committed
		is.Equal(rpc.AsFault(<-queued).Code, rpc.CodeRefused) // its record was still queued and is withdrawn
		began := time.Now()
		_, err = a.sched.Submit(context.Background(), spec("third", 1), "")
		is.Equal(rpc.AsFault(err).Code, rpc.CodeRefused)
		is.True(rpc.AsFault(err).RetryAfter > 0)
		is.Equal(time.Since(began), time.Duration(0))
		a.store.Down(false)
		time.Sleep(10 * time.Second)
		st, err := a.sched.Submit(context.Background(), spec("second", 1), "")
		is.NoErr(err)
		is.Equal(st.Outcome, job.Done) // the first submission was kept
		_, err = a.sched.Status(context.Background(), route.JobID(testZone, "queued"))
		is.Equal(rpc.AsFault(err).Code, rpc.CodeNotFound)
		is.NoErr(c.stop())
	})
}

// Guards against wrong outcomes of cancelled jobs: not run if nothing was ever sent, done if the job ended first,
// unknown if it was stopped while running. Twenty jobs queue, start, run and end while their cancellations arrive,
// and the owner dies in between.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 2)
		a, b := c.add(), c.add()
		c.makeOwner(a)
		var ids []string
		for i := range 20 {
			ids = append(ids, c.submit(spec(fmt.Sprint("job-", i), 2, notRepeatable)))
		}
		time.Sleep(1900 * time.Millisecond)
		// In reverse order: a stop frees capacity, so that a queued job starts before its own cancellation.
		for i := len(ids) - 1; i >= 0; i-- {
			if i == 10 {
				killOwner(c, a, b)
			}
			c.cancel(ids[i])
		}
		outcomes := map[job.Outcome]int{}
		for _, id := range ids {
			outcomes[c.await(id, 5*time.Minute).Outcome]++
		}
		if outcomes[job.NotRun] == 0 || outcomes[job.Unknown]+outcomes[job.Done] == 0 {
			t.Errorf("outcomes %v: no cancelled job was queued, or none had started", outcomes)
		}
		if err := c.stop(); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a job waiting forever in a home zone that can never run it, or running in two zones. The job is
// moved to a zone that can run it, and so is a repeated submission of its key, also by a new owner and after the
// home zone has got a suitable worker. A job that fits into no zone is refused without a retry time.
func TestMovedToZoneThatFits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, 1)
		here := c.listed()
		far := worker.Info{ID: "far", Zone: "kollam-hall", Has: job.Resources{Millicores: 8000, MemoryMB: 16000, Accelerators: 8}}
		var listed atomic.Pointer[[]worker.Info]
		listed.Store(&[]worker.Info{here[0], far})
		c.listed = func() []worker.Info { return *listed.Load() }
		a, b := c.add(), c.add()
		c.makeOwner(a)
		time.Sleep(2 * time.Second)
		big := spec("big", 2, func(s *job.Submission) { s.TaskResources.Accelerators, s.Gang = 4, true })
		for _, n := range []*node{a, a, b} {
			if n == b {
				killOwner(c, a, b)
				time.Sleep(2 * time.Second)
				here[0].Has = far.Has
				listed.Store(&here)
				time.Sleep(2 * time.Second)
			}
			_, err := n.sched.Submit(context.Background(), big, "")
			is.Equal(rpc.AsFault(err).Code, rpc.CodeMoved)
			is.Equal(rpc.AsFault(err).Zone, "kollam-hall")
		}
		_, err := b.sched.Submit(context.Background(), spec("huge", 1, func(s *job.Submission) { s.TaskResources.Accelerators = 9 }), "")
		is.Equal(rpc.AsFault(err).Code, rpc.CodeRefused)
		is.Equal(rpc.AsFault(err).RetryAfter, time.Duration(0))
		is.NoErr(c.stop())
	})
}

// Guards against losing the progress of a long job when its worker leaves. Half a minute after the VM list
// announces that, the task is checkpointed, stopped and continued elsewhere. Tasks that may run only once finish
// where they are.
func TestLeavingWorkerIsDrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, 2)
		var listed atomic.Pointer[[]worker.Info]
		all := c.listed()
		listed.Store(&all)
		c.listed = func() []worker.Info { return *listed.Load() }
		a := c.add()
		c.makeOwner(a)
		hour := func(s *job.Submission) { s.RunSeconds = 3600 }
		moved, kept := c.submit(spec("moved", 2, hour)), c.submit(spec("kept", 2, hour, notRepeatable))
		time.Sleep(20 * time.Minute)
		before, err := a.sched.Status(context.Background(), moved)
		is.NoErr(err)
		leaving := slices.Clone(all)
		for i := range leaving {
			leaving[i].Leaving = leaving[i].ID == before.Tasks[0].Worker
		}
		listed.Store(&leaving)
		st := c.await(moved, 2*time.Hour)
		is.Equal(st.Outcome, job.Done)
		// Twenty minutes were done before the move; without the checkpoint the job would end after 80 minutes.
		is.True(st.Ended.Sub(st.Accepted) < 65*time.Minute)
		is.Equal(st.Tasks[0].Attempt, 2)
		is.True(st.Tasks[0].Worker != before.Tasks[0].Worker)
		st = c.await(kept, 2*time.Hour)
		is.Equal(st.Outcome, job.Done)
		is.Equal(st.Tasks[0].Attempt+st.Tasks[1].Attempt, 2)
		is.NoErr(c.stop())
	})
}

// Guards against a job that never ends and holds its capacity forever. An attempt that exceeds the timeout of its
// rule is stopped and run again once; then the job ends and later jobs get the capacity. The declared run time of
// ten seconds is far too short.
func TestAttemptTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, 1, standin.ClassRunTime("stuck", 24*time.Hour))
		rules, err := rule.New(rule.Document{Rules: []rule.Rule{{ID: "all", Then: []rule.Action{
			{Kind: "retry", With: []byte(`{"timeoutSeconds": 60, "retries": 1}`)},
		}}}})
		is.NoErr(err)
		a := c.add(Planner(func() *planner.Planner { return planner.New(planner.Rules(rules)) }))
		c.makeOwner(a)
		stuck := c.submit(spec("stuck", 4, func(s *job.Submission) { s.Class, s.RunSeconds = "stuck", 10 }))
		next := c.submit(spec("next", 1))
		st := c.await(stuck, 10*time.Minute)
		is.Equal(st.Outcome, job.Unknown)
		is.Equal(st.Tasks[0].Attempt, 2)
		is.Equal(st.Tasks[0].Reason, stopTimedOut)
		is.Equal(c.await(next, time.Minute).Outcome, job.Done)
		is.NoErr(c.stop())
	})
}
