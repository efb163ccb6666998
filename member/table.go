package member

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"turmericgap/store"
)

// Keys of the store.
const (
	CellPrefix     = "turmericgap/cell/"
	TablePrefix    = CellPrefix + "table/"
	PresencePrefix = CellPrefix + "member/"
	journalPrefix  = "/turmericgap/journal/"
)

// Roles of members.
const (
	RoleScheduler = "scheduler"
	RoleGate      = "gate"
)

// MaxMembers bounds a table, so that it stays far below the largest value of the store.
const MaxMembers = 256

// State is where a member stands in its life.
type State string

// The states of a member.
const (
	// Joining says that not all others have yet confirmed a table that holds the member.
	Joining State = "joining"
	Ready   State = "ready"
	// Leaving says that the member has begun its planned stop.
	Leaving State = "leaving"
	Gone    State = "gone"
)

// Member is one process in the table of its zone and role.
type Member struct {
	ID   string `json:"id"`
	Role string `json:"role"`
	Zone string `json:"zone"`
	// Address is where the process serves rpc, an IP number and port.
	Address string `json:"address"`
	// Incarnation tells a process from the one that had its ID before.
	Incarnation int64  `json:"incarnation"`
	State       State  `json:"state"`
	VM          string `json:"vm"`
}

func (m Member) same(o Member) bool { return m.ID == o.ID && m.Incarnation == o.Incarnation }

// Table is the agreed membership of one zone and role.
type Table struct {
	Zone string `json:"zone"`
	Role string `json:"role"`
	// Version is the store's revision of the last change; it only grows.
	Version int64 `json:"-"`
	// Epoch grows with each owner.
	Epoch int64 `json:"epoch"`
	// EpochRevision is the revision at which the owner's epoch was written to the journal's key.
	EpochRevision int64    `json:"epochRevision"`
	Owner         string   `json:"owner"`
	Members       []Member `json:"members"`
}

// Find gives the member with an ID.
func (t *Table) Find(id string) (Member, bool) {
	if i := t.index(id); i >= 0 {
		return t.Members[i], true
	}
	return Member{}, false
}

func (t *Table) index(id string) int {
	return slices.IndexFunc(t.Members, func(m Member) bool { return m.ID == id })
}

func (t *Table) holds(m Member) bool {
	found, ok := t.Find(m.ID)
	return ok && found.same(m)
}

func (t Table) clone() Table {
	t.Members = slices.Clone(t.Members)
	return t
}

// put adds a member, or replaces the one that has its ID.
func (t *Table) put(m Member) {
	if i := t.index(m.ID); i >= 0 {
		t.Members[i] = m
		return
	}
	t.Members = append(t.Members, m)
	slices.SortFunc(t.Members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
}

// remove takes a member out, and its ownership with it.
func (t *Table) remove(id string) {
	t.Members = slices.DeleteFunc(t.Members, func(m Member) bool { return m.ID == id })
	if t.Owner == id {
		t.Owner = ""
	}
}

// own makes a member the owner under a new epoch, whose revision is that of this very change.
func (t *Table) own(id string) {
	t.Owner = id
	t.Epoch++
	t.EpochRevision = 0
}

// TableKey gives the store's key of a table.
func TableKey(zone, role string) string { return TablePrefix + zone + "/" + role }

// EpochKey gives the store's key of a zone's epoch, which the journal's commits compare.
func EpochKey(zone string) string { return journalPrefix + zone + "/epoch" }

// PresenceKey gives the store's key that is bound to a member's lease.
func PresenceKey(zone, role, id string) string { return presentPrefix(zone, role) + id }

func presentPrefix(zone, role string) string { return PresencePrefix + zone + "/" + role + "/" }

// DecodeTable reads a table from the store's pair.
func DecodeTable(p store.Pair) (Table, error) {
	var t Table
	if err := json.Unmarshal(p.Value, &t); err != nil {
		return t, eris.Wrap(err, "decode member table")
	}
	t.Version = p.ModRevision
	if t.EpochRevision == 0 && t.Epoch > 0 {
		t.EpochRevision = p.ModRevision
	}
	return t, nil
}

// DecodePresence reads a member from its lease-bound key.
func DecodePresence(p store.Pair) (Member, error) {
	var m Member
	if err := json.Unmarshal(p.Value, &m); err != nil {
		return m, eris.Wrap(err, "decode member key")
	}
	return m, nil
}

// encode cannot fail for the plain structs of this package.
func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}
