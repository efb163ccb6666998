package member

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"turmericgap/store"
)

// errIDInUse means that another live process has the member ID of this process.
var errIDInUse = eris.New("another process holds this member's id")

// replanDelay is the pause before replanning a change that is blocked until time passes or a peer acts.
const replanDelay = time.Second

// presence is the lease-bound presence key of a member, as read from the store.
type presence struct {
	member   Member
	lease    int64
	revision int64
}

// peerState is what is known about a peer when a table change is planned.
type peerState struct {
	// keyMissingSince is when the peer's presence key was first seen to be missing.
	keyMissingSince time.Time
	// promiseGivenUntil is when this process's promise to the peer ends.
	promiseGivenUntil time.Time
	// knowsSelfSince is when the peer was first known to have a table that holds this process; zero if it does not
	// have one yet. From then on it cannot act beyond its lease without this process's promise.
	knowsSelfSince time.Time
	// unlistedSince is when the peer's VM went missing from the VM list; zero while the list shows it.
	unlistedSince time.Time
}

// planInput holds everything that plan depends on.
type planInput struct {
	now   time.Time
	self  Member
	lease int64
	// joined reports whether this process is in the table, joinedAt since when.
	joined   bool
	joinedAt time.Time
	// removalGrace is one full lease, the drift allowance and the lag of the VM list.
	removalGrace time.Duration
	// promiseDuration is how long a promise holds.
	promiseDuration time.Duration
	electsOwner     bool
	table           Table
	presences       map[string]presence
	peers           map[string]peerState
	// allPeersKnowSelf reports whether all peers have confirmed a table that holds this process.
	allPeersKnowSelf bool
}

// change is the next change to the table; the zero value changes nothing.
type change struct {
	table Table
	// writeTable, writePresence and writeEpoch select what is written: the table, the member's own presence key and
	// the zone's epoch.
	writeTable, writePresence, writeEpoch bool
	// removed lists the IDs of the removed members, whose presence keys must be missing.
	removed []string
	// replanAfter is when to replan if nothing else happens; zero for never.
	replanAfter time.Duration
}

func (c *change) isEmpty() bool { return !c.writeTable && !c.writePresence }

func (c *change) replanIn(in time.Duration) {
	if c.replanAfter == 0 || in < c.replanAfter {
		c.replanAfter = max(in, time.Millisecond)
	}
}

// plan returns the change that this process may and should make to the table.
func plan(s *planInput) (change, error) {
	c := change{table: s.table.clone()}
	if err := s.join(&c); err != nil {
		return change{}, err
	}
	if s.joined {
		s.removeMissing(&c)
	}
	s.markReady(&c)
	if s.electsOwner && c.table.Owner == "" {
		c.table.setOwner(s.self.ID)
		c.writeTable, c.writeEpoch = true, true
	}
	return c, nil
}

// join adds this process and its presence key where they are missing, and replaces an ended process with the same ID.
func (s *planInput) join(c *change) error {
	own, exists := s.presences[s.self.ID]
	if exists && own.member.Incarnation != s.self.Incarnation && own.member.Address != s.self.Address {
		return errIDInUse
	}
	c.writePresence = !exists || own.lease != s.lease
	if s.table.contains(s.self) {
		return nil
	}
	if old, ok := s.table.Find(s.self.ID); ok {
		if old.Address != s.self.Address {
			return errIDInUse
		}
		// Holding its address proves that the earlier process with this ID has ended.
		c.table.remove(old.ID)
	}
	if len(c.table.Members) >= MaxMembers {
		return eris.Errorf("member table is full: %d members", MaxMembers)
	}
	c.table.upsert(s.self)
	c.writeTable = true
	return nil
}

// removeMissing removes the members without a presence key that may be removed now.
func (s *planInput) removeMissing(c *change) {
	for _, m := range s.table.Members {
		if _, present := s.presences[m.ID]; present || m.ID == s.self.ID {
			continue
		}
		if wait := s.removalWait(m); wait > 0 {
			c.replanIn(wait)
			continue
		}
		c.table.remove(m.ID)
		c.removed = append(c.removed, m.ID)
		c.writeTable = true
	}
}

// removalWait returns how long to wait before removing m, whose presence key is missing; zero or less means now.
//
// A missing key does not prove that m has stopped: when cut off from the store, m may act as long as all its peers
// promise. If m knows that this process is a member, it needs this process's promise, so m has stopped if none is in
// force. Otherwise only the end of m is proof: this process holds its address, or the VM list does not show its VM.
// Waiting for removalGrace from then on covers a list that is out of date, either here, so that it does not show a new
// VM yet, or at m, which has to see that it was dropped before it stops.
func (s *planInput) removalWait(m Member) time.Duration {
	if m.Address == s.self.Address {
		return 0
	}
	p := s.peers[m.ID]
	if s.now.Before(p.promiseGivenUntil) {
		return p.promiseGivenUntil.Sub(s.now)
	}
	if !p.knowsSelfSince.IsZero() {
		// A peer that has just learnt of this process gets time to ask for its first promise.
		return latest(p.keyMissingSince.Add(s.writeRank()*writeStagger), p.knowsSelfSince.Add(s.promiseDuration)).Sub(s.now)
	}
	if p.unlistedSince.IsZero() {
		return replanDelay
	}
	return latest(s.joinedAt, latest(p.keyMissingSince, p.unlistedSince)).Add(s.removalGrace).Sub(s.now)
}

// writeRank counts the present members ordered before this one, so that one writes at once and the others later.
func (s *planInput) writeRank() time.Duration {
	n := 0
	for id := range s.presences {
		if id < s.self.ID && s.table.index(id) >= 0 {
			n++
		}
	}
	return time.Duration(n)
}

func (s *planInput) markReady(c *change) {
	i := c.table.index(s.self.ID)
	if i < 0 || c.table.Members[i].State != Joining {
		return
	}
	if alone := len(c.table.Members) == 1; !alone && (!s.joined || !s.allPeersKnowSelf) {
		return
	}
	c.table.Members[i].State = Ready
	c.writeTable = true
}

// txn builds the transaction for a change. It applies only if the table and the own presence key are as they were
// read, and the presence keys of all removed members are missing.
func (s *planInput) txn(c *change) store.Txn {
	prefix := presencePrefix(s.self.Zone, s.self.Role)
	tableKey := TableKey(s.self.Zone, s.self.Role)
	t := store.Txn{Compares: []store.Compare{
		{Key: tableKey, Target: store.ModRevision, Revision: s.table.Version},
		{Key: prefix + s.self.ID, Target: store.ModRevision, Revision: s.presences[s.self.ID].revision},
	}}
	for _, id := range c.removed {
		t.Compares = append(t.Compares, store.Compare{Key: prefix + id, Target: store.CreateRevision})
	}
	if c.writePresence {
		t.Then = append(t.Then, store.Op{Key: prefix + s.self.ID, Value: encode(s.self), Lease: s.lease})
	}
	if c.writeTable {
		t.Then = append(t.Then, store.Op{Key: tableKey, Value: encode(c.table)})
	}
	if c.writeEpoch {
		t.Then = append(t.Then, store.Op{Key: EpochKey(s.self.Zone), Value: encode(c.table.Epoch)})
	}
	return t
}

// resultTable returns the table after the transaction for c has been applied at revision.
func (c *change) resultTable(revision int64) Table {
	t := c.table
	if c.writeTable {
		t.Version = revision
	}
	if c.writeEpoch {
		t.EpochRevision = revision
	}
	return t
}

// pickSuccessor returns the reachable member to which a leaving owner hands the zone, preferring ready members.
func pickSuccessor(t *Table, presences map[string]presence, reachable func(id string) bool) string {
	best := ""
	for _, m := range slices.Backward(t.Members) {
		if _, present := presences[m.ID]; !present || !reachable(m.ID) || m.State == Leaving {
			continue
		}
		if current, _ := t.Find(best); best == "" || m.State == Ready || current.State != Ready {
			best = m.ID
		}
	}
	return best
}
