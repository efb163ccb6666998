package member

import (
	"context"
	"testing"
	"time"

	"turmericgap/store"
)

func TestJoin(t *testing.T) {
	run(t, func(c *cell) {
		c.settle("1", "2", "3")
		c.Equal(c.owners(), 1)
		c.True(c.nodes["1"].owns())
		epoch, revision, _ := c.nodes["1"].Owns()
		c.Equal(epoch, int64(1))
		c.Equal(revision, c.epochKey())
		for _, n := range c.nodes {
			c.Equal(n.Table().EpochRevision, revision)
			for _, version := range n.ConfirmedVersions() {
				c.Equal(version, n.Table().Version)
			}
		}
	})
}

// The zone has no owner from the kill until another takes over.
// The owner is killed; its key vanishes when its lease lapses; one of the others sees that,
// has promised nothing, and takes over under the next epoch.
func TestOwnerKilled(t *testing.T) {
	run(t, func(c *cell) {
		c.settle("1", "2", "3")
		_, before, _ := c.nodes["1"].Owns()
		c.kill("1")
		took := c.until(2*DefaultTTL, func() bool { return c.owners() == 1 })
		t.Log("owner killed: takeover after a kill, without a watch:", took)
		epoch, revision, ok := c.nodes["2"].Owns()
		if !ok {
			epoch, revision, _ = c.nodes["3"].Owns()
		}
		c.Equal(epoch, int64(2))
		c.True(revision > before)
		c.Equal(revision, c.epochKey())
	})
}

// Two owners would act at once if a frozen process trusted what it knew before.
// The owner is frozen past its lease, another takes over, and the first resumes: before it hears
// anything it must already see that it may not act.
func TestOwnerFrozen(t *testing.T) {
	run(t, func(c *cell) {
		c.settle("1", "2", "3")
		old := c.nodes["1"]
		_, revision, _ := old.Owns()
		old.freeze(true)
		c.until(2*DefaultTTL, func() bool { return c.owners() == 1 })
		late := store.Txn{Compares: []store.Compare{{Key: EpochKey(testZone), Target: store.ModRevision, Revision: revision}}}
		res, err := c.svc.Store().Txn(context.Background(), late)
		c.NoErr(err)
		c.True(!res.Succeeded) // A commit that it sent before the freeze comes too late.
		old.freeze(false)
		c.True(!old.Valid())
		c.True(!old.owns())
		old.UpdateTable(c.nodes["2"].Table())
		c.True(!old.Valid())
		c.until(DefaultTTL, func() bool { return old.Valid() })
		c.True(!old.owns())
		c.Equal(c.owners(), 1)
	})
}

// A frozen owner would take the restart of its successor for the end of all who could object.
// It is frozen, the other takes over and is started again; then it resumes without the store.
func TestFrozenWhileOtherRestarts(t *testing.T) {
	run(t, func(c *cell) {
		c.settle("1", "2")
		c.nodes["1"].freeze(true)
		c.until(2*DefaultTTL, c.nodes["2"].owns)
		c.kill("2")
		c.start("2")
		c.until(DefaultTTL, c.nodes["2"].owns)
		c.nodes["1"].faults.Cut(true)
		c.nodes["1"].freeze(false)
		c.always(DefaultTTL, func() bool { return c.owners() == 1 })
	})
}

func TestFrozenAlone(t *testing.T) {
	run(t, func(c *cell) {
		c.settle("1")
		n := c.nodes["1"]
		n.faults.Down(true)
		time.Sleep(2 * DefaultTTL)
		c.True(n.owns()) // All others, none, have promised.
		n.freeze(true)
		c.list(false, "1")
		time.Sleep(2 * DefaultTTL)
		c.True(!n.Valid())
	})
}

// The owner's work would end if it stopped with its lease, though nobody else may take over.
// The owner alone is cut off from the store; its lease lapses there and its key vanishes. The
// others see that, but have promised, and the owner goes on by the promises.
func TestOwnerCutFromStore(t *testing.T) {
	run(t, func(c *cell) {
		c.settle("1", "2", "3")
		c.nodes["1"].faults.Cut(true)
		c.always(60*time.Second, func() bool { return c.nodes["1"].owns() && c.owners() == 1 })
		c.Equal(c.nodes["1"].Status().Basis, ByPromises)
		c.nodes["1"].faults.Cut(false)
		c.until(10*time.Second, func() bool { return c.nodes["1"].Status().Basis == ByLease })
		c.True(c.nodes["1"].owns())
		c.Equal(c.nodes["1"].Table().Epoch, int64(1))
	})
}

// Two owners would act at once if the owner did not stop, or another did not wait.
// The owner is cut off from the store and from one of the others: it goes on until its lease or
// the last promise ends, and only then another takes over.
func TestOwnerCutFromStoreAndPeer(t *testing.T) {
	run(t, func(c *cell) {
		c.settle("1", "2", "3")
		c.nodes["1"].faults.Cut(true)
		time.Sleep(10 * time.Second)
		c.partition("1", "3", true)
		took := c.until(2*DefaultTTL, func() bool { c.True(c.owners() <= 1); return !c.nodes["1"].owns() })
		c.True(took <= DefaultPromiseDuration)
		c.until(2*DefaultTTL, func() bool { c.True(c.owners() <= 1); return c.owners() == 1 })
		c.Equal(c.nodes["1"].Status().Basis, ByNothing)
	})
}

// Two owners would act at once if a promise were counted from its answer.
// Answers take more than a second; then the owner, cut off from the store, loses its peer too.
func TestPromiseAnswerLate(t *testing.T) {
	run(t, func(c *cell) {
		c.settle("1", "2")
		c.slow(1400 * time.Millisecond)
		c.nodes["1"].faults.Cut(true)
		time.Sleep(20 * time.Second)
		c.partition("1", "2", true)
		c.until(2*DefaultTTL, func() bool { c.True(c.owners() <= 1); return c.nodes["2"].owns() })
	})
}

// Two owners would act at once if a key that is back did not stop a take-over under way.
// The other reads that the owner's key is absent; before its transaction arrives the owner, which
// had lost the store and the other, has its key back and goes on by its lease.
func TestKeyBackBeforeTakeover(t *testing.T) {
	run(t, func(c *cell) {
		c.settle("1", "2")
		tried := false
		c.nodes["2"].hold(func() {
			tried = true
			c.nodes["1"].faults.Cut(false)
			time.Sleep(4 * time.Second)
		})
		c.nodes["1"].faults.Cut(true)
		c.partition("1", "2", true)
		c.until(3*DefaultTTL, func() bool {
			c.True(c.owners() <= 1)
			return c.nodes["1"].Status().Basis == ByLease && c.nodes["1"].Status().Peers[0].LastHeardMillis > 7000
		})
		c.always(2*DefaultTTL, func() bool { return c.nodes["1"].owns() && !c.nodes["2"].owns() })
		c.True(tried)
	})
}

// A restart in a store outage would end the work of the whole zone.
// All go on by promises; one is killed and starts again at its address. It cannot join, nor
// promise as a member, but its answer proves that the one that had to promise has ended.
func TestRestartInOutage(t *testing.T) {
	run(t, func(c *cell) {
		c.settle("1", "2", "3")
		c.cutFromStore("1", "2", "3")
		c.kill("2")
		c.start("2").faults.Cut(true)
		c.always(20*time.Second, func() bool { return c.owners() == 1 && c.nodes["1"].owns() })
		c.True(!c.nodes["2"].Valid())
		c.nodes["2"].faults.Cut(false)
		c.always(20*time.Second, func() bool { return c.owners() <= 1 })
		c.True(c.nodes["1"].owns())
		c.Equal(len(c.nodes["1"].Table().Members), 3)
	})
}

// An owner that hears no answer must stop, though its peer holds a promise.
// The answers to the owner's questions are lost, the questions arrive: the promiser waits for
// nothing, which costs time and never gives two owners.
func TestPromiseAnswerLost(t *testing.T) {
	run(t, func(c *cell) {
		c.settle("1", "2")
		c.cutWay("2", "1", true)
		c.nodes["1"].faults.Cut(true)
		c.until(DefaultTTL, func() bool { return !c.nodes["1"].owns() })
		c.always(30*time.Second, func() bool { return c.owners() == 0 && c.nodes["2"].Status().Peers[0].PromiseGivenMillis > 0 })
		c.partition("1", "2", true)
		c.until(DefaultTTL, func() bool { return c.nodes["2"].owns() })
	})
}

// A joiner that knows nothing would take over from an owner that goes on by promises.
// The members are cut off from the store and keep each other up; a new process joins. It may take
// over only when the VM list has dropped their VMs, and a full lease after it joined.
func TestJoinerDuringOutage(t *testing.T) {
	run(t, func(c *cell) {
		c.settle("1", "2")
		c.cutFromStore("1", "2")
		c.partition("3", "1", true)
		c.partition("3", "2", true)
		joiner := c.start("3")
		c.always(60*time.Second, func() bool { return c.owners() == 1 && c.nodes["1"].owns() })
		c.True(joiner.Valid())
		c.True(len(joiner.Table().Members) == 3)
		c.kill("1")
		c.kill("2")
		c.always(30*time.Second, func() bool { return c.owners() == 0 })
		c.list(false, "1", "2")
		c.until(DefaultTTL+DefaultListLag+2*time.Second, joiner.owns)
	})
}

// A VM that the list drops though it lives must stop before a joiner relies on the list.
// The members are cut off from the store; the list drops both; the joiner waits a full lease.
// Then the list shows them again: they cannot know what was done meanwhile.
func TestDroppedFromList(t *testing.T) {
	run(t, func(c *cell) {
		c.settle("1", "2")
		c.cutFromStore("1", "2")
		c.partition("3", "1", true)
		c.partition("3", "2", true)
		c.start("3")
		c.list(false, "1", "2")
		c.until(DefaultPromiseDuration+time.Second, func() bool { return c.owners() == 0 })
		c.always(DefaultListLag, func() bool { return c.owners() == 0 })
		c.until(DefaultTTL+DefaultListLag+2*time.Second, func() bool { c.True(c.owners() <= 1); return c.nodes["3"].owns() })
		c.list(true, "1", "2")
		c.always(10*time.Second, func() bool { return c.owners() == 1 && c.nodes["3"].owns() })
	})
}

// The members must not go on without a joiner's promise once they know of it.
// A joiner that can reach the members, and the store, joins during their outage.
func TestJoinerHeardDuringOutage(t *testing.T) {
	run(t, func(c *cell) {
		c.settle("1", "2")
		c.cutFromStore("1", "2")
		c.start("3")
		c.until(5*time.Second, func() bool { return c.nodes["3"].Self().State == Ready })
		time.Sleep(2 * time.Second)
		c.always(20*time.Second, func() bool { return c.owners() == 1 && c.nodes["1"].owns() })
		c.Equal(len(c.nodes["1"].Table().Members), 3)
	})
}

// A caller must see one owner and one entry for each process, whichever answers are lost.
func TestLostAnswers(t *testing.T) {
	for lost := 1; lost <= 3; lost++ {
		run(t, func(c *cell) {
			c.start("1").faults.LoseNext(lost)
			c.until(4*DefaultTTL, c.nodes["1"].owns)
			c.start("2").faults.LoseNext(lost)
			c.until(4*DefaultTTL, func() bool { return c.ready(2) })
			c.nodes["2"].faults.LoseNext(lost)
			c.kill("1")
			c.until(4*DefaultTTL, func() bool { return c.nodes["2"].owns() })
			_, revision, _ := c.nodes["2"].Owns()
			c.Equal(revision, c.epochKey())
			c.start("1").faults.LoseNext(lost)
			c.until(4*DefaultTTL, func() bool { return c.ready(2) })
			epoch, _, _ := c.nodes["2"].Owns()
			c.Equal(epoch, int64(2))
			c.nodes["2"].faults.LoseNext(lost)
			c.NoErr(c.nodes["2"].Leave(context.Background(), true))
			c.until(time.Second, func() bool { return c.nodes["1"].owns() })
			epoch, revision, _ = c.nodes["1"].Owns()
			c.Equal(epoch, int64(3))
			c.Equal(revision, c.epochKey())
			c.Equal(len(c.nodes["1"].Table().Members), 1)
		})
	}
}

func TestJoinersRace(t *testing.T) {
	run(t, func(c *cell) {
		for _, id := range []string{"1", "2", "3", "4", "5"} {
			c.start(id)
		}
		c.until(20*time.Second, func() bool { c.True(c.owners() <= 1); return c.ready(5) && c.owners() == 1 })
	})
}

// A planned stop must not leave the zone without an owner for a lease.
// The owner hands over in one transaction and tells its heir; between the two nobody owns.
func TestHandOver(t *testing.T) {
	run(t, func(c *cell) {
		c.settle("1", "2", "3")
		left := make(chan error)
		go func() { left <- c.nodes["1"].Leave(context.Background(), true) }()
		gap := c.until(time.Second, func() bool { c.True(c.owners() <= 1); return c.nodes["2"].owns() })
		t.Log("without an owner at a hand-over:", gap)
		c.NoErr(<-left)
		c.True(!c.nodes["1"].Valid())
		c.until(5*time.Second, func() bool { return len(c.nodes["3"].Table().Members) == 2 })
		c.Equal(c.nodes["2"].Table().Epoch, int64(2))
	})
}

func TestRollingRestart(t *testing.T) {
	run(t, func(c *cell) {
		ids := []string{"1", "2", "3"}
		c.settle(ids...)
		for _, id := range ids {
			c.NoErr(c.nodes[id].Leave(context.Background(), true))
			c.until(time.Second, func() bool { return c.owners() == 1 })
			c.start(id)
			c.until(5*time.Second, func() bool { return c.ready(3) })
			c.Equal(c.owners(), 1)
		}
	})
}

// A process that dies and comes back at its address must not wait for its own old lease.
func TestRestartAtAddress(t *testing.T) {
	run(t, func(c *cell) {
		c.settle("1", "2")
		c.kill("1")
		c.start("1")
		took := c.until(2*time.Second, func() bool { return c.owners() == 1 })
		t.Log("owner again after a restart at its address:", took)
		c.until(5*time.Second, func() bool { return c.ready(2) })
	})
}
