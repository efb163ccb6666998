package member

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"turmericgap/store"
)

// errTaken means that another live process holds this process's ID.
var errTaken = eris.New("another process holds this member's id")

// soon is the pause before a decision is looked at again that only time or a peer can change.
const soon = time.Second

// present is a member's lease-bound key as it was read.
type present struct {
	member   Member
	lease    int64
	revision int64
}

// standing is what is known of another member when a change of the table is planned.
type standing struct {
	// absent is when the member's key was first seen to be absent.
	absent time.Time
	// given is when this process's promise to it ends.
	given time.Time
	// established is since when it is known to have a table that holds this process: from then on
	// it cannot go on past its lease without this process's promise. Zero for not yet.
	established time.Time
	// unlisted is since when the VM list does not show its VM; zero while it does.
	unlisted time.Time
}

// scene is all that plan looks at.
type scene struct {
	now   time.Time
	self  Member
	lease int64
	// joined says that this process holds its place in the table, since that time.
	joined bool
	since  time.Time
	// grace is one full lease, the drift allowance and the lag of the VM list.
	grace time.Duration
	// promise is how long a promise holds.
	promise time.Duration
	elects  bool
	table   Table
	keys    map[string]present
	others  map[string]standing
	// confirmed says that all others have confirmed a table that holds this process.
	confirmed bool
}

// change is the next change of the table; the zero value changes nothing.
type change struct {
	table Table
	// write, key and epoch say what is put: the table, the member's own key, the zone's epoch.
	write, key, epoch bool
	// gone names the removed members, whose keys must be absent.
	gone []string
	// again is when to plan anew though nothing else happens; zero for no such time.
	again time.Duration
}

func (c *change) empty() bool { return !c.write && !c.key }

func (c *change) retry(in time.Duration) {
	if c.again == 0 || in < c.again {
		c.again = max(in, time.Millisecond)
	}
}

// plan gives the change that this process may and should make to the table.
func plan(s *scene) (change, error) {
	c := change{table: s.table.clone()}
	if err := s.join(&c); err != nil {
		return change{}, err
	}
	if s.joined {
		s.removeGone(&c)
	}
	s.ready(&c)
	if s.elects && c.table.Owner == "" {
		c.table.own(s.self.ID)
		c.write, c.epoch = true, true
	}
	return c, nil
}

// join puts this process and its key where they are not, in place of an ended process of its ID.
func (s *scene) join(c *change) error {
	own, there := s.keys[s.self.ID]
	if there && own.member.Incarnation != s.self.Incarnation && own.member.Address != s.self.Address {
		return errTaken
	}
	c.key = !there || own.lease != s.lease
	if s.table.holds(s.self) {
		return nil
	}
	if old, ok := s.table.Find(s.self.ID); ok {
		if old.Address != s.self.Address {
			return errTaken
		}
		// Holding its address proves that the earlier process of this ID has ended.
		c.table.remove(old.ID)
	}
	if len(c.table.Members) >= MaxMembers {
		return eris.Errorf("member table is full: %d members", MaxMembers)
	}
	c.table.put(s.self)
	c.write = true
	return nil
}

// removeGone takes out the members that may be removed now.
func (s *scene) removeGone(c *change) {
	for _, m := range s.table.Members {
		if _, there := s.keys[m.ID]; there || m.ID == s.self.ID {
			continue
		}
		if wait := s.removable(m); wait > 0 {
			c.retry(wait)
			continue
		}
		c.table.remove(m.ID)
		c.gone = append(c.gone, m.ID)
		c.write = true
	}
}

// removable gives how long to wait before m, whose key is absent, may be removed; zero is now.
//
// An absent key does not prove that m has stopped: cut off from the store it goes on while all
// others of its table promise. If m knows that this process is a member, m needs its promise, so
// that none given means that m has stopped. Otherwise only m's end will do: this process holds its
// address, or the VM list does not show its VM. Waiting the grace from then on covers a list that
// is late, here in showing a new VM, or there in telling m that it was dropped and has to stop.
func (s *scene) removable(m Member) time.Duration {
	if m.Address == s.self.Address {
		return 0
	}
	o := s.others[m.ID]
	if s.now.Before(o.given) {
		return o.given.Sub(s.now)
	}
	if !o.established.IsZero() {
		// One that has just learnt of this process gets the time to ask for its first promise.
		return later(o.absent.Add(s.rank()*stagger), o.established.Add(s.promise)).Sub(s.now)
	}
	if o.unlisted.IsZero() {
		return soon
	}
	return later(s.since, later(o.absent, o.unlisted)).Add(s.grace).Sub(s.now)
}

// rank counts the present members before this one, so that one writes at once and others later.
func (s *scene) rank() time.Duration {
	n := 0
	for id := range s.keys {
		if id < s.self.ID && s.table.index(id) >= 0 {
			n++
		}
	}
	return time.Duration(n)
}

func (s *scene) ready(c *change) {
	i := c.table.index(s.self.ID)
	if i < 0 || c.table.Members[i].State != Joining {
		return
	}
	if alone := len(c.table.Members) == 1; !alone && (!s.joined || !s.confirmed) {
		return
	}
	c.table.Members[i].State = Ready
	c.write = true
}

// txn builds the transaction of a change: it holds only if the table is as it was read, the own
// key too, and the keys of all removed members are absent.
func (s *scene) txn(c *change) store.Txn {
	prefix := presentPrefix(s.self.Zone, s.self.Role)
	tableKey := TableKey(s.self.Zone, s.self.Role)
	t := store.Txn{Compares: []store.Compare{
		{Key: tableKey, Target: store.ModRevision, Revision: s.table.Version},
		{Key: prefix + s.self.ID, Target: store.ModRevision, Revision: s.keys[s.self.ID].revision},
	}}
	for _, id := range c.gone {
		t.Compares = append(t.Compares, store.Compare{Key: prefix + id, Target: store.CreateRevision})
	}
	if c.key {
		t.Then = append(t.Then, store.Op{Key: prefix + s.self.ID, Value: encode(s.self), Lease: s.lease})
	}
	if c.write {
		t.Then = append(t.Then, store.Op{Key: tableKey, Value: encode(c.table)})
	}
	if c.epoch {
		t.Then = append(t.Then, store.Op{Key: EpochKey(s.self.Zone), Value: encode(c.table.Epoch)})
	}
	return t
}

// done gives the table as it stands after the transaction of c has applied at revision.
func (c *change) done(revision int64) Table {
	t := c.table
	if c.write {
		t.Version = revision
	}
	if c.epoch {
		t.EpochRevision = revision
	}
	return t
}

// heir gives the member to which a leaving owner hands the zone: one that is heard, ready first.
func heir(t *Table, keys map[string]present, heard func(id string) bool) string {
	best := ""
	for _, m := range slices.Backward(t.Members) {
		if _, there := keys[m.ID]; !there || !heard(m.ID) || m.State == Leaving {
			continue
		}
		if held, _ := t.Find(best); best == "" || m.State == Ready || held.State != Ready {
			best = m.ID
		}
	}
	return best
}
