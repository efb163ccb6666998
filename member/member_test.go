package member

import (
	"context"
	"testing"
	"time"

	"turmericgap/store"
)

func TestJoin(t *testing.T) {
	runCell(t, func(c *cell) {
		c.startAll("1", "2", "3")
		c.Equal(c.ownerCount(), 1)
		c.True(c.nodes["1"].isOwner())
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

// After the owner is killed, the zone must get a new owner.
// The owner's presence key is removed when its lease expires. A peer that sees this and has no promise in force takes
// over under the next epoch.
func TestOwnerKilled(t *testing.T) {
	runCell(t, func(c *cell) {
		c.startAll("1", "2", "3")
		_, before, _ := c.nodes["1"].Owns()
		c.kill("1")
		took := c.waitUntil(2*DefaultTTL, func() bool { return c.ownerCount() == 1 })
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

// A frozen owner that resumes and trusts its old state would act at the same time as its successor.
// The owner is frozen beyond its lease and another takes over; when the first resumes, it must know that it may not act
// even before it receives anything.
func TestOwnerFrozen(t *testing.T) {
	runCell(t, func(c *cell) {
		c.startAll("1", "2", "3")
		old := c.nodes["1"]
		_, revision, _ := old.Owns()
		old.freeze(true)
		c.waitUntil(2*DefaultTTL, func() bool { return c.ownerCount() == 1 })
		late := store.Txn{Compares: []store.Compare{{Key: EpochKey(testZone), Target: store.ModRevision, Revision: revision}}}
		res, err := c.svc.Store().Txn(context.Background(), late)
		c.NoErr(err)
		c.True(!res.Succeeded) // A commit sent before the freeze arrives too late.
		old.freeze(false)
		c.True(!old.Valid())
		c.True(!old.isOwner())
		old.UpdateTable(c.nodes["2"].Table())
		c.True(!old.Valid())
		c.waitUntil(DefaultTTL, func() bool { return old.Valid() })
		c.True(!old.isOwner())
		c.Equal(c.ownerCount(), 1)
	})
}

// A frozen owner must not take the restart of its successor as proof that nobody else can own the zone.
// While it is frozen, the other process takes over and restarts; then the first resumes without the store.
func TestFrozenWhileOtherRestarts(t *testing.T) {
	runCell(t, func(c *cell) {
		c.startAll("1", "2")
		c.nodes["1"].freeze(true)
		c.waitUntil(2*DefaultTTL, c.nodes["2"].isOwner)
		c.kill("2")
		c.start("2")
		c.waitUntil(DefaultTTL, c.nodes["2"].isOwner)
		c.nodes["1"].faults.Cut(true)
		c.nodes["1"].freeze(false)
		c.checkFor(DefaultTTL, func() bool { return c.ownerCount() == 1 })
	})
}

func TestFrozenAlone(t *testing.T) {
	runCell(t, func(c *cell) {
		c.startAll("1")
		n := c.nodes["1"]
		n.faults.Down(true)
		time.Sleep(2 * DefaultTTL)
		c.True(n.isOwner()) // Without peers, no promise is missing.
		n.freeze(true)
		c.setListed(false, "1")
		time.Sleep(2 * DefaultTTL)
		c.True(!n.Valid())
	})
}

// An owner that stops with its lease ends its work, although nobody else may take over.
// Only the owner is cut off from the store: its lease expires and its presence key is removed. The peers see that, but
// have promised, so the owner continues by their promises.
func TestOwnerCutFromStore(t *testing.T) {
	runCell(t, func(c *cell) {
		c.startAll("1", "2", "3")
		c.nodes["1"].faults.Cut(true)
		c.checkFor(60*time.Second, func() bool { return c.nodes["1"].isOwner() && c.ownerCount() == 1 })
		c.Equal(c.nodes["1"].Status().Basis, ByPromises)
		c.nodes["1"].faults.Cut(false)
		c.waitUntil(10*time.Second, func() bool { return c.nodes["1"].Status().Basis == ByLease })
		c.True(c.nodes["1"].isOwner())
		c.Equal(c.nodes["1"].Table().Epoch, int64(1))
	})
}

// Two owners would act at once if the owner did not stop, or another did not wait.
// The owner is cut off from the store and from one peer: it continues until its lease or the last promise ends, and
// only then another takes over.
func TestOwnerCutFromStoreAndPeer(t *testing.T) {
	runCell(t, func(c *cell) {
		c.startAll("1", "2", "3")
		c.nodes["1"].faults.Cut(true)
		time.Sleep(10 * time.Second)
		c.partition("1", "3", true)
		took := c.waitUntil(2*DefaultTTL, func() bool { c.True(c.ownerCount() <= 1); return !c.nodes["1"].isOwner() })
		c.True(took <= DefaultPromiseDuration)
		c.waitUntil(2*DefaultTTL, func() bool { c.True(c.ownerCount() <= 1); return c.ownerCount() == 1 })
		c.Equal(c.nodes["1"].Status().Basis, ByNothing)
	})
}

// Two owners would act at once if a promise were counted from its reply.
// Replies take more than a second; then the owner, cut off from the store, also loses its peer.
func TestPromiseAnswerLate(t *testing.T) {
	runCell(t, func(c *cell) {
		c.startAll("1", "2")
		c.setReplyDelay(1400 * time.Millisecond)
		c.nodes["1"].faults.Cut(true)
		time.Sleep(20 * time.Second)
		c.partition("1", "2", true)
		c.waitUntil(2*DefaultTTL, func() bool { c.True(c.ownerCount() <= 1); return c.nodes["2"].isOwner() })
	})
}

// Two owners would act at once if a presence key that returns did not stop a takeover in progress.
// The peer reads that the owner's key is missing. Before its transaction arrives, the owner, which had lost both the
// store and the peer, writes its key again and continues by its lease.
func TestKeyBackBeforeTakeover(t *testing.T) {
	runCell(t, func(c *cell) {
		c.startAll("1", "2")
		tried := false
		c.nodes["2"].setBeforeRemoval(func() {
			tried = true
			c.nodes["1"].faults.Cut(false)
			time.Sleep(4 * time.Second)
		})
		c.nodes["1"].faults.Cut(true)
		c.partition("1", "2", true)
		c.waitUntil(3*DefaultTTL, func() bool {
			c.True(c.ownerCount() <= 1)
			return c.nodes["1"].Status().Basis == ByLease && c.nodes["1"].Status().Peers[0].LastHeardMillis > 7000
		})
		c.checkFor(2*DefaultTTL, func() bool { return c.nodes["1"].isOwner() && !c.nodes["2"].isOwner() })
		c.True(tried)
	})
}

// A restart during a store outage must not end the work of the whole zone.
// All members act by promises; one is killed and restarts at its address. The new process can neither join nor promise
// as a member, but its reply proves that the member whose promise was needed has ended.
func TestRestartInOutage(t *testing.T) {
	runCell(t, func(c *cell) {
		c.startAll("1", "2", "3")
		c.cutFromStore("1", "2", "3")
		c.kill("2")
		c.start("2").faults.Cut(true)
		c.checkFor(20*time.Second, func() bool { return c.ownerCount() == 1 && c.nodes["1"].isOwner() })
		c.True(!c.nodes["2"].Valid())
		c.nodes["2"].faults.Cut(false)
		c.checkFor(20*time.Second, func() bool { return c.ownerCount() <= 1 })
		c.True(c.nodes["1"].isOwner())
		c.Equal(len(c.nodes["1"].Table().Members), 3)
	})
}

// An owner that gets no reply must stop, even if its peer holds a promise.
// The owner's requests arrive, but the replies are lost: the peer keeps its promise to an owner that has stopped, which
// costs time but never causes two owners.
func TestPromiseAnswerLost(t *testing.T) {
	runCell(t, func(c *cell) {
		c.startAll("1", "2")
		c.setBlocked("2", "1", true)
		c.nodes["1"].faults.Cut(true)
		c.waitUntil(DefaultTTL, func() bool { return !c.nodes["1"].isOwner() })
		c.checkFor(30*time.Second, func() bool { return c.ownerCount() == 0 && c.nodes["2"].Status().Peers[0].PromiseGivenMillis > 0 })
		c.partition("1", "2", true)
		c.waitUntil(DefaultTTL, func() bool { return c.nodes["2"].isOwner() })
	})
}

// A new member without any history must not take over from an owner that acts by promises.
// The members are cut off from the store and extend each other's promises; a new process joins. It may take over only
// after the VM list has dropped their VMs and a full lease has passed since it joined.
func TestJoinerDuringOutage(t *testing.T) {
	runCell(t, func(c *cell) {
		c.startAll("1", "2")
		c.cutFromStore("1", "2")
		c.partition("3", "1", true)
		c.partition("3", "2", true)
		joiner := c.start("3")
		c.checkFor(60*time.Second, func() bool { return c.ownerCount() == 1 && c.nodes["1"].isOwner() })
		c.True(joiner.Valid())
		c.True(len(joiner.Table().Members) == 3)
		c.kill("1")
		c.kill("2")
		c.checkFor(30*time.Second, func() bool { return c.ownerCount() == 0 })
		c.setListed(false, "1", "2")
		c.waitUntil(DefaultTTL+DefaultListLag+2*time.Second, joiner.isOwner)
	})
}

// A running VM that the list drops must stop before a new member relies on the list.
// The members are cut off from the store, the list drops both, and the new member waits for a full lease.
// Then the list shows them again: they cannot know what happened meanwhile.
func TestDroppedFromList(t *testing.T) {
	runCell(t, func(c *cell) {
		c.startAll("1", "2")
		c.cutFromStore("1", "2")
		c.partition("3", "1", true)
		c.partition("3", "2", true)
		c.start("3")
		c.setListed(false, "1", "2")
		c.waitUntil(DefaultPromiseDuration+time.Second, func() bool { return c.ownerCount() == 0 })
		c.checkFor(DefaultListLag, func() bool { return c.ownerCount() == 0 })
		c.waitUntil(DefaultTTL+DefaultListLag+2*time.Second, func() bool { c.True(c.ownerCount() <= 1); return c.nodes["3"].isOwner() })
		c.setListed(true, "1", "2")
		c.checkFor(10*time.Second, func() bool { return c.ownerCount() == 1 && c.nodes["3"].isOwner() })
	})
}

// The members must not act without a new member's promise once they know of it.
// The new member can reach them and the store, and joins during their outage.
func TestJoinerHeardDuringOutage(t *testing.T) {
	runCell(t, func(c *cell) {
		c.startAll("1", "2")
		c.cutFromStore("1", "2")
		c.start("3")
		c.waitUntil(5*time.Second, func() bool { return c.nodes["3"].Self().State == Ready })
		time.Sleep(2 * time.Second)
		c.checkFor(20*time.Second, func() bool { return c.ownerCount() == 1 && c.nodes["1"].isOwner() })
		c.Equal(len(c.nodes["1"].Table().Members), 3)
	})
}

// Each process must have one entry, and the zone one owner, whichever answers of the store are lost.
func TestLostAnswers(t *testing.T) {
	for lost := 1; lost <= 3; lost++ {
		runCell(t, func(c *cell) {
			c.start("1").faults.LoseNext(lost)
			c.waitUntil(4*DefaultTTL, c.nodes["1"].isOwner)
			c.start("2").faults.LoseNext(lost)
			c.waitUntil(4*DefaultTTL, func() bool { return c.allReady(2) })
			c.nodes["2"].faults.LoseNext(lost)
			c.kill("1")
			c.waitUntil(4*DefaultTTL, func() bool { return c.nodes["2"].isOwner() })
			_, revision, _ := c.nodes["2"].Owns()
			c.Equal(revision, c.epochKey())
			c.start("1").faults.LoseNext(lost)
			c.waitUntil(4*DefaultTTL, func() bool { return c.allReady(2) })
			epoch, _, _ := c.nodes["2"].Owns()
			c.Equal(epoch, int64(2))
			c.nodes["2"].faults.LoseNext(lost)
			c.NoErr(c.nodes["2"].Leave(context.Background(), true))
			c.waitUntil(time.Second, func() bool { return c.nodes["1"].isOwner() })
			epoch, revision, _ = c.nodes["1"].Owns()
			c.Equal(epoch, int64(3))
			c.Equal(revision, c.epochKey())
			c.Equal(len(c.nodes["1"].Table().Members), 1)
		})
	}
}

func TestJoinersRace(t *testing.T) {
	runCell(t, func(c *cell) {
		for _, id := range []string{"1", "2", "3", "4", "5"} {
			c.start(id)
		}
		c.waitUntil(20*time.Second, func() bool { c.True(c.ownerCount() <= 1); return c.allReady(5) && c.ownerCount() == 1 })
	})
}

// A planned stop must not leave the zone without an owner for the length of a lease.
// The owner hands over in one transaction and notifies its successor; in between nobody owns the zone.
func TestHandOver(t *testing.T) {
	runCell(t, func(c *cell) {
		c.startAll("1", "2", "3")
		left := make(chan error)
		go func() { left <- c.nodes["1"].Leave(context.Background(), true) }()
		gap := c.waitUntil(time.Second, func() bool { c.True(c.ownerCount() <= 1); return c.nodes["2"].isOwner() })
		t.Log("without an owner at a handover:", gap)
		c.NoErr(<-left)
		c.True(!c.nodes["1"].Valid())
		c.waitUntil(5*time.Second, func() bool { return len(c.nodes["3"].Table().Members) == 2 })
		c.Equal(c.nodes["2"].Table().Epoch, int64(2))
	})
}

func TestRollingRestart(t *testing.T) {
	runCell(t, func(c *cell) {
		ids := []string{"1", "2", "3"}
		c.startAll(ids...)
		for _, id := range ids {
			c.NoErr(c.nodes[id].Leave(context.Background(), true))
			c.waitUntil(time.Second, func() bool { return c.ownerCount() == 1 })
			c.start(id)
			c.waitUntil(5*time.Second, func() bool { return c.allReady(3) })
			c.Equal(c.ownerCount(), 1)
		}
	})
}

// A process that dies and restarts at its address must not wait for its old lease to expire.
func TestRestartAtAddress(t *testing.T) {
	runCell(t, func(c *cell) {
		c.startAll("1", "2")
		c.kill("1")
		c.start("1")
		took := c.waitUntil(2*time.Second, func() bool { return c.ownerCount() == 1 })
		t.Log("owner again after a restart at its address:", took)
		c.waitUntil(5*time.Second, func() bool { return c.allReady(2) })
	})
}
