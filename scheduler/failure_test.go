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

// fault is one row: what happens to a zone that runs a mixed load, and what its callers then see.
type fault struct {
	name string
	// strike is called with the load under way, one second after it was submitted.
	strike func(c *cell, a, b *node)
	// repeatable and once are the outcomes that the two kinds of jobs may have.
	repeatable, once []job.Outcome
}

var (
	isDone       = []job.Outcome{job.Done}
	doneOrUnsure = []job.Outcome{job.Done, job.Unknown}
)

func kill(c *cell, a, b *node) {
	a.sched.Kill()
	c.take(b)
}

var faults = []fault{
	{"nothing", func(*cell, *node, *node) {}, isDone, isDone},
	// The owner dies with attempts running; the next one finds them by its journal and the workers.
	{"owner killed", kill, isDone, isDone},
	// The owner dies twice over: the successor dies as soon as it has taken over.
	{"owner killed twice", func(c *cell, a, b *node) {
		kill(c, a, b)
		time.Sleep(150 * time.Millisecond)
		d := c.add()
		kill(c, b, d)
	}, isDone, isDone},
	// The owner is paused between its check of ownership and its sends. Another owner takes over and
	// runs the work; then the old starts go out. They are repeats of attempts that are known.
	{"owner frozen before its sends", func(c *cell, a, b *node) {
		release := a.holdStarts()
		c.submitMore()
		time.Sleep(time.Second)
		c.take(b)
		time.Sleep(30 * time.Second)
		release()
	}, isDone, isDone},
	// The same, and the late starts arrive while their successor is just recovering.
	{"owner frozen shortly before its sends", func(c *cell, a, b *node) {
		release := a.holdStarts()
		c.submitMore()
		time.Sleep(time.Second)
		c.take(b)
		time.Sleep(500 * time.Millisecond)
		release()
	}, isDone, isDone},
	// The store takes writes and loses the answers, for a while all of them.
	{"store loses answers", func(_ *cell, a, _ *node) { a.store.LoseNext(5) }, isDone, isDone},
	{"store loses answers, owner killed", func(c *cell, a, b *node) {
		a.store.LoseAnswer(true)
		time.Sleep(time.Second)
		kill(c, a, b)
	}, isDone, isDone},
	{"store down for a minute", func(_ *cell, a, _ *node) {
		a.store.Down(true)
		time.Sleep(time.Minute)
		a.store.Down(false)
	}, isDone, isDone},
	{"store slow", func(_ *cell, a, _ *node) { a.store.Delay(time.Second) }, isDone, isDone},
	// A worker restarts and has lost its memory: whether its tasks had ended nobody can say.
	{"worker restarts", func(c *cell, _, _ *node) { c.workers[0].Restart() }, isDone, doneOrUnsure},
	{"worker restarts while the owner changes", func(c *cell, a, b *node) {
		a.sched.Kill()
		c.workers[0].Restart()
		c.take(b)
	}, isDone, doneOrUnsure},
	// The owner forbids what a restarted worker has forgotten, and dies before that is durable. Its
	// successor meets forbidden attempts; they are no proof that nothing ran before the restart.
	{"worker restarts, owner dies after forbidding", func(c *cell, a, b *node) {
		a.store.Down(true)
		c.workers[0].Restart()
		time.Sleep(3 * time.Second)
		kill(c, a, b)
	}, isDone, doneOrUnsure},
	// A worker is silent for longer than its leases: it stops its tasks, and only then they run elsewhere.
	{"worker cut off for long", func(c *cell, _, _ *node) {
		c.workers[0].SetFault(standin.Fault{Down: true})
		time.Sleep(2 * time.Minute)
		c.workers[0].SetFault(standin.Fault{})
	}, isDone, doneOrUnsure},
	{"worker cut off for short", func(c *cell, _, _ *node) {
		c.workers[0].SetFault(standin.Fault{Down: true})
		time.Sleep(10 * time.Second)
		c.workers[0].SetFault(standin.Fault{})
	}, isDone, isDone},
	{"worker frozen for long", func(c *cell, _, _ *node) {
		c.workers[0].SetFault(standin.Fault{Frozen: true})
		time.Sleep(2 * time.Minute)
		c.workers[0].SetFault(standin.Fault{})
	}, isDone, doneOrUnsure},
	{"worker loses answers", func(c *cell, _, _ *node) {
		for _, w := range c.workers {
			w.SetFault(standin.Fault{LoseAnswers: 10})
		}
	}, isDone, isDone},
	{"worker slow, messages arrive after their sender gave up", func(c *cell, _, _ *node) {
		c.workers[0].SetFault(standin.Fault{DelayMillis: 2500})
		time.Sleep(20 * time.Second)
		c.workers[0].SetFault(standin.Fault{})
	}, isDone, doneOrUnsure},
	// Starts lie in the sockets of a frozen VM for longer than any lease, and take effect when it
	// wakes. They must not run elsewhere meanwhile, whatever the leases say.
	{"worker frozen with starts in its sockets", func(c *cell, _, _ *node) {
		time.Sleep(3 * time.Second) // until it has room
		c.workers[0].SetFault(standin.Fault{Frozen: true})
		c.submit(spec("late-60", 12, func(s *job.Submission) { s.RunSeconds = 60 }))
		time.Sleep(80 * time.Second)
		c.workers[0].SetFault(standin.Fault{})
	}, isDone, doneOrUnsure},
	// A start is under way while its worker restarts, and arrives in the new boot.
	{"worker restarts with starts under way", func(c *cell, _, _ *node) {
		time.Sleep(3 * time.Second) // until it has room
		c.workers[0].SetFault(standin.Fault{DelayMillis: 2900})
		c.submit(spec("late-10", 12, func(s *job.Submission) { s.RunSeconds = 10 }))
		time.Sleep(500 * time.Millisecond)
		c.workers[0].Restart()
		time.Sleep(5 * time.Second)
		c.workers[0].SetFault(standin.Fault{})
	}, isDone, doneOrUnsure},
	{"answers stay cut", func(c *cell, _, _ *node) { c.workers[0].SetFault(standin.Fault{Truncate: 40}) }, isDone, doneOrUnsure},
	{"answers are cut", func(c *cell, _, _ *node) { c.workers[0].SetFault(standin.Fault{Truncate: 2}) }, isDone, doneOrUnsure},
	// The owner's lease is in doubt for a while: it sends nothing, and then goes on where it was.
	{"ownership in doubt for a while", func(_ *cell, a, _ *node) {
		a.setInvalid(true)
		time.Sleep(20 * time.Second)
		a.setInvalid(false)
	}, isDone, isDone},
	{"worker fails everything", func(c *cell, _, _ *node) { c.workers[0].SetFault(standin.Fault{FailAll: true}) }, isDone, isDone},
}

// The callers see every accepted job reach its end: repeatable ones are done, those that may run
// once are done or, where nobody can know, unknown. Meanwhile the judge watches that no worker is
// overfilled, no task runs in two places, nothing that may run once runs twice, and no answer lies.
func TestFaults(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFaults(t, []fault{f}) })
		})
	}
}

// The same with three faults at random, from fixed seeds: a seed that fails stays in the list.
func TestFaultSchedules(t *testing.T) {
	for seed := uint64(1); seed <= schedules; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, seed))
			list := []fault{faults[random.IntN(len(faults))]}
			for len(list) < 3 {
				f := faults[random.IntN(len(faults))]
				if !ownerChanges(f.name) || !slices.ContainsFunc(list, func(g fault) bool { return ownerChanges(g.name) }) {
					list = append(list, f)
				}
			}
			synctest.Test(t, func(t *testing.T) { runFaults(t, list) })
		})
	}
}

const schedules = 150

// The same with two faults, the second while the first still acts or its damage is being mended.
func TestFaultPairs(t *testing.T) {
	for _, f := range faults[1:] {
		for _, g := range faults[1:] {
			if ownerChanges(f.name) && ownerChanges(g.name) {
				continue
			}
			t.Run(f.name+", "+g.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runFaults(t, []fault{f, g}) })
			})
		}
	}
}

// ownerChanges tells the faults that need the first two schedulers for themselves.
func ownerChanges(name string) bool {
	switch name {
	case "owner killed", "owner killed twice", "owner frozen before its sends", "owner frozen shortly before its sends",
		"store loses answers, owner killed", "worker restarts while the owner changes", "worker restarts, owner dies after forbidding":
		return true
	}
	return false
}

func (c *cell) submitMore() {
	for _, s := range []*job.Submission{spec("more", 2), spec("more-once", 2, once)} {
		c.submit(s)
	}
}

func runFaults(t *testing.T, list []fault) {
	c := newCell(t, 3)
	a, b := c.add(), c.add()
	c.take(a)
	ids := map[string]bool{}
	for _, s := range []*job.Submission{spec("o1", 3, once, long), spec("r1", 6), spec("r2", 3, long), spec("g1", 5, gang), spec("o2", 1, once)} {
		ids[c.submit(s)] = s.Repeatable
	}
	time.Sleep(time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, f := range list[1:] {
			time.Sleep(300 * time.Millisecond)
			f.strike(c, a, b)
		}
	}()
	list[0].strike(c, a, b)
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

// The caller is told at once that its job was not run, and when to come back.
// The store is down, so the job's record cannot become durable; the zone's owner still holds its lease.
// A job accepted on memory alone would be lost with the owner.
func TestRefusedWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, 1)
		a := c.add()
		c.take(a)
		c.await(c.submit(spec("first", 1)), time.Minute)
		time.Sleep(5 * time.Second) // nothing is under way
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
		is.Equal(rpc.AsFault(err).Code, rpc.CodeUnknown)      // its record is under way
		is.Equal(rpc.AsFault(<-queued).Code, rpc.CodeRefused) // its record was still here and is taken back
		began := time.Now()
		_, err = a.sched.Submit(context.Background(), spec("third", 1), "")
		is.Equal(rpc.AsFault(err).Code, rpc.CodeRefused)
		is.True(rpc.AsFault(err).RetryAfter > 0)
		is.Equal(time.Since(began), time.Duration(0))
		a.store.Down(false)
		time.Sleep(10 * time.Second)
		st, err := a.sched.Submit(context.Background(), spec("second", 1), "")
		is.NoErr(err)
		is.Equal(st.Outcome, job.Done) // the first attempt to submit was kept
		_, err = a.sched.Status(context.Background(), route.JobID(testZone, "queued"))
		is.Equal(rpc.AsFault(err).Code, rpc.CodeNotFound)
		is.NoErr(c.stop())
	})
}

// The callers of a wave of cancellations hear of each job what is true of it: not run if nothing of it
// was ever sent, done if its end came first, unknown if it was stopped half way.
// Twenty jobs queue, start, run and end while their cancellations arrive, and the owner dies among them.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 2)
		a, b := c.add(), c.add()
		c.take(a)
		var ids []string
		for i := range 20 {
			ids = append(ids, c.submit(spec(fmt.Sprint("job-", i), 2, once)))
		}
		time.Sleep(1900 * time.Millisecond)
		// The last first: a stop frees room, in which a queued job starts before its own cancellation.
		for i := len(ids) - 1; i >= 0; i-- {
			if i == 10 {
				kill(c, a, b)
			}
			c.cancel(ids[i])
		}
		outcomes := map[job.Outcome]int{}
		for _, id := range ids {
			outcomes[c.await(id, 5*time.Minute).Outcome]++
		}
		if outcomes[job.NotRun] == 0 || outcomes[job.Unknown]+outcomes[job.Done] == 0 {
			t.Errorf("outcomes %v: the wave met no job queued, or none started", outcomes)
		}
		if err := c.stop(); err != nil {
			t.Error(err)
		}
	})
}

// The caller of a job that its home zone can never run gets it run by a zone that can, and a repeat of
// its key goes there too, also from a new owner and after the home zone has got a worker for it.
// A job that fits into no zone is refused for good, without a time to come back.
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
		c.take(a)
		time.Sleep(2 * time.Second)
		big := spec("big", 2, func(s *job.Submission) { s.Each.Accelerators, s.Gang = 4, true })
		for _, n := range []*node{a, a, b} {
			if n == b {
				kill(c, a, b)
				time.Sleep(2 * time.Second)
				here[0].Has = far.Has
				listed.Store(&here)
				time.Sleep(2 * time.Second)
			}
			_, err := n.sched.Submit(context.Background(), big, "")
			is.Equal(rpc.AsFault(err).Code, rpc.CodeMoved)
			is.Equal(rpc.AsFault(err).Zone, "kollam-hall")
		}
		_, err := b.sched.Submit(context.Background(), spec("huge", 1, func(s *job.Submission) { s.Each.Accelerators = 9 }), "")
		is.Equal(rpc.AsFault(err).Code, rpc.CodeRefused)
		is.Equal(rpc.AsFault(err).RetryAfter, time.Duration(0))
		is.NoErr(c.stop())
	})
}

// The caller of a long job sees it done, and hears nothing of the worker that left in the middle.
// The VM list announces that a worker leaves; half a minute later its task is checkpointed, stopped
// and goes on elsewhere from there. What may run once ends where it is.
func TestLeavingWorkerIsDrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, 2)
		var listed atomic.Pointer[[]worker.Info]
		all := c.listed()
		listed.Store(&all)
		c.listed = func() []worker.Info { return *listed.Load() }
		a := c.add()
		c.take(a)
		hour := func(s *job.Submission) { s.RunSeconds = 3600 }
		moved, kept := c.submit(spec("moved", 2, hour)), c.submit(spec("kept", 2, hour, once))
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
		// Twenty minutes were done before the move; without the checkpoint the end came after 80.
		is.True(st.Ended.Sub(st.Accepted) < 65*time.Minute)
		is.Equal(st.Tasks[0].Attempt, 2)
		is.True(st.Tasks[0].Worker != before.Tasks[0].Worker)
		st = c.await(kept, 2*time.Hour)
		is.Equal(st.Outcome, job.Done)
		is.Equal(st.Tasks[0].Attempt+st.Tasks[1].Attempt, 2)
		is.NoErr(c.stop())
	})
}

// The caller of a job that never ends hears so, after as many attempts as its rule allows, and later
// jobs get the room. The declared run time of ten seconds was far off.
// The attempt is stopped when it has taken longer than the rule allows, and run again once.
func TestOvertime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, 1, standin.Class("stuck", 24*time.Hour))
		rules, err := rule.New(rule.Document{Rules: []rule.Rule{{ID: "all", Then: []rule.Action{
			{Kind: "retry", With: []byte(`{"timeoutSeconds": 60, "retries": 1}`)},
		}}}})
		is.NoErr(err)
		a := c.add(Planner(func() *planner.Planner { return planner.New(planner.Rules(rules)) }))
		c.take(a)
		stuck := c.submit(spec("stuck", 4, func(s *job.Submission) { s.Class, s.RunSeconds = "stuck", 10 }))
		next := c.submit(spec("next", 1))
		st := c.await(stuck, 10*time.Minute)
		is.Equal(st.Outcome, job.Unknown)
		is.Equal(st.Tasks[0].Attempt, 2)
		is.Equal(st.Tasks[0].Reason, stopOvertime)
		is.Equal(c.await(next, time.Minute).Outcome, job.Done)
		is.NoErr(c.stop())
	})
}
